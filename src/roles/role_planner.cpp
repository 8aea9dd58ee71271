#include <plantainslip/roles/role_planner.hpp>

#include <algorithm>
#include <cmath>

namespace plantainslip::roles {

namespace {

using targets::EngineRole;

// Cost of one role change at equal weights, in seconds of the whole fleet's goodput.
constexpr double kChangePenaltySeconds = 0.5;
// Standard deviations by which the demand is lowered to compute what the current split serves, so
// that noise alone does not justify a change.
constexpr double kConfidenceDeviations = 2.0;
constexpr double kMinDemand = 1e-9;

double
CapacityRatio(double aDemand, double aCapacity, std::size_t aEngines)
{
  return aDemand < kMinDemand ? 1.0 : aCapacity * static_cast<double>(aEngines) / aDemand;
}

// Lower confidence bound of the demand.
double
LowerBound(const Level& aLevel)
{
  return std::max(0.0, aLevel.value - kConfidenceDeviations * aLevel.deviation);
}

// Lower of the two phases' ratios of capacity to demand.
double
MinCapacityRatio(const PhaseDemand& aDemand, const PhaseDemand& aCapacity, const RoleSplit& aSplit)
{
  return std::min(CapacityRatio(aDemand.prefill, aCapacity.prefill, aSplit.prefill),
                  CapacityRatio(aDemand.decode, aCapacity.decode, aSplit.decode));
}

std::size_t
ChangeCount(const RoleSplit& aLeft, const RoleSplit& aRight)
{
  return std::max(aLeft.prefill, aRight.prefill) - std::min(aLeft.prefill, aRight.prefill);
}

} // namespace

double
ServedShare(const PhaseDemand& aDemand, const PhaseDemand& aCapacity, const RoleSplit& aSplit)
{
  return std::min(1.0, MinCapacityRatio(aDemand, aCapacity, aSplit));
}

RoleSplit
PlanSplit(const PlannerOptions& aOptions,
          const config::PlannerWeights& aWeights,
          const DemandEstimate& aDemand,
          const RoleSplit& aCurrent)
{
  const std::size_t engines = aCurrent.prefill + aCurrent.decode;
  if (engines < 2 || !aDemand.IsSettled()) {
    return aCurrent;
  }
  const double horizon = std::chrono::duration<double>(aOptions.horizon).count();
  const double changeSeconds = std::chrono::duration<double>(aOptions.changeTime).count();
  const double costOfChange = aWeights.goodput * changeSeconds / static_cast<double>(engines) +
                              aWeights.roleChanges * kChangePenaltySeconds;
  const Level prefillLevel = aDemand.prefill.Forecast(changeSeconds / 2.0);
  const Level decodeLevel = aDemand.decode.Forecast(changeSeconds / 2.0);
  const PhaseDemand level{ prefillLevel.value, decodeLevel.value };
  const PhaseDemand lowerBound{ LowerBound(prefillLevel), LowerBound(decodeLevel) };
  const double served = ServedShare(lowerBound, aOptions.capacity, aCurrent);
  RoleSplit best = aCurrent;
  double bestValue = 0.0;
  for (std::size_t prefill = 1; prefill < engines; ++prefill) {
    const RoleSplit split{ prefill, engines - prefill };
    const double gain = ServedShare(level, aOptions.capacity, split) - served;
    const double cost = static_cast<double>(ChangeCount(split, aCurrent)) * costOfChange;
    const double value = aWeights.goodput * gain * horizon - cost;
    if (value > bestValue) {
      best = split;
      bestValue = value;
    }
  }
  return best;
}

namespace {

void
ChangeOneRole(std::vector<PlannedEngine>& aEngines, EngineRole aFrom, EngineRole aTo)
{
  PlannedEngine* chosen = nullptr;
  for (PlannedEngine& engine : aEngines) {
    if (engine.role == aFrom && (chosen == nullptr || engine.running < chosen->running)) {
      chosen = &engine;
    }
  }
  if (chosen != nullptr) {
    chosen->role = aTo;
  }
}

RoleSplit
CountRoles(const std::vector<PlannedEngine>& aEngines)
{
  RoleSplit split;
  for (const PlannedEngine& engine : aEngines) {
    split.prefill += engine.role == EngineRole::kPrefill ? 1U : 0U;
    split.decode += engine.role == EngineRole::kDecode ? 1U : 0U;
  }
  return split;
}

// Assigns engines in mixed role to the phase with the lower ratio of capacity to demand.
void
AssignMixedEngines(const PlannerOptions& aOptions,
                   const PhaseDemand& aLevel,
                   std::vector<PlannedEngine>& aEngines)
{
  for (PlannedEngine& engine : aEngines) {
    if (engine.role == EngineRole::kMixed) {
      const RoleSplit split = CountRoles(aEngines);
      const double prefill =
        CapacityRatio(aLevel.prefill, aOptions.capacity.prefill, split.prefill);
      const double decode = CapacityRatio(aLevel.decode, aOptions.capacity.decode, split.decode);
      const bool needsPrefill = split.prefill == 0 || (split.decode > 0 && prefill < decode);
      engine.role = needsPrefill ? EngineRole::kPrefill : EngineRole::kDecode;
    }
  }
}

// Ensures that each phase has an engine; requires at least two engines.
void
EnsureBothPhases(std::vector<PlannedEngine>& aEngines)
{
  const RoleSplit split = CountRoles(aEngines);
  if (split.prefill == 0) {
    ChangeOneRole(aEngines, EngineRole::kDecode, EngineRole::kPrefill);
  } else if (split.decode == 0) {
    ChangeOneRole(aEngines, EngineRole::kPrefill, EngineRole::kDecode);
  }
}

} // namespace

std::map<core::TargetId, targets::EngineRole>
PlanRoles(const PlannerOptions& aOptions,
          const config::PlannerWeights& aWeights,
          const DemandEstimate& aDemand,
          std::vector<PlannedEngine> aEngines)
{
  if (aEngines.size() > 1 && aDemand.IsSettled()) {
    const PhaseDemand level{ aDemand.prefill.Forecast(0.0).value,
                             aDemand.decode.Forecast(0.0).value };
    AssignMixedEngines(aOptions, level, aEngines);
    EnsureBothPhases(aEngines);
    const RoleSplit current = CountRoles(aEngines);
    const RoleSplit planned = PlanSplit(aOptions, aWeights, aDemand, current);
    for (std::size_t prefill = current.prefill; prefill < planned.prefill; ++prefill) {
      ChangeOneRole(aEngines, EngineRole::kDecode, EngineRole::kPrefill);
    }
    for (std::size_t decode = current.decode; decode < planned.decode; ++decode) {
      ChangeOneRole(aEngines, EngineRole::kPrefill, EngineRole::kDecode);
    }
  }
  std::map<core::TargetId, EngineRole> roles;
  for (const PlannedEngine& engine : aEngines) {
    roles[engine.target] = engine.role;
  }
  return roles;
}

} // namespace plantainslip::roles
