#include <plantainslip/serving/stage_plan.hpp>

#include <algorithm>
#include <cmath>
#include <functional>

namespace plantainslip::serving {

namespace {

using Engines = std::vector<const Target*>;
using ZoneEngines = std::map<core::ZoneId, Engines>;

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

StageGoal
InitialStageGoal(std::uint64_t aSlots)
{
  /// Open streams per engine of a service; the workload sheets of both users give about this
  /// number.
  constexpr double kStreamsPerEngine = 20.0;
  constexpr double kMaxBatchUtilization = 0.75;
  constexpr double kMinShare = 0.2;
  constexpr double kMaxShare = 0.5;
  const auto slots = static_cast<double>(std::max<std::uint64_t>(1, aSlots));
  StageGoal goal;
  goal.decodeShare =
    std::clamp(kStreamsPerEngine / (kMaxBatchUtilization * slots), kMinShare, kMaxShare);
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
  const auto wantedDecoding = DecodeCountByZone(zones, aGoal.decodeShare);
  std::vector<StageChange> changes;
  for (const auto& [zone, engines] : zones) {
    const auto planned = PlanZone(engines, wantedDecoding.at(zone), aGoal.toleratedShortfall);
    changes.insert(changes.end(), planned.begin(), planned.end());
  }
  return changes;
}

} // namespace plantainslip::serving
