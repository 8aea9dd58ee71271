#pragma once

#include <deque>
#include <map>
#include <optional>
#include <utility>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/serving/stage_plan.hpp>

namespace plantainslip::scaling {

/// @brief Headroom and pace of scaling; settings of the gateway.
struct ScalingOptions
{
  /// @brief Headroom of the targets over the measured demand. It covers a burst for the time in
  ///        which new targets start.
  serving::StageHeadroom headroom = {};
  /// @brief Share of a zone's needed targets that are regular ones, so that the zone is served
  ///        while its reclaimable ones are reclaimed; 0 to 1.
  double regularShare = 0.25;
  /// @brief Share of the regular targets that reclaimable ones replace before the demand is known;
  ///        0 to 1, none at 0.
  double initialShare = 0.75;
  /// @brief Time for which the demand must have been lower before targets are given up, in start-up
  ///        times of a target.
  double lowerAfterStartups = 2.0;
  /// @brief Share of the targets that are not needed that is given up in one step; above 0, up
  /// to 1.
  double maxStep = 0.5;
};

/// @brief Targets of one kind, regular or reclaimable, in one zone.
struct KindState
{
  /// @brief Listed targets that are not leaving.
  std::uint64_t serving = 0;
  /// @brief Number last ordered, with those that are starting; equal to #serving if no order is in
  ///        progress.
  std::uint64_t ordered = 0;
  /// @brief Whether the platform has not lately refused or reclaimed targets of this kind here.
  bool available = true;
  /// @brief When a lower number was last ordered.
  std::optional<core::MonotonicTime> loweredAt;
};

/// @brief A service's targets in one zone.
struct ZoneState
{
  KindState regular;
  KindState reclaimable;
  /// @brief Whether an instance of the zone is alive; a zone that is not visible keeps its targets.
  bool visible = false;
  /// @brief Share of the service's demand that arrives in this zone. The shares of the visible
  ///        zones add up to 1.
  double demandShare = 0.0;
};

/// @brief What the number of a service's targets is decided by.
struct ScalingInput
{
  serving::ScalingLimits limits;
  /// @brief Absent for plain services, whose demand is not known.
  std::optional<serving::EngineLimits> engine;
  std::optional<serving::StageDemand> demand;
  /// @brief Serving engines by stage, without leaving ones.
  serving::StageSplit split;
  std::map<core::ZoneId, ZoneState> zones;
  /// @brief Whether the directory is known to be complete; if not, no target is given up.
  bool isDirectoryComplete = false;
};

/// @brief Number of targets in a zone, by kind.
struct ZoneCounts
{
  std::uint64_t regular = 0;
  std::uint64_t reclaimable = 0;

  std::uint64_t Total() const { return this->regular + this->reclaimable; }
  bool operator==(const ZoneCounts&) const = default;
};

using CountsByZone = std::map<core::ZoneId, ZoneCounts>;

/// @brief Targets that the demand of each zone needs, with headroom; fractions are possible.
using NeedByZone = std::map<core::ZoneId, double>;

/// @brief Divides needed targets between the visible zones and the kinds.
///
/// A zone gets what its own demand needs, as traffic between zones is priced too. Each zone keeps
/// a floor of regular targets, one for each stage at least; the others are reclaimable ones. Where
/// there are none, those of other zones take their place, one zone after the other beginning with
/// the cheapest, so that no zone holds most of them; regular ones take it last. Linear in the
/// number of zones and of targets.
/// @param aNeeds  needs of the visible zones; those that are absent need nothing
CountsByZone
DivideTargets(const ScalingInput& aInput, const ScalingOptions& aOptions, const NeedByZone& aNeeds);

/// @brief Desired numbers, and what they follow from.
struct ScalingPlan
{
  /// @brief All zones of the input; a number equal to the ordered one needs no order.
  CountsByZone desired;
  /// @brief Targets that the present demand needs, and those that the largest demand of each zone
  ///        in the last seconds needs; zero if the demand is unknown.
  double needed = 0.0;
  double neededLately = 0.0;
  /// @brief Whether late requests keep targets from being given up.
  bool isHeldByLateness = false;
};

/// @brief Decides how many targets of a service run in each zone.
///
/// Addresses load far below or above the running targets: the present demand with headroom raises
/// the numbers at once; the largest demand of the last seconds lowers them in steps. Regular
/// targets are given up once reclaimable ones serve in their place. Not thread-safe.
class ServicePlanner
{
public:
  explicit ServicePlanner(const ScalingOptions& aOptions)
    : options(aOptions)
  {
  }

  /// @brief Plans the desired numbers. Linear in the number of zones and needed targets, and in the
  ///        number of plans within the time that lowerAfterStartups gives.
  /// @param aNow  not earlier than in previous calls
  ScalingPlan Plan(const ScalingInput& aInput, core::MonotonicTime aNow);

private:
  NeedByZone RecordNeeds(const NeedByZone& aNeeds,
                         const ScalingInput& aInput,
                         core::MonotonicTime aNow);
  ZoneCounts PlanZoneWithoutDemand(const ScalingInput& aInput,
                                   const core::ZoneId& aZone,
                                   core::MonotonicTime aNow);
  ZoneCounts PlanZone(const ScalingInput& aInput,
                      const core::ZoneId& aZone,
                      const ZoneCounts& aPresent,
                      const ZoneCounts& aLately,
                      const std::optional<core::MonotonicTime>& aLowerAt) const;

  ScalingOptions options;
  std::deque<std::pair<core::MonotonicTime, NeedByZone>> needs;
  std::optional<core::MonotonicTime> demandKnownSince;
  /// @brief Targets of a zone that may all be needed, as the demand is not known: the most regular
  ///        ones seen, and the reclaimable ones seen at first.
  struct Unmeasured
  {
    std::uint64_t regular = 0;
    std::uint64_t reclaimable = 0;
  };
  std::map<core::ZoneId, Unmeasured> unmeasured;
};

} // namespace plantainslip::scaling
