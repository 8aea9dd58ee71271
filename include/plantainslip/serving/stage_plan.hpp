#pragma once

#include <optional>
#include <vector>

#include <plantainslip/serving/fleet.hpp>

namespace plantainslip::serving {

/// @brief One change of an engine's stage.
struct StageChange
{
  Target target;
  EngineStage stage = EngineStage::kNone;
};

/// @brief Desired division of a service's engines between the stages.
struct StageGoal
{
  /// @brief Share of a zone's engines that decode; at least one in each zone with two engines.
  double decodeShare = 0.25;
  /// @brief Shortfall per zone that is not corrected, in engines: a stage change makes an engine
  ///        unavailable for seconds.
  std::size_t toleratedShortfall = 0;
};

/// @brief Time without a membership change after which all targets are assumed to have started:
///        they appear one after another, and a plan made in between would be undone.
inline constexpr milliseconds kSettlingTime{ 1'500 };

/// @brief Decides how large a shortfall of a zone is tolerated.
///
/// During a rolling update engines leave and join for many seconds, each in an arbitrary stage.
/// Waiting until the update ends would leave too few engines for prefill.
/// @param aSinceChange  time since an engine last joined or left
/// @param aSettledBefore  whether there was a period of #kSettlingTime without a change since the
///                        start
/// @return the shortfall in engines, or nothing if no plan is to be made yet
std::optional<std::size_t>
ToleratedShortfall(milliseconds aSinceChange, bool aSettledBefore);

/// @brief Returns the goal for a service whose demand is not known yet.
///
/// Batch sizes differ widely between engines. The decoding engines need spare capacity beyond the
/// streams of all engines, since a full batch slows each token and makes long answers late.
/// @param aSlots  requests that one engine works on at the same time
StageGoal
InitialStageGoal(std::uint64_t aSlots);

/// @brief Plans the changes that bring each zone's engines to the goal.
///
/// Corrects a fleet that starts far from the mix that its load needs, or that loses engines.
/// Leaving engines are not counted. At least one engine of each zone keeps its stage.
/// @return the changes, grouped by zone, youngest engine first; linear in the number of targets
///         apart from sorting
std::vector<StageChange>
PlanStages(const FleetSnapshot& aFleet, const core::ServiceName& aService, const StageGoal& aGoal);

} // namespace plantainslip::serving
