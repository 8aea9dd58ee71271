#include <doctest/doctest.h>

#include <cstdlib>

#include <rapidcheck.h>

#include <plantainslip/admission/admission.hpp>
#include <plantainslip/admission/errors.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using admission::Admit;
using routing::RankedEngine;
using routing::Seconds;

namespace {

constexpr core::MonotonicTime kNow{};

// The same cases in every run; RapidCheck reads this when it is first used.
const int kSeeded = setenv("RC_PARAMS", "seed=1", 0);

RankedEngine
Engine(double aOutstanding)
{
  RankedEngine engine;
  engine.capacity.slots = 10.0;
  engine.capacity.attempt = Seconds(2.0);
  engine.capacity.tokenInterval = Seconds(0.02);
  engine.outstanding = aOutstanding;
  engine.queueWait = Seconds(2.0 * std::max(0.0, aOutstanding + 1.0 - 10.0) / 10.0);
  engine.wait = engine.queueWait;
  engine.cost = engine.wait + Seconds(0.1);
  return engine;
}

admission::AdmissionQuery
Query(std::chrono::milliseconds aPatience, int aPriority = 0)
{
  return { aPriority, core::TokenCount(100), kNow, kNow + aPatience };
}

} // namespace

TEST_CASE("a request is let in where there is room and its deadline can be met")
{
  const auto patience = std::chrono::seconds(60);

  SUBCASE("at the best engine with a free slot")
  {
    CHECK(Admit({ Engine(5), Engine(1) }, Query(patience), {}).engine == 0U);
  }

  SUBCASE("at the next one if the best is full")
  {
    CHECK(Admit({ Engine(50), Engine(1) }, Query(patience), {}).engine == 1U);
  }

  SUBCASE("not if all queues are full, and the caller is told when to come back")
  {
    const auto admission = Admit({ Engine(50), Engine(60) }, Query(patience), {});
    CHECK(!admission.engine.has_value());
    CHECK(core::IsError(admission.refusal, admission::errors::kOverloaded));
    CHECK(admission.retryAfter >= std::chrono::seconds(8));
  }

  SUBCASE("not if the answer would come too late")
  {
    const auto admission = Admit({ Engine(5) }, Query(std::chrono::seconds(1)), {});
    CHECK(!admission.engine.has_value());
    CHECK(core::IsError(admission.refusal, admission::errors::kDeadlineTooNear));
  }

  SUBCASE("always at an idle engine, which a wrong estimate would shut out for good")
  {
    CHECK(Admit({ Engine(0) }, Query(std::chrono::milliseconds(1)), {}).engine == 0U);
  }
}

TEST_CASE("the room in the queue grows with the priority")
{
  const auto patience = std::chrono::seconds(60);
  CHECK(!Admit({ Engine(10) }, Query(patience, -10), {}).engine.has_value());
  CHECK(Admit({ Engine(9) }, Query(patience, -10), {}).engine.has_value());
  CHECK(!Admit({ Engine(20) }, Query(patience, 0), {}).engine.has_value());
  CHECK(Admit({ Engine(20) }, Query(patience, 10), {}).engine.has_value());
}

TEST_CASE("the queue is bounded, and more patience or priority never turns a request away")
{
  REQUIRE(kSeeded == 0);
  const bool held = rc::check("admission is bounded and monotone", [] {
    const double outstanding = *rc::gen::inRange(0, 100);
    const int priority = *rc::gen::inRange(-10, 10);
    const auto patience = std::chrono::milliseconds(*rc::gen::inRange(1, 60'000));
    const std::vector<RankedEngine> ranking = { Engine(outstanding) };
    const bool admitted = Admit(ranking, Query(patience, priority), {}).engine.has_value();
    RC_ASSERT(!admitted || outstanding + 1.0 <= 30.0);
    RC_ASSERT(!admitted || Admit(ranking, Query(patience * 2, priority), {}).engine.has_value());
    RC_ASSERT(!admitted || Admit(ranking, Query(patience, priority + 1), {}).engine.has_value());
  });
  CHECK(held);
}
