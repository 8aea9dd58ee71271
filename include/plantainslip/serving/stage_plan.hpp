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

/// @brief How a service's engines are to be divided between the stages.
struct StageGoal
{
  /// @brief Share of a zone's engines that decode; at least one in each zone that has two.
  double decodeShare = 0.25;
  /// @brief Shortfall that is left alone, in engines: a change costs an engine for seconds.
  std::size_t tolerated = 0;
};

/// @brief Time without a change after which the targets of a start have all come: they come one
/// after
///        another, and a plan made in between would be undone.
inline constexpr milliseconds kSettledAfter{ 1'500 };

/// @brief Decides how large a shortfall of a zone is left alone.
///
/// Answers releases, in which engines come and go for many seconds and each comes in whatever
/// stage: waiting for their end leaves too few engines to read prompts.
/// @param aSinceChange  time since an engine last came or went
/// @param aSettledBefore  whether there was no change for #kSettledAfter since the start
/// @return the shortfall in engines, or nothing if no plan is to be made yet
std::optional<std::size_t>
ToleratedShortfall(milliseconds aSinceChange, bool aSettledBefore);

/// @brief Gives the goal for a service before its demand is known.
///
/// Answers engines of very different batch sizes: those that decode must hold the streams of all
/// engines with room to spare, since a full batch makes each token slow and long answers late.
/// @param aSlots  requests that one engine works on at once
StageGoal
StartingGoal(std::uint64_t aSlots);

/// @brief Plans the changes that bring each zone's engines to the goal.
///
/// Answers a fleet that starts far from the mix that its load needs, and engines that leave.
/// Engines that leave count for nothing. One engine of a zone at least stays at work.
/// @return the changes, in the order of the targets; linear in the number of targets
std::vector<StageChange>
PlanStages(const FleetSnapshot& aFleet, const core::ServiceName& aService, const StageGoal& aGoal);

} // namespace plantainslip::serving
