#include <plantainslip/serving/stage_plan.hpp>

#include <algorithm>
#include <cmath>

namespace plantainslip::serving {

namespace {

std::vector<StageChange>
PlanZone(const std::vector<const Target*>& aEngines, const StageGoal& aGoal)
{
  const auto count = aEngines.size();
  if (count < 2) {
    return {};
  }
  const auto share =
    static_cast<std::size_t>(std::lround(aGoal.decodeShare * static_cast<double>(count)));
  const std::size_t wanted = std::clamp<std::size_t>(share, 1, count - 1);
  const auto decoding =
    static_cast<std::size_t>(std::count_if(aEngines.begin(), aEngines.end(), [](const Target* a) {
      return a->stage == EngineStage::kDecode;
    }));
  const bool tooMany = decoding > wanted;
  const std::size_t away = tooMany ? decoding - wanted : wanted - decoding;
  const bool noneLeft = decoding == 0 || decoding == count;
  if (away <= aGoal.tolerated && !noneLeft) {
    return {};
  }
  const EngineStage from = tooMany ? EngineStage::kDecode : EngineStage::kPrefill;
  const EngineStage to = tooMany ? EngineStage::kPrefill : EngineStage::kDecode;
  std::vector<StageChange> changes;
  const std::size_t most = std::min(away, count - 1);
  for (const Target* engine : aEngines) {
    if (changes.size() < most && engine->stage == from) {
      changes.push_back({ *engine, to });
    }
  }
  return changes;
}

} // namespace

std::vector<StageChange>
PlanStages(const FleetSnapshot& aFleet, const core::ServiceName& aService, const StageGoal& aGoal)
{
  std::map<core::ZoneId, std::vector<const Target*>> zones;
  for (const auto& [id, target] : aFleet.targets) {
    if (target.service == aService && !target.leaving && target.stage != EngineStage::kNone) {
      zones[target.zone].push_back(&target);
    }
  }
  std::vector<StageChange> changes;
  for (const auto& [zone, engines] : zones) {
    const auto planned = PlanZone(engines, aGoal);
    changes.insert(changes.end(), planned.begin(), planned.end());
  }
  return changes;
}

} // namespace plantainslip::serving
