#include <plantainslip/serving/stage_plan.hpp>

#include <algorithm>
#include <cmath>
#include <functional>

namespace plantainslip::serving {

namespace {

using Engines = std::vector<const Target*>;
using ZoneEngines = std::map<core::ZoneId, Engines>;

constexpr double kMillisecondsPerSecond = 1'000.0;

ZoneEngines
GroupByZone(const FleetSnapshot& aFleet, const core::ServiceName& aService)
{
  ZoneEngines zones;
  for (const auto& [id, target] : aFleet.targets) {
    if (target.service == aService && !target.leaving && target.stage != EngineStage::kNone) {
      zones[target.zone].push_back(&target);
    }
  }
  return zones;
}

// Share of the work that waits longer than its slack in a queue with one server: the waiting time
// of a queue with exponential service times (M/M/1) is exponential beside the share that does not
// wait. aDecay is the ratio of slack to service time.
double
QueueLateShare(double aUtilization, double aDecay)
{
  return aUtilization >= 1.0 ? aUtilization
                             : aUtilization * std::exp(-(1.0 - aUtilization) * aDecay);
}

// Returns the decay at which a queue makes the observed share late, at most the given one.
double
CalibratedDecay(double aUtilization, double aObservedLate, double aDecay)
{
  if (aUtilization >= 1.0 || aObservedLate <= 0.0) {
    return aDecay;
  }
  const double fitted = std::log(aUtilization / aObservedLate) / (1.0 - aUtilization);
  return std::clamp(fitted, 0.0, aDecay);
}

// Share of the work that finds the places of a pool taken. The exponent of the pool's utilization
// is that of Sakasegawa's approximation for a queue with many servers (M/M/c), or smaller.
double
PoolLateShare(double aUtilization, double aExponent)
{
  return aUtilization >= 1.0 ? aUtilization : std::pow(aUtilization, aExponent);
}

double
PoolExponent(double aPlaces)
{
  return std::sqrt(2.0 * (aPlaces + 1.0)) - 1.0;
}

double
LinkTokensPerMs(const EngineLimits& aLimits)
{
  constexpr double kBitsPerByte = 8.0;
  constexpr double kBitsPerMsAtOneMbps = 1'000.0;
  return aLimits.bytesPerToken == 0 ? 0.0
                                    : aLimits.linkMbps * kBitsPerMsAtOneMbps /
                                        (static_cast<double>(aLimits.bytesPerToken) * kBitsPerByte);
}

/// @brief Use of the stages at a split, as shares of their capacity.
struct Utilization
{
  double prefill = 0.0;
  /// @brief Most used one of batch slots and cache memory.
  double decode = 0.0;
  double link = 0.0;
};

Utilization
UtilizationAt(const StageDemand& aDemand,
              const EngineLimits& aLimits,
              const StageSplit& aSplit,
              double aGrowth)
{
  const auto share = [](double aUsed, double aCapacity) {
    return aCapacity > 0.0 ? aUsed / aCapacity : 0.0;
  };
  const double decode = static_cast<double>(aSplit.decode) * kUsableBatchShare;
  Utilization used;
  used.prefill = aGrowth * aDemand.busyPrefillEngines / static_cast<double>(aSplit.prefill);
  used.decode =
    aGrowth *
    std::max(share(aDemand.openStreams, decode * static_cast<double>(aLimits.slots)),
             share(aDemand.streamTokens, decode * static_cast<double>(aLimits.cacheTokens)));
  used.link = aGrowth * share(aDemand.handoverTokensPerSecond,
                              static_cast<double>(aSplit.decode) * LinkTokensPerMs(aLimits) *
                                kMillisecondsPerSecond);
  return used;
}

// Returns the number of engines that should decode in each zone: the share of the zone's engines,
// at least one, rounded by the largest remainder method to add up to the service's share.
std::map<core::ZoneId, std::size_t>
DecodeCountByZone(const ZoneEngines& aZones, double aShare)
{
  std::map<core::ZoneId, std::size_t> wantedDecoding;
  std::vector<std::pair<double, core::ZoneId>> remainders;
  double total = 0.0;
  std::size_t assigned = 0;
  for (const auto& [zone, engines] : aZones) {
    const double exact = aShare * static_cast<double>(engines.size());
    const auto whole = std::max<std::size_t>(1, static_cast<std::size_t>(exact));
    wantedDecoding[zone] = whole;
    assigned += whole;
    total += exact;
    remainders.emplace_back(exact - static_cast<double>(whole), zone);
  }
  std::stable_sort(remainders.begin(), remainders.end(), std::greater<>());
  const auto goal = static_cast<std::size_t>(std::lround(total));
  for (const auto& [remainder, zone] : remainders) {
    if (assigned < goal) {
      ++wantedDecoding[zone];
      ++assigned;
    }
  }
  return wantedDecoding;
}

std::vector<StageChange>
PlanZone(const Engines& aEngines, std::size_t aWantedDecoding, std::size_t aToleratedShortfall)
{
  const auto count = aEngines.size();
  if (count < 2) {
    return {};
  }
  const std::size_t wantedDecoding = std::clamp<std::size_t>(aWantedDecoding, 1, count - 1);
  const auto decoding = static_cast<std::size_t>(
    std::count_if(aEngines.begin(), aEngines.end(), [](const Target* aEngine) {
      return aEngine->stage == EngineStage::kDecode;
    }));
  const bool surplus = decoding > wantedDecoding;
  const std::size_t imbalance = surplus ? decoding - wantedDecoding : wantedDecoding - decoding;
  const bool stageMissing = decoding == 0 || decoding == count;
  if (imbalance <= aToleratedShortfall && !stageMissing) {
    return {};
  }
  const EngineStage from = surplus ? EngineStage::kDecode : EngineStage::kPrefill;
  const EngineStage to = surplus ? EngineStage::kPrefill : EngineStage::kDecode;
  // The youngest engines have the least work to finish and the fewest cached parts to lose.
  Engines byAge = aEngines;
  std::stable_sort(byAge.begin(), byAge.end(), [](const Target* aLeft, const Target* aRight) {
    return aLeft->startedAt > aRight->startedAt;
  });
  std::vector<StageChange> changes;
  const std::size_t limit = std::min(imbalance, count - 1);
  for (const Target* engine : byAge) {
    if (changes.size() < limit && engine->stage == from) {
      changes.push_back({ *engine, to });
    }
  }
  return changes;
}

} // namespace

std::optional<std::size_t>
ToleratedShortfall(milliseconds aSinceChange, bool aSettledBefore)
{
  /// The next engine to join may make up for this shortfall.
  constexpr std::size_t kShortfallWhileChanging = 1;
  if (aSinceChange >= kSettlingTime) {
    return 0;
  }
  return aSettledBefore ? std::optional(kShortfallWhileChanging) : std::nullopt;
}

StageLateShares
TheoreticalLateShares(const StageDemand& aDemand,
                      const EngineLimits& aLimits,
                      const StageSplit& aSplit)
{
  const Utilization used = UtilizationAt(aDemand, aLimits, aSplit, kBurstFactor);
  const auto decay = [&](double aServiceMs) {
    return aServiceMs > 0.0 ? aDemand.meanSlackMs / aServiceMs : 0.0;
  };
  const double linkTokensPerMs = LinkTokensPerMs(aLimits);
  const double transferMs =
    linkTokensPerMs > 0.0 && aDemand.promptsPerSecond > 0.0
      ? aDemand.handoverTokensPerSecond / aDemand.promptsPerSecond / linkTokensPerMs
      : 0.0;
  StageLateShares late;
  late.prefill = QueueLateShare(used.prefill, decay(aDemand.meanPrefillMs));
  late.decode = PoolLateShare(used.decode, PoolExponent(static_cast<double>(aLimits.slots)));
  late.transfer = QueueLateShare(used.link, decay(transferMs));
  return late;
}

double
ExtrapolatedLateShare(const StageDemand& aDemand,
                      const EngineLimits& aLimits,
                      const StageSplit& aCurrent,
                      const StageSplit& aSplit)
{
  const Utilization now = UtilizationAt(aDemand, aLimits, aCurrent, 1.0);
  const Utilization then = UtilizationAt(aDemand, aLimits, aSplit, 1.0);
  double late = 0.0;
  if (now.prefill > 0.0) {
    const double theoreticalDecay =
      aDemand.meanPrefillMs > 0.0 ? aDemand.meanSlackMs / aDemand.meanPrefillMs : 0.0;
    const double decay = CalibratedDecay(now.prefill, aDemand.prefillLateShare, theoreticalDecay);
    late += aDemand.prefillLateShare * QueueLateShare(then.prefill, decay) /
            QueueLateShare(now.prefill, decay);
  }
  if (now.decode > 0.0) {
    const double ratio = then.decode / now.decode;
    late += aDemand.decodeLateShare * ratio * ratio;
  }
  return late;
}

double
InitialDecodeShare(std::uint64_t aSlots)
{
  constexpr double kStreamsPerEngine = 20.0;
  constexpr double kMaxBatchUtilization = 0.75;
  constexpr double kMinShare = 0.2;
  constexpr double kMaxShare = 0.5;
  const auto slots = static_cast<double>(std::max<std::uint64_t>(1, aSlots));
  return std::clamp(kStreamsPerEngine / (kMaxBatchUtilization * slots), kMinShare, kMaxShare);
}

StageSplit
PlanStageSplit(const StageDemand& aDemand,
               const EngineLimits& aLimits,
               const StageSplit& aCurrent,
               std::size_t aMinDecode,
               const StageChangeCosts& aCosts)
{
  const std::size_t engines = aCurrent.prefill + aCurrent.decode;
  if (engines < 2 || aCurrent.prefill == 0 || aCurrent.decode == 0) {
    return aCurrent;
  }
  const double horizonS = std::chrono::duration<double>(aCosts.horizon).count();
  const double awayS = std::chrono::duration<double>(aLimits.stageChangeDuration).count();
  const double requestsPerChange =
    aDemand.promptsPerSecond * awayS / static_cast<double>(engines) + aCosts.requestsPerOrder;
  // Measured lateness is what speaks for a change; theory only speaks against changes that leave a
  // stage without headroom.
  const StageLateShares now = TheoreticalLateShares(aDemand, aLimits, aCurrent);
  const auto lateRequests = [&](const StageSplit& aSplit) {
    const StageLateShares then = TheoreticalLateShares(aDemand, aLimits, aSplit);
    const double added = std::max(0.0, then.prefill - now.prefill) +
                         std::max(0.0, then.decode - now.decode) +
                         std::max(0.0, then.transfer - now.transfer);
    return (ExtrapolatedLateShare(aDemand, aLimits, aCurrent, aSplit) + added) *
           aDemand.promptsPerSecond * horizonS;
  };
  StageSplit best = aCurrent;
  double leastCost = lateRequests(aCurrent);
  for (std::size_t decode = std::max<std::size_t>(1, aMinDecode); decode < engines; ++decode) {
    const StageSplit split{ engines - decode, decode };
    const std::size_t changes =
      std::max(decode, aCurrent.decode) - std::min(decode, aCurrent.decode);
    const double cost = lateRequests(split) + static_cast<double>(changes) * requestsPerChange;
    if (cost < leastCost) {
      leastCost = cost;
      best = split;
    }
  }
  return best;
}

StageNeed
NeededEngines(const StageDemand& aDemand,
              const EngineLimits& aLimits,
              const StageHeadroom& aHeadroom)
{
  const double growth = aHeadroom.burstFactor / aHeadroom.maxUse;
  const auto engines = [](double aUsed, std::uint64_t aCapacity) {
    return aCapacity > 0 ? aUsed / static_cast<double>(aCapacity) : 0.0;
  };
  StageNeed need;
  need.prefill = growth * aDemand.busyPrefillEngines;
  need.decode = growth * std::max(engines(aDemand.openStreams, aLimits.slots),
                                  engines(aDemand.streamTokens, aLimits.cacheTokens));
  return need;
}

StageSplit
BalanceScaledSplit(const StageDemand& aDemand,
                   const EngineLimits& aLimits,
                   const StageSplit& aPlanned,
                   std::size_t aMinDecode)
{
  const std::size_t engines = aPlanned.prefill + aPlanned.decode;
  if (engines < 2) {
    return aPlanned;
  }
  constexpr double kShortFactor = (1.0 + kBurstFactor) / 2.0;
  const StageNeed least = NeededEngines(aDemand, aLimits, { kShortFactor, kUsableBatchShare });
  const bool prefillShort = static_cast<double>(aPlanned.prefill) < least.prefill;
  const bool decodeShort = static_cast<double>(aPlanned.decode) < least.decode;
  // With both short, moving engines helps neither; the lack is one of engines.
  if (prefillShort == decodeShort) {
    return aPlanned;
  }
  const StageNeed need = NeededEngines(aDemand, aLimits);
  const auto wanted = static_cast<std::size_t>(
    std::lround(static_cast<double>(engines) * need.decode / need.Total()));
  const std::size_t most = engines - 1;
  const std::size_t decode =
    std::clamp(wanted, std::min(std::max<std::size_t>(1, aMinDecode), most), most);
  return { engines - decode, decode };
}

StageSplit
CountStages(const FleetSnapshot& aFleet, const core::ServiceName& aService)
{
  StageSplit split;
  for (const auto& [zone, engines] : GroupByZone(aFleet, aService)) {
    for (const Target* engine : engines) {
      split.prefill += engine->stage == EngineStage::kPrefill ? 1U : 0U;
      split.decode += engine->stage == EngineStage::kDecode ? 1U : 0U;
    }
  }
  return split;
}

std::size_t
CountEngineZones(const FleetSnapshot& aFleet, const core::ServiceName& aService)
{
  return GroupByZone(aFleet, aService).size();
}

StageGoal
ChooseStageGoal(const FleetSnapshot& aFleet,
                const Service& aService,
                const std::optional<StageDemand>& aDemand,
                std::optional<double> aInitialDecodeShare,
                const StageChangeCosts& aCosts)
{
  StageGoal goal;
  const std::uint64_t slots = aService.engine.has_value() ? aService.engine->slots : 1;
  goal.decodeShare = aInitialDecodeShare.value_or(InitialDecodeShare(slots));
  const StageSplit current = CountStages(aFleet, aService.name);
  const std::size_t engines = current.prefill + current.decode;
  if (!aDemand.has_value() || !aService.engine.has_value() || engines == 0) {
    return goal;
  }
  const std::size_t minDecode = CountEngineZones(aFleet, aService.name);
  StageSplit planned = PlanStageSplit(*aDemand, *aService.engine, current, minDecode, aCosts);
  if (aService.scaling.has_value()) {
    planned = BalanceScaledSplit(*aDemand, *aService.engine, planned, minDecode);
  }
  goal.decodeShare = static_cast<double>(planned.decode) / static_cast<double>(engines);
  goal.onlyMissingStages = planned.decode == current.decode;
  return goal;
}

std::vector<StageChange>
PlanStages(const FleetSnapshot& aFleet, const core::ServiceName& aService, const StageGoal& aGoal)
{
  const ZoneEngines zones = GroupByZone(aFleet, aService);
  const auto wantedDecoding = DecodeCountByZone(zones, aGoal.decodeShare);
  std::vector<StageChange> changes;
  for (const auto& [zone, engines] : zones) {
    const std::size_t tolerated =
      aGoal.onlyMissingStages ? engines.size() : aGoal.toleratedShortfall;
    const auto planned = PlanZone(engines, wantedDecoding.at(zone), tolerated);
    changes.insert(changes.end(), planned.begin(), planned.end());
  }
  return changes;
}

} // namespace plantainslip::serving
