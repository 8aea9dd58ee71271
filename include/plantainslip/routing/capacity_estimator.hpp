#pragma once

#include <chrono>
#include <map>
#include <mutex>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::routing {

/// @brief Duration in fractional seconds.
using Seconds = std::chrono::duration<double>;

/// @brief Estimated capacity of an engine. The defaults are optimistic, because nothing can be
///        measured on an engine that gets no requests.
struct EngineCapacity
{
  /// @brief Maximum number of requests processed concurrently; further ones are queued.
  double slots = 16.0;
  /// @brief Mean time for which a request occupies a slot.
  Seconds meanSlotTime{ 1.0 };
  /// @brief Prompt tokens prefilled per second.
  double prefillTokensPerSecond = 10'000.0;
  /// @brief Mean time between two tokens of one response.
  Seconds tokenInterval{ 0.001 };
  /// @brief Mean ratio of generated tokens to `max_tokens`.
  double outputLengthRatio = 1.0;
};

/// @brief Measurements of an attempt that an engine completed.
struct FinishedAttempt
{
  /// @brief Time from the start to the first token.
  Seconds firstToken{ 0.0 };
  /// @brief Time from the first token to the end.
  Seconds decode{ 0.0 };
  /// @brief Prompt tokens that were estimated not to be in the engine's prefix cache.
  core::TokenCount uncached;
  /// @brief Whether the engine was estimated to have a free slot at the start.
  bool startedAtOnce = false;
  core::TokenCount tokens;
  core::TokenCount maxTokens;
};

/// @brief Estimates each engine's capacity from its load reports and from finished attempts.
/// @note Safe from any thread; logarithmic in the number of engines; no errors.
class CapacityEstimator
{
public:
  /// @brief Updates the number of slots: while requests are queued, it equals the number of running
  ///        ones.
  void UpdateFromReport(const core::TargetId& aTarget, const targets::EngineReport& aReport);

  /// @brief Adds an attempt's measurements to the moving averages.
  void RecordAttempt(const core::TargetId& aTarget, const FinishedAttempt& aAttempt);

  /// @brief Records how long a request waited for a slot, whether or not it got one.
  /// @param aPriority  in [-10, 10]; engines serve higher ones first, so lower ones wait longer
  /// @param aExpected  the estimated wait; samples with an estimate of zero are ignored
  /// @param aObserved  the measured wait
  void RecordWait(int aPriority, Seconds aExpected, Seconds aObserved);

  /// @brief Returns the ratio of the observed waits at a priority to the waits estimated from the
  ///        queue length.
  double WaitFactor(int aPriority) const;

  /// @brief Records a failed attempt.
  void RecordFailure(const core::TargetId& aTarget, core::MonotonicTime aNow);

  /// @brief Returns the number of the engine's failures, decayed with a half-life of 5 s.
  double RecentFailures(const core::TargetId& aTarget, core::MonotonicTime aNow) const;

  /// @brief Returns the estimated capacity of an engine; the defaults for an unknown one.
  EngineCapacity Get(const core::TargetId& aTarget) const;

private:
  struct EngineRecord
  {
    EngineCapacity capacity;
    std::uint64_t attempts = 0;
    double failures = 0.0;
    core::MonotonicTime failuresAt;
  };

  static double DecayedFailures(const EngineRecord& aRecord, core::MonotonicTime aNow);

  mutable std::mutex mutex;
  std::map<core::TargetId, EngineRecord> engines;
  std::map<int, double> waitFactorByPriority;
};

} // namespace plantainslip::routing
