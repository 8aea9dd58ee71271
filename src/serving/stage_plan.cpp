#include <plantainslip/serving/stage_plan.hpp>

#include <algorithm>
#include <cmath>
#include <functional>

namespace plantainslip::serving {

namespace {

using Engines = std::vector<const Target*>;
using ZoneEngines = std::map<core::ZoneId, Engines>;

// Engines that are to decode in each zone: the share of the zone's own, and what is left over where
// the rounding took most.
std::map<core::ZoneId, std::size_t>
WantedByZone(const ZoneEngines& aZones, double aShare)
{
  std::map<core::ZoneId, std::size_t> wanted;
  std::vector<std::pair<double, core::ZoneId>> remainders;
  double total = 0.0;
  std::size_t given = 0;
  for (const auto& [zone, engines] : aZones) {
    const double exact = aShare * static_cast<double>(engines.size());
    const auto whole = std::max<std::size_t>(1, static_cast<std::size_t>(exact));
    wanted[zone] = whole;
    given += whole;
    total += exact;
    remainders.emplace_back(exact - static_cast<double>(whole), zone);
  }
  std::stable_sort(remainders.begin(), remainders.end(), std::greater<>());
  const auto goal = static_cast<std::size_t>(std::lround(total));
  for (const auto& [remainder, zone] : remainders) {
    if (given < goal) {
      ++wanted[zone];
      ++given;
    }
  }
  return wanted;
}

std::vector<StageChange>
PlanZone(const Engines& aEngines, std::size_t aWanted, std::size_t aTolerated)
{
  const auto count = aEngines.size();
  if (count < 2) {
    return {};
  }
  const std::size_t wanted = std::clamp<std::size_t>(aWanted, 1, count - 1);
  const auto decoding = static_cast<std::size_t>(
    std::count_if(aEngines.begin(), aEngines.end(), [](const Target* aEngine) {
      return aEngine->stage == EngineStage::kDecode;
    }));
  const bool tooMany = decoding > wanted;
  const std::size_t away = tooMany ? decoding - wanted : wanted - decoding;
  const bool noneLeft = decoding == 0 || decoding == count;
  if (away <= aTolerated && !noneLeft) {
    return {};
  }
  const EngineStage from = tooMany ? EngineStage::kDecode : EngineStage::kPrefill;
  const EngineStage to = tooMany ? EngineStage::kPrefill : EngineStage::kDecode;
  // The youngest have the least work to end and the fewest cached parts to lose.
  Engines byAge = aEngines;
  std::stable_sort(byAge.begin(), byAge.end(), [](const Target* aLeft, const Target* aRight) {
    return aLeft->startedAt > aRight->startedAt;
  });
  std::vector<StageChange> changes;
  const std::size_t most = std::min(away, count - 1);
  for (const Target* engine : byAge) {
    if (changes.size() < most && engine->stage == from) {
      changes.push_back({ *engine, to });
    }
  }
  return changes;
}

} // namespace

std::optional<std::size_t>
ToleratedShortfall(milliseconds aSinceChange, bool aSettledBefore)
{
  /// The next engine to come may make up for as much.
  constexpr std::size_t kWhileChanging = 1;
  if (aSinceChange >= kSettledAfter) {
    return 0;
  }
  return aSettledBefore ? std::optional(kWhileChanging) : std::nullopt;
}

StageGoal
StartingGoal(std::uint64_t aSlots)
{
  /// Streams that are open at a time for each engine of a service; both users' sheets give about
  /// as many.
  constexpr double kStreamsPerEngine = 20.0;
  constexpr double kFullestBatch = 0.75;
  constexpr double kLeastShare = 0.2;
  constexpr double kMostShare = 0.5;
  const auto slots = static_cast<double>(std::max<std::uint64_t>(1, aSlots));
  StageGoal goal;
  goal.decodeShare =
    std::clamp(kStreamsPerEngine / (kFullestBatch * slots), kLeastShare, kMostShare);
  return goal;
}

std::vector<StageChange>
PlanStages(const FleetSnapshot& aFleet, const core::ServiceName& aService, const StageGoal& aGoal)
{
  ZoneEngines zones;
  for (const auto& [id, target] : aFleet.targets) {
    if (target.service == aService && !target.leaving && target.stage != EngineStage::kNone) {
      zones[target.zone].push_back(&target);
    }
  }
  const auto wanted = WantedByZone(zones, aGoal.decodeShare);
  std::vector<StageChange> changes;
  for (const auto& [zone, engines] : zones) {
    const auto planned = PlanZone(engines, wanted.at(zone), aGoal.tolerated);
    changes.insert(changes.end(), planned.begin(), planned.end());
  }
  return changes;
}

} // namespace plantainslip::serving
