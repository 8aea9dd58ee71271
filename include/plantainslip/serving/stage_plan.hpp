#pragma once

#include <optional>
#include <vector>

#include <plantainslip/serving/stage_demand.hpp>

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
  /// @brief Whether only zones that lack a stage are changed.
  bool onlyMissingStages = false;
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

/// @brief Number of a service's engines in each stage.
struct StageSplit
{
  std::size_t prefill = 0;
  std::size_t decode = 0;
};

/// @brief Growth of the demand in a burst that the engines should still serve.
inline constexpr double kBurstFactor = 1.5;
/// @brief Share of a decoding engine's places that may be taken: beyond it each further request
///        slows down all others of the batch.
inline constexpr double kUsableBatchShare = 0.5;

/// @brief Headroom of the engines over the measured demand.
struct StageHeadroom
{
  /// @brief Growth of the demand that must be borne while new engines start; at least 1.
  double burstFactor = kBurstFactor;
  /// @brief Share of the engines' time, slots and memory that may be taken in such a burst; above 0
  ///        and below 1. The rest of the memory is left to shared prompt parts.
  double maxUse = kUsableBatchShare;
};

/// @brief Engines that a demand needs in each stage; fractions of engines are possible.
struct StageNeed
{
  double prefill = 0.0;
  double decode = 0.0;

  /// @brief Returns the number of engines for both stages.
  double Total() const { return this->prefill + this->decode; }
};

/// @brief Returns the engines that serve a demand with headroom. Constant time.
/// @param aLimits  capacities of one engine; a capacity of zero is unknown and does not bind
StageNeed
NeededEngines(const StageDemand& aDemand,
              const EngineLimits& aLimits,
              const StageHeadroom& aHeadroom = {});

/// @brief What a change of the split costs, and how long it pays.
struct StageChangeCosts
{
  /// @brief Time for which the present demand is expected to last.
  std::chrono::seconds horizon{ 30 };
  /// @brief Price of an order beside the time in which the engine is away, in requests.
  double requestsPerOrder = 3.0;
};

/// @brief Shares of the requests that are late because of each stage, or of the transfer between
///        them. Above 1 if a stage is overloaded, and then the higher the more it is.
struct StageLateShares
{
  double prefill = 0.0;
  double decode = 0.0;
  double transfer = 0.0;
};

/// @brief Estimates the shares of requests that a split makes late in a burst, by queueing theory.
///
/// Covers any mix of prompt and output tokens: prefill is a queue in front of busy engines; decode
/// is bounded by batch slots and cache memory; caches are fetched over one link an engine.
/// @param aLimits  capacities of one engine; a capacity of zero is unknown and does not bind
/// @param aSplit  at least one engine in each stage
/// @return constant time
StageLateShares
TheoreticalLateShares(const StageDemand& aDemand,
                      const EngineLimits& aLimits,
                      const StageSplit& aSplit);

/// @brief Estimates the share of requests that a split makes late, from the share at another split.
///
/// Queues are longer than theory says where prompts have homes, and decoding slows down as batches
/// grow, so the measured lateness calibrates how it depends on the use of a stage.
/// @param aCurrent  split at which the lateness was measured
/// @param aSplit  split to estimate; both have at least one engine in each stage
/// @return constant time
double
ExtrapolatedLateShare(const StageDemand& aDemand,
                      const EngineLimits& aLimits,
                      const StageSplit& aCurrent,
                      const StageSplit& aSplit);

/// @brief Returns the share of a service's engines that decode until its demand is known.
///
/// An assumption, not a measurement: some 20 open streams for each engine of the service. Engines
/// with large batches need fewer of them. The plan by demand replaces it.
/// @param aSlots  requests that one engine works on at the same time
double
InitialDecodeShare(std::uint64_t aSlots);

/// @brief Chooses how many engines should decode.
///
/// A change is worth it if it makes fewer requests late within the horizon than it costs: the work
/// that the changing engines do not do meanwhile, and the orders. Only measured lateness speaks for
/// a change; a split that would leave a stage without headroom for a burst is not chosen for it.
/// @param aCurrent  present split; ordered changes count as done
/// @param aMinDecode  least number of decoding engines, at least one
/// @return the split; the present one if no change pays. Linear in the number of engines
StageSplit
PlanStageSplit(const StageDemand& aDemand,
               const EngineLimits& aLimits,
               const StageSplit& aCurrent,
               std::size_t aMinDecode,
               const StageChangeCosts& aCosts);

/// @brief Counts a service's engines by stage, in all zones, without leaving ones. Linear in the
///        number of targets.
StageSplit
CountStages(const FleetSnapshot& aFleet, const core::ServiceName& aService);

/// @brief Counts the zones that have an engine of the service which is not leaving. Linear in the
///        number of targets.
std::size_t
CountEngineZones(const FleetSnapshot& aFleet, const core::ServiceName& aService);

/// @brief Returns the split that the demand needs of a fleet whose number of engines is scaled.
///
/// Scaling removes and adds engines without regard to their stages, and new ones arrive in a stage
/// that the platform chooses, so that one stage may be left with less than the measured demand
/// keeps busy while the other has plenty. Without a burst factor, the needs tell when a stage is
/// short; with it, they tell how the engines are divided. The difference keeps a wave from moving
/// engines back and forth.
/// @param aPlanned  split by PlanStageSplit(); kept while no stage is short of engines
/// @param aMinDecode  least number of decoding engines, at least one
/// @return the split; constant time
StageSplit
BalanceScaledSplit(const StageDemand& aDemand,
                   const EngineLimits& aLimits,
                   const StageSplit& aPlanned,
                   std::size_t aMinDecode);

/// @brief Returns the goal for a service's engines: by its demand, or by a given share while the
///        demand is not known. Services whose number of targets is scaled are also kept balanced;
///        see BalanceScaledSplit().
/// @param aDemand  present demand; nothing before enough traffic was seen
/// @param aInitialDecodeShare  share of the engines that decode until the demand is known; by
///                             InitialDecodeShare() if not set
StageGoal
ChooseStageGoal(const FleetSnapshot& aFleet,
                const Service& aService,
                const std::optional<StageDemand>& aDemand,
                std::optional<double> aInitialDecodeShare,
                const StageChangeCosts& aCosts);

/// @brief Plans the changes that bring each zone's engines to the goal.
///
/// Corrects a fleet that starts far from the mix that its load needs, or that loses engines.
/// Leaving engines are not counted. At least one engine of each zone keeps its stage.
/// @return the changes, grouped by zone, youngest engine first; linear in the number of targets
///         apart from sorting
std::vector<StageChange>
PlanStages(const FleetSnapshot& aFleet, const core::ServiceName& aService, const StageGoal& aGoal);

} // namespace plantainslip::serving
