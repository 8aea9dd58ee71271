#pragma once

#include <optional>
#include <span>
#include <vector>

#include <plantainslip/serving/connection_view.hpp>
#include <plantainslip/serving/load_tracker.hpp>
#include <plantainslip/serving/prefill_model.hpp>
#include <plantainslip/serving/target_health.hpp>
#include <plantainslip/serving/target_limits.hpp>

namespace plantainslip::serving {

/// @brief Time from the end of the prefill to the first event at the caller.
inline constexpr milliseconds kFirstEventDelay{ 95 };

/// @brief Inputs of placement other than the request.
struct PlacementView
{
  const FleetSnapshot& fleet;
  const LoadTracker& loads;
  const TargetHealth& health;
  const PrefillModel& prefill;
  const TargetNotices& notices;
  const TargetLimits& limits;
  core::ZoneId ownZone;
  core::MonotonicTime now;
  /// @brief Connections of this instance; null if they are not considered.
  const ConnectionView* connections = nullptr;
  /// @brief How long a connection may have been idle to carry the request.
  milliseconds maxIdle{ 0 };
  /// @brief Identifies this instance: each prefers other targets among those that are equally good,
  ///        so that it uses few of them and its connections are reused.
  std::uint64_t affinityKey = 0;
};

/// @brief Targets that a request was already sent to or could not reach.
using TriedTargets = std::vector<core::TargetId>;

/// @brief Engine chosen to prefill a prompt, with the expected times.
struct PrefillPlacement
{
  Target target;
  /// @brief Engine that the shared parts may be fetched from, if there is one.
  std::optional<net::Address> fetchFrom;
  /// @brief Expected queueing time before the engine prefills this prompt.
  milliseconds queueingTime{ 0 };
  /// @brief Expected prefill time of this prompt.
  milliseconds prefillTime{ 0 };
  /// @brief Tokens to prefill if the shared parts are cached.
  double tokens = 0.0;
  /// @brief Priority to send the prompt with.
  std::size_t priority = 0;
};

/// @brief Chooses the engine that prefills a prompt.
///
/// Balances cache reuse against load: rendezvous hashing gives each shared part a home engine, and
/// an engine that is free much sooner than the home fetches the part from there.
/// @param aSlack  time left until the first event is late
/// @return nothing if no engine can be chosen; linear in the number of targets and peers
std::optional<PrefillPlacement>
ChoosePrefill(const PlacementView& aView,
              const core::ServiceName& aService,
              const PromptInfo& aPrompt,
              milliseconds aSlack,
              const TriedTargets& aTried);

/// @brief Chooses the engine that decodes the output.
///
/// An engine whose memory the request would exceed is not chosen, if the configuration states it.
/// @param aCacheZone  zone of the engine that holds the prompt's cache
/// @param aTokens  prompt and expected output; zero ignores the engines' memory
/// @return nothing if no engine can be chosen; linear in the number of targets and peers
std::optional<Target>
ChooseDecode(const PlacementView& aView,
             const core::ServiceName& aService,
             const core::ZoneId& aCacheZone,
             const TriedTargets& aTried,
             double aTokens = 0.0);

/// @brief Returns the tokens that one engine of a service holds; zero if the configuration does not
///        state it.
double
EngineMemory(const FleetSnapshot& aFleet, const core::ServiceName& aService);

/// @brief Chooses the least loaded target of a plain service, preferring the instance's own zone.
///
/// A target's recent failures count as load, so that one that fails part of its requests gets less
/// work.
/// @return nothing if no target can be chosen; linear in the number of targets and peers
std::optional<Target>
ChoosePlain(const PlacementView& aView,
            const core::ServiceName& aService,
            const TriedTargets& aTried);

/// @brief Returns the time until a target that is not leaving takes another request of this
///        instance, by its pause and its rate limit; zero if it takes one now.
milliseconds
WaitFor(const PlacementView& aView, const Target& aTarget);

/// @brief Returns the time until a target of a service takes requests again, if all that are not
///        leaving want none for a time.
///
/// Engines that prefill are not considered: a request can do without one.
/// @return zero if no such wait is known; linear in the number of targets
milliseconds
PauseOf(const PlacementView& aView, const core::ServiceName& aService);

} // namespace plantainslip::serving
