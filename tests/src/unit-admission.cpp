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

// Fixes the seed, so that every run tests the same cases; RapidCheck reads it on its first use.
const int kSeeded = setenv("RC_PARAMS", "seed=1", 0);

RankedEngine
Engine(double aOutstanding)
{
  RankedEngine engine;
  engine.capacity.slots = 10.0;
  engine.capacity.meanSlotTime = Seconds(2.0);
  engine.capacity.tokenInterval = Seconds(0.02);
  engine.outstanding = aOutstanding;
  engine.queueWait = Seconds(2.0 * std::max(0.0, aOutstanding + 1.0 - 10.0) / 10.0);
  engine.wait = engine.queueWait;
  engine.cost = engine.wait + Seconds(0.1);
  return engine;
}

admission::AdmissionQuery
Query(std::chrono::milliseconds aTimeout, int aPriority = 0)
{
  return { aPriority, core::TokenCount(100), kNow, kNow + aTimeout };
}

} // namespace

TEST_CASE("a request is admitted at an engine that has queue space and can meet the deadline")
{
  const auto timeout = std::chrono::seconds(60);

  SUBCASE("it is admitted at the best engine if that has a free slot")
  {
    CHECK(Admit({ Engine(5), Engine(1) }, Query(timeout), {}).engine == 0U);
  }

  SUBCASE("it is admitted at the next engine if the best one is full")
  {
    CHECK(Admit({ Engine(50), Engine(1) }, Query(timeout), {}).engine == 1U);
  }

  SUBCASE("it is refused with a retry delay if all queues are full")
  {
    const auto admission = Admit({ Engine(50), Engine(60) }, Query(timeout), {});
    CHECK(!admission.engine.has_value());
    CHECK(core::IsError(admission.refusal, admission::errors::kOverloaded));
    CHECK(admission.retryAfter >= std::chrono::seconds(8));
  }

  SUBCASE("it is refused if the response would miss the deadline")
  {
    const auto admission = Admit({ Engine(5) }, Query(std::chrono::seconds(1)), {});
    CHECK(!admission.engine.has_value());
    CHECK(core::IsError(admission.refusal, admission::errors::kDeadlineTooNear));
  }

  SUBCASE("an idle engine always admits, since a wrong estimate would exclude it for good")
  {
    CHECK(Admit({ Engine(0) }, Query(std::chrono::milliseconds(1)), {}).engine == 0U);
  }
}

TEST_CASE("the queue limit grows with the priority")
{
  const auto timeout = std::chrono::seconds(60);
  CHECK(!Admit({ Engine(10) }, Query(timeout, -10), {}).engine.has_value());
  CHECK(Admit({ Engine(9) }, Query(timeout, -10), {}).engine.has_value());
  CHECK(!Admit({ Engine(20) }, Query(timeout, 0), {}).engine.has_value());
  CHECK(Admit({ Engine(20) }, Query(timeout, 10), {}).engine.has_value());
}

TEST_CASE("the queue is limited, and a later deadline or higher priority never causes a refusal")
{
  REQUIRE(kSeeded == 0);
  const bool held = rc::check("admission is limited and monotonic", [] {
    const double outstanding = *rc::gen::inRange(0, 100);
    const int priority = *rc::gen::inRange(-10, 10);
    const auto timeout = std::chrono::milliseconds(*rc::gen::inRange(1, 60'000));
    const std::vector<RankedEngine> ranking = { Engine(outstanding) };
    const bool admitted = Admit(ranking, Query(timeout, priority), {}).engine.has_value();
    RC_ASSERT(!admitted || outstanding + 1.0 <= 30.0);
    RC_ASSERT(!admitted || Admit(ranking, Query(timeout * 2, priority), {}).engine.has_value());
    RC_ASSERT(!admitted || Admit(ranking, Query(timeout, priority + 1), {}).engine.has_value());
  });
  CHECK(held);
}
