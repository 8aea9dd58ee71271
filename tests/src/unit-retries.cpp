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

TEST_CASE("a failed attempt is retried only if that is safe")
{
  RetryBudget budget;
  core::RandomSource random(1);

  SUBCASE("a request that was not run is retried")
  {
    CHECK(DecideRetry(Failed(core::Outcome::kNotRun, false), kNow, budget, random).has_value());
  }

  SUBCASE("a request of unknown outcome is retried only if it is idempotent")
  {
    CHECK(DecideRetry(Failed(core::Outcome::kUnknown, true), kNow, budget, random).has_value());
    CHECK(!DecideRetry(Failed(core::Outcome::kUnknown, false), kNow, budget, random).has_value());
  }

  SUBCASE("a claimed request is never retried")
  {
    FailedAttempt claimed = Failed(core::Outcome::kNotRun, true);
    claimed.claimed = true;
    CHECK(!DecideRetry(claimed, kNow, budget, random).has_value());
  }

  SUBCASE("the number of attempts is limited")
  {
    FailedAttempt last = Failed(core::Outcome::kNotRun, true);
    last.attempts = RetryOptions().maxAttempts;
    CHECK(!DecideRetry(last, kNow, budget, random).has_value());
  }

  SUBCASE("there is no retry at or after the deadline")
  {
    CHECK(!DecideRetry(Failed(core::Outcome::kNotRun, true), kDeadline, budget, random));
  }
}

TEST_CASE("the budget limits retries to a fraction of the requests")
{
  RetryOptions options;
  options.maxBalance = 5.0;
  options.retriesPerRequest = 0.5;
  RetryBudget budget(options);
  int taken = 0;
  for (int request = 0; request < 100; ++request) {
    budget.AddRequest();
    while (budget.TryTakeRetry()) {
      ++taken;
    }
  }
  CHECK(taken >= 50);
  CHECK(taken <= 55);
}

TEST_CASE("the backoff never exceeds its limits")
{
  const RetryOptions options;
  core::RandomSource random(7);
  for (std::uint64_t attempts = 1; attempts < 80; ++attempts) {
    const auto wait = retries::DrawBackoff(options, attempts, random);
    CHECK(wait >= std::chrono::milliseconds(0));
    CHECK(wait <= options.maxBackoff);
    CHECK((attempts > 1 || wait <= options.initialBackoff));
  }
}

TEST_CASE("a response that has begun waits for a target for a limited time")
{
  const core::ManualClock clock;
  const core::MonotonicTime now = clock.Now();
  const auto later = std::chrono::minutes(10);
  CHECK(retries::MayWaitForTarget(now, now + later, now));
  CHECK(retries::MayWaitForTarget(now, now + later, now + std::chrono::seconds(9)));
  CHECK_FALSE(retries::MayWaitForTarget(now, now + later, now + std::chrono::seconds(10)));
  CHECK_FALSE(
    retries::MayWaitForTarget(now, now + std::chrono::seconds(1), now + std::chrono::seconds(1)));
}

TEST_CASE("lowering the maximum of the budget discards the excess")
{
  RetryOptions options;
  options.retriesPerRequest = 0.0;
  options.maxBalance = 10.0;
  RetryBudget budget(options);
  budget.SetMaxBalance(2.0);
  CHECK(budget.TryTakeRetry());
  CHECK(budget.TryTakeRetry());
  CHECK_FALSE(budget.TryTakeRetry());
  SUBCASE("raising it again adds no retries")
  {
    budget.SetMaxBalance(10.0);
    CHECK_FALSE(budget.TryTakeRetry());
  }
}
