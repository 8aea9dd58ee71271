#include <doctest/doctest.h>

#include <plantainslip/retries/retry_policy.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using retries::DecideRetry;
using retries::FailedAttempt;
using retries::RetryBudget;
using retries::RetryOptions;

namespace {

constexpr core::MonotonicTime kNow{};
constexpr core::MonotonicTime kDeadline = kNow + std::chrono::seconds(10);

FailedAttempt
Failed(core::Outcome aOutcome, bool aIdempotent)
{
  return { 1, aOutcome, aIdempotent, false, kDeadline };
}

} // namespace

TEST_CASE("a failed attempt is repeated only where that does no harm")
{
  RetryBudget budget;
  core::RandomSource random(1);

  SUBCASE("work that was not run is repeated")
  {
    CHECK(DecideRetry(Failed(core::Outcome::kNotRun, false), kNow, budget, random).has_value());
  }

  SUBCASE("work of unknown outcome is repeated only if it is idempotent")
  {
    CHECK(DecideRetry(Failed(core::Outcome::kUnknown, true), kNow, budget, random).has_value());
    CHECK(!DecideRetry(Failed(core::Outcome::kUnknown, false), kNow, budget, random).has_value());
  }

  SUBCASE("claimed work is never repeated, whatever its outcome")
  {
    FailedAttempt claimed = Failed(core::Outcome::kNotRun, true);
    claimed.claimed = true;
    CHECK(!DecideRetry(claimed, kNow, budget, random).has_value());
  }

  SUBCASE("the number of attempts is bounded")
  {
    FailedAttempt last = Failed(core::Outcome::kNotRun, true);
    last.attempts = RetryOptions().mostAttempts;
    CHECK(!DecideRetry(last, kNow, budget, random).has_value());
  }

  SUBCASE("nothing is repeated at or past the deadline")
  {
    CHECK(!DecideRetry(Failed(core::Outcome::kNotRun, true), kDeadline, budget, random));
  }
}

TEST_CASE("the budget bounds the retries by a share of the requests")
{
  RetryOptions options;
  options.mostSaved = 5.0;
  options.retriesPerRequest = 0.5;
  RetryBudget budget(options);
  int taken = 0;
  for (int request = 0; request < 100; ++request) {
    budget.AddRequest();
    while (budget.TakeRetry()) {
      ++taken;
    }
  }
  CHECK(taken >= 50);
  CHECK(taken <= 55);
}

TEST_CASE("the wait is drawn below a bound that doubles up to the longest")
{
  const RetryOptions options;
  core::RandomSource random(7);
  for (std::uint64_t attempts = 1; attempts < 80; ++attempts) {
    const auto wait = retries::DrawBackOff(options, attempts, random);
    CHECK(wait >= std::chrono::milliseconds(0));
    CHECK(wait <= options.longestBackOff);
    CHECK((attempts > 1 || wait <= options.firstBackOff));
  }
}

TEST_CASE("an answer that has begun waits for a target")
{
  const core::ManualClock clock;
  const core::MonotonicTime now = clock.Now();
  const auto later = std::chrono::minutes(10);
  CHECK(retries::MayWaitForPlace(now, now + later, now));
  CHECK(retries::MayWaitForPlace(now, now + later, now + std::chrono::seconds(9)));
  CHECK_FALSE(retries::MayWaitForPlace(now, now + later, now + std::chrono::seconds(10)));
  CHECK_FALSE(
    retries::MayWaitForPlace(now, now + std::chrono::seconds(1), now + std::chrono::seconds(1)));
}

TEST_CASE("the share of a budget shrinks with the number of instances that share it")
{
  RetryOptions options;
  options.retriesPerRequest = 0.0;
  options.mostSaved = 10.0;
  RetryBudget budget(options);
  budget.SetMostSaved(2.0);
  CHECK(budget.TakeRetry());
  CHECK(budget.TakeRetry());
  CHECK_FALSE(budget.TakeRetry());
  SUBCASE("and grows back only by further requests")
  {
    budget.SetMostSaved(10.0);
    CHECK_FALSE(budget.TakeRetry());
  }
}
