#pragma once

#include <map>

#include <plantainslip/serving/load_tracker.hpp>
#include <plantainslip/serving/target_protocol.hpp>

namespace plantainslip::serving {

/// @brief Estimates the prefill time of prompts per engine, learnt from this instance's calls.
///
/// Engines of a fleet may differ in speed. Not thread-safe.
class PrefillModel
{
public:
  /// @brief Rate assumed until the first call has ended, in tokens per millisecond.
  static constexpr double kInitialRate = 70.0;
  /// @brief Time of a call other than the prefill: connection, batch step and answer.
  static constexpr milliseconds kCallOverhead{ 70 };
  /// @brief Weight of the newest call in the moving averages, which span about twenty calls.
  static constexpr double kSmoothingFactor = 0.05;

  /// @brief Returns the estimated rate of an engine in tokens per millisecond. Logarithmic in the
  ///        number of targets.
  double Rate(const core::TargetId& aTarget) const;

  /// @brief Estimates the time in which an engine prefills tokens. Logarithmic in the number of
  ///        targets.
  milliseconds Duration(const core::TargetId& aTarget, double aTokens) const;

  /// @brief Updates the estimate with a call that ended. Logarithmic in the number of targets.
  ///
  /// The larger the queue before the prompt, the less the call counts: its duration then shows the
  /// queue, which is known with a delay only, rather than the engine's speed.
  /// @param aQueuedTokens  tokens that were queued at the engine before the prompt
  /// @param aTokens  tokens of the prompt that the engine prefilled
  /// @param aTook  duration of the call
  void RecordCall(const core::TargetId& aTarget,
                  double aQueuedTokens,
                  double aTokens,
                  milliseconds aTook);

private:
  /// @brief Moving averages whose ratio is the rate; an average of ratios would be dominated by
  ///        short prompts.
  struct Means
  {
    double tokens = 0.0;
    double milliseconds = 0.0;
  };

  std::map<core::TargetId, Means> means;
};

/// @brief Returns the priority of a prompt, by the time that it can wait and still be on time.
///
/// Prompts of very different lengths share one queue: the one with the least slack is prefilled
/// first. A prompt that will be late in any case gets the lowest priority, so that it delays no
/// other.
/// @param aSlack  time left until the first event is late, minus the prefill time of the prompt
std::size_t
PromptPriority(milliseconds aSlack);

/// @brief Returns the number of tokens after the last shared part, which are always prefilled.
std::uint64_t
UnsharedTokens(const PromptInfo& aPrompt);

/// @brief Returns the number of tokens in a prompt's shared parts: all parts but the last.
std::uint64_t
SharedTokens(const PromptInfo& aPrompt);

/// @brief Returns the key that determines the home engines of a prompt's shared parts: the id of
///        the last shared part.
/// @return the key, or zero if the prompt has no shared part
std::uint64_t
SharedKey(const PromptInfo& aPrompt);

} // namespace plantainslip::serving
