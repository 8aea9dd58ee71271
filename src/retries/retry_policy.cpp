#include <plantainslip/retries/retry_policy.hpp>

#include <algorithm>

namespace plantainslip::retries {

namespace {

constexpr std::uint64_t kMaxDoublings = 20;

} // namespace

void
RetryBudget::AddRequest()
{
  const std::scoped_lock lock(this->mutex);
  this->balance =
    std::min(this->balance + this->options.retriesPerRequest, this->options.maxBalance);
}

void
RetryBudget::SetMaxBalance(double aMaxBalance)
{
  const std::scoped_lock lock(this->mutex);
  this->options.maxBalance = aMaxBalance;
  this->balance = std::min(this->balance, aMaxBalance);
}

bool
RetryBudget::TryTakeRetry()
{
  const std::scoped_lock lock(this->mutex);
  if (this->balance < 1.0) {
    return false;
  }
  this->balance -= 1.0;
  return true;
}

bool
MayRetry(const RetryOptions& aOptions, const FailedAttempt& aFailed, core::MonotonicTime aNow)
{
  const bool harmless = aFailed.idempotent || aFailed.outcome == core::Outcome::kNotRun;
  const bool attemptsLeft = aFailed.attempts < aOptions.maxAttempts;
  return harmless && !aFailed.claimed && attemptsLeft && aNow < aFailed.deadline;
}

std::chrono::milliseconds
DrawBackoff(const RetryOptions& aOptions, std::uint64_t aAttempts, core::RandomSource& aRandom)
{
  const std::uint64_t doublings = std::min(aAttempts - 1, kMaxDoublings);
  const auto bound =
    std::min(aOptions.initialBackoff * (std::int64_t{ 1 } << doublings), aOptions.maxBackoff);
  const auto drawn = aRandom.Below(static_cast<std::uint64_t>(bound.count()) + 1);
  return std::chrono::milliseconds(drawn);
}

bool
MayWaitForTarget(core::MonotonicTime aSince,
                 core::MonotonicTime aDeadline,
                 core::MonotonicTime aNow)
{
  return aNow < aDeadline && aNow - aSince < kMaxTargetWait;
}

std::optional<std::chrono::milliseconds>
DecideRetry(const FailedAttempt& aFailed,
            core::MonotonicTime aNow,
            RetryBudget& aBudget,
            core::RandomSource& aRandom)
{
  if (!MayRetry(aBudget.Options(), aFailed, aNow)) {
    return std::nullopt;
  }
  const auto wait = DrawBackoff(aBudget.Options(), aFailed.attempts, aRandom);
  if (aNow + wait >= aFailed.deadline || !aBudget.TryTakeRetry()) {
    return std::nullopt;
  }
  return wait;
}

} // namespace plantainslip::retries
