#pragma once

#include <chrono>
#include <map>
#include <mutex>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::routing {

/// @brief Duration in seconds, with fractions.
using Seconds = std::chrono::duration<double>;

/// @brief What is known of how fast an engine works. The defaults are hopeful, since an engine that
///        gets no work can teach nothing.
struct EngineCapacity
{
  /// @brief Requests that it works on at once; more of them wait in its queue.
  double slots = 16.0;
  /// @brief Mean time that a request holds a slot.
  Seconds attempt{ 1.0 };
  /// @brief Prompt tokens that it prefills in a second.
  double prefillTokensPerSecond = 10'000.0;
  /// @brief Mean time between two tokens of one answer.
  Seconds tokenInterval{ 0.001 };
  /// @brief Mean share of `max_tokens` that answers come to.
  double lengthShare = 1.0;
};

/// @brief One attempt that an engine brought to its end.
struct FinishedAttempt
{
  /// @brief Time from the start to the first token.
  Seconds firstToken{ 0.0 };
  /// @brief Time from the first token to the end.
  Seconds decode{ 0.0 };
  /// @brief Prompt tokens that the engine was believed not to hold.
  core::TokenCount uncached;
  /// @brief Whether the engine was believed to have a free slot at the start.
  bool startedAtOnce = false;
  core::TokenCount tokens;
  core::TokenCount maxTokens;
};

/// @brief Learns each engine's capacity from its reports and from finished attempts.
/// @note Safe from any thread; logarithmic in the number of engines; no errors.
class CapacityBook
{
public:
  /// @brief Takes a report: while requests wait, the running ones show the number of slots.
  void AdoptReport(const core::TargetId& aTarget, const targets::EngineReport& aReport);

  /// @brief Takes the figures of an attempt, as a moving average.
  void AddAttempt(const core::TargetId& aTarget, const FinishedAttempt& aAttempt);

  /// @brief Takes how long a request waited for its slot, or for how long it waited in vain.
  /// @param aPriority  of [-10, 10]; engines work on higher ones first, so lower ones wait longer
  /// @param aExpected  the wait that was expected; expectations of zero teach nothing
  void AddWait(int aPriority, Seconds aExpected, Seconds aObserved);

  /// @brief Gives by how much waits of a priority exceed those expected from the queue's length.
  double WaitFactor(int aPriority) const;

  /// @brief Takes an attempt that failed.
  void AddFailure(const core::TargetId& aTarget, core::MonotonicTime aNow);

  /// @brief Gives the engine's recent failures, each of which counts half after every 5 s.
  double RecentFailures(const core::TargetId& aTarget, core::MonotonicTime aNow) const;

  /// @brief Gives what is known of an engine; for an unknown one, the defaults.
  EngineCapacity Of(const core::TargetId& aTarget) const;

private:
  struct Learned
  {
    EngineCapacity capacity;
    std::uint64_t attempts = 0;
    double failures = 0.0;
    core::MonotonicTime failuresAt;
  };

  static double Decay(const Learned& aLearned, core::MonotonicTime aNow);

  mutable std::mutex mutex;
  std::map<core::TargetId, Learned> engines;
  std::map<int, double> waitFactors;
};

} // namespace plantainslip::routing
