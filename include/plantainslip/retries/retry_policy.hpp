#pragma once

#include <chrono>
#include <mutex>
#include <optional>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/outcome.hpp>
#include <plantainslip/core/random.hpp>

namespace plantainslip::retries {

/// @brief Limits of retries.
struct RetryOptions
{
  /// @brief Maximum number of attempts of one request, including the first.
  std::uint64_t maxAttempts = 4;
  /// @brief Retries added to the budget by the first attempt of each request.
  double retriesPerRequest = 0.1;
  /// @brief Maximum number of retries in the budget; large enough to resume all open streams of one
  ///        failed engine.
  double maxBalance = 100.0;
  /// @brief Upper limit of the backoff before the first retry; doubles with each further retry.
  std::chrono::milliseconds initialBackoff = std::chrono::milliseconds(20);
  /// @brief Upper limit of any backoff.
  std::chrono::milliseconds maxBackoff = std::chrono::seconds(1);
};

/// @brief Token bucket that limits the retries of one instance to a fraction of its requests.
/// @note Safe from any thread; constant time; no errors.
class RetryBudget
{
public:
  /// @brief Starts with a full budget.
  explicit RetryBudget(const RetryOptions& aOptions = {})
    : options(aOptions)
    , balance(aOptions.maxBalance)
  {
  }

  /// @brief Adds to the budget for the first attempt of a request.
  void AddRequest();

  /// @brief Takes one retry from the budget.
  /// @return false if the budget is exhausted
  bool TryTakeRetry();

  /// @brief Sets the maximum number of retries in the budget; any excess is discarded.
  void SetMaxBalance(double aMaxBalance);

  /// @brief Returns the limits.
  const RetryOptions& Options() const { return this->options; }

private:
  RetryOptions options;
  std::mutex mutex;
  double balance;
};

/// @brief State of a request after a failed attempt.
struct FailedAttempt
{
  /// @brief Attempts made so far, including this one.
  std::uint64_t attempts = 1;
  /// @brief Combined outcome of all attempts so far.
  core::Outcome outcome = core::Outcome::kUnknown;
  /// @brief Whether the request can safely be executed more than once.
  bool idempotent = false;
  /// @brief Whether the request was claimed for at-most-once execution; it is then never retried.
  bool claimed = false;
  /// @brief Time at which the caller gives up.
  core::MonotonicTime deadline;
};

/// @brief Checks whether a retry is safe and in time, regardless of the retry budget.
/// @return true if the attempt may be retried; constant time
bool
MayRetry(const RetryOptions& aOptions, const FailedAttempt& aFailed, core::MonotonicTime aNow);

/// @brief Draws the backoff before the next attempt: exponential, with full jitter.
/// @param aAttempts  attempts made so far, at least one
std::chrono::milliseconds
DrawBackoff(const RetryOptions& aOptions, std::uint64_t aAttempts, core::RandomSource& aRandom);

/// @brief Maximum time that a response which has begun waits for a target. Longer than a target is
///        unavailable during a change.
inline constexpr std::chrono::seconds kMaxTargetWait{ 10 };
/// @brief Interval at which a waiting response polls for a target. Polling calls no target, so it
///        takes nothing from the retry budget.
inline constexpr std::chrono::milliseconds kTargetPollInterval{ 100 };

/// @brief Checks whether a response that has begun may continue to wait for a target.
/// @param aSince  start of the wait
/// @param aDeadline  time at which the caller gives up
/// @return false after #kMaxTargetWait or the deadline; constant time, no errors
bool
MayWaitForTarget(core::MonotonicTime aSince,
                 core::MonotonicTime aDeadline,
                 core::MonotonicTime aNow);

/// @brief Decides whether to retry after a failed attempt, and takes the retry from the budget.
/// @param aFailed  the failed attempt
/// @param aNow  current time
/// @param aBudget  retry budget of this instance
/// @param aRandom  random number generator for the backoff
/// @return the backoff before the next attempt, or `std::nullopt` for no retry; constant time
std::optional<std::chrono::milliseconds>
DecideRetry(const FailedAttempt& aFailed,
            core::MonotonicTime aNow,
            RetryBudget& aBudget,
            core::RandomSource& aRandom);

} // namespace plantainslip::retries
