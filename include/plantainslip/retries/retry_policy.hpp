#pragma once

#include <chrono>
#include <mutex>
#include <optional>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/outcome.hpp>
#include <plantainslip/core/random.hpp>

namespace plantainslip::retries {

/// @brief Bounds of retrying.
struct RetryOptions
{
  /// @brief Most attempts of one request, the first included.
  std::uint64_t mostAttempts = 4;
  /// @brief Retries that each first attempt adds to the budget.
  double retriesPerRequest = 0.1;
  /// @brief Most retries that the budget holds, so that one engine's open streams can be resumed.
  double mostSaved = 100.0;
  /// @brief Upper bound of the wait before the first retry; doubles with each further one.
  std::chrono::milliseconds firstBackOff = std::chrono::milliseconds(20);
  /// @brief Upper bound of any wait.
  std::chrono::milliseconds longestBackOff = std::chrono::seconds(1);
};

/// @brief Token bucket that bounds the retries of one instance by a share of its requests.
/// @note Safe from any thread; constant time; no errors.
class RetryBudget
{
public:
  /// @brief Starts with a full budget.
  explicit RetryBudget(const RetryOptions& aOptions = {})
    : options(aOptions)
    , saved(aOptions.mostSaved)
  {
  }

  /// @brief Counts the first attempt of a request.
  void AddRequest();

  /// @brief Takes one retry out of the budget.
  /// @return false if the budget is spent
  bool TakeRetry();

  /// @brief Sets the most retries that the budget holds; what is saved beyond that is lost.
  void SetMostSaved(double aMostSaved);

  /// @brief Gives the bounds.
  const RetryOptions& Options() const { return this->options; }

private:
  RetryOptions options;
  std::mutex mutex;
  double saved;
};

/// @brief An attempt that failed.
struct FailedAttempt
{
  /// @brief Attempts made so far, this one included.
  std::uint64_t attempts = 1;
  /// @brief What is known of all attempts so far.
  core::Outcome outcome = core::Outcome::kUnknown;
  /// @brief Whether running the work again does no harm.
  bool idempotent = false;
  /// @brief Whether the request was claimed; a claimed request is never retried.
  bool claimed = false;
  /// @brief Moment at which the caller gives up.
  core::MonotonicTime deadline;
};

/// @brief Tells whether a retry could do harm or come too late, whatever the budget holds.
/// @return true if the attempt may be repeated; constant time
bool
MayRetry(const RetryOptions& aOptions, const FailedAttempt& aFailed, core::MonotonicTime aNow);

/// @brief Draws the wait before the next attempt: uniform below a bound that doubles.
/// @param aAttempts  attempts made so far, at least one
std::chrono::milliseconds
DrawBackOff(const RetryOptions& aOptions, std::uint64_t aAttempts, core::RandomSource& aRandom);

/// @brief Longest time that an answer which has begun waits for a target; longer than a target is
///        away for a change.
inline constexpr std::chrono::seconds kLongestPlaceWait{ 10 };
/// @brief Time between two looks for a target. No target is called, so no budget is needed.
inline constexpr std::chrono::milliseconds kPlacePollInterval{ 100 };

/// @brief Tells whether an answer that has begun may go on waiting for a target.
/// @param aSince  when the wait began
/// @param aDeadline  moment at which the caller gives up
/// @return false after #kLongestPlaceWait or the deadline; constant time, no errors
bool
MayWaitForPlace(core::MonotonicTime aSince,
                core::MonotonicTime aDeadline,
                core::MonotonicTime aNow);

/// @brief Decides whether a failed attempt is followed by another, and takes it out of the budget.
/// @param aFailed  the attempt
/// @param aNow  present moment
/// @param aBudget  budget of this instance
/// @param aRandom  source of the wait
/// @return the wait before the next attempt, or nothing if there is to be none; constant time
std::optional<std::chrono::milliseconds>
DecideRetry(const FailedAttempt& aFailed,
            core::MonotonicTime aNow,
            RetryBudget& aBudget,
            core::RandomSource& aRandom);

} // namespace plantainslip::retries
