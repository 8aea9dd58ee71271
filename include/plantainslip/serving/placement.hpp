#pragma once

#include <optional>
#include <span>
#include <vector>

#include <plantainslip/serving/load_book.hpp>
#include <plantainslip/serving/prefill_model.hpp>
#include <plantainslip/serving/target_health.hpp>

namespace plantainslip::serving {

/// @brief What placement looks at, apart from the request.
struct PlacementView
{
  const FleetSnapshot& fleet;
  const LoadBook& loads;
  const TargetHealth& health;
  const PrefillModel& prefill;
  core::ZoneId ownZone;
  core::MonotonicTime now;
};

/// @brief Targets that a request has already been to or could not reach.
using TriedTargets = std::vector<core::TargetId>;

/// @brief Where a prompt is to be read.
struct PrefillPlace
{
  Target target;
  /// @brief Engine that holds the shared parts, if it is another one.
  std::optional<net::Address> fetchFrom;
  /// @brief Time until the engine has read what comes before this prompt.
  milliseconds wait{ 0 };
  /// @brief Time that the engine needs for this prompt.
  milliseconds reading{ 0 };
  /// @brief Tokens to be read if the shared parts are at hand.
  double tokens = 0.0;
  /// @brief Priority to send the prompt with.
  std::size_t priority = 0;
};

/// @brief Chooses the engine that reads a prompt.
///
/// Answers prompts that share parts under a shifting load: each shared part has a home by
/// rendezvous hashing, and an engine that is free much sooner fetches the part from there.
/// @param aSlack  time until the first event is late, counted from now
/// @return nothing if no engine can be chosen; linear in the number of targets and peers
std::optional<PrefillPlace>
ChoosePrefill(const PlacementView& aView,
              const core::ServiceName& aService,
              const PromptFacts& aPrompt,
              milliseconds aSlack,
              const TriedTargets& aTried);

/// @brief Chooses the engine that makes the output.
/// @param aNear  zone of the engine that holds the prompt's cache
/// @return nothing if no engine can be chosen; linear in the number of targets and peers
std::optional<Target>
ChooseDecode(const PlacementView& aView,
             const core::ServiceName& aService,
             const core::ZoneId& aNear,
             const TriedTargets& aTried);

/// @brief Chooses a target of a plain service: the least loaded, the own zone first among equals.
///
/// Answers grey targets, whose failures count as load.
/// @return nothing if no target can be chosen; linear in the number of targets and peers
std::optional<Target>
ChoosePlain(const PlacementView& aView,
            const core::ServiceName& aService,
            const TriedTargets& aTried);

} // namespace plantainslip::serving
