#include <plantainslip/roles/role_planner.hpp>

#include <algorithm>
#include <cmath>

namespace plantainslip::roles {

namespace {

using targets::EngineRole;

// Seconds of the whole fleet's goodput that one change is worth at equal weights.
constexpr double kChangePenaltySeconds = 0.5;
// A gain counts only as far as noise of this many standard deviations cannot explain it.
constexpr double kCertainDeviations = 2.0;
constexpr double kLeastDemand = 1e-9;

double
PhaseShare(double aDemand, double aCapacity, std::size_t aEngines)
{
  return aDemand < kLeastDemand ? 1.0 : aCapacity * static_cast<double>(aEngines) / aDemand;
}

// Least demand that noise leaves credible.
double
Credible(const Level& aLevel)
{
  return std::max(0.0, aLevel.value - kCertainDeviations * aLevel.deviation);
}

// Room between demand and capacity of the tighter phase, by which equally good splits are told
// apart.
double
Headroom(const PhaseDemand& aDemand, const PhaseDemand& aCapacity, const RoleSplit& aSplit)
{
  return std::min(PhaseShare(aDemand.prefill, aCapacity.prefill, aSplit.prefill),
                  PhaseShare(aDemand.decode, aCapacity.decode, aSplit.decode));
}

std::size_t
Distance(const RoleSplit& aLeft, const RoleSplit& aRight)
{
  return std::max(aLeft.prefill, aRight.prefill) - std::min(aLeft.prefill, aRight.prefill);
}

} // namespace

double
ServedShare(const PhaseDemand& aDemand, const PhaseDemand& aCapacity, const RoleSplit& aSplit)
{
  return std::min(1.0, Headroom(aDemand, aCapacity, aSplit));
}

RoleSplit
PlanSplit(const PlannerOptions& aOptions,
          const config::PlannerWeights& aWeights,
          const DemandEstimate& aDemand,
          const RoleSplit& aPresent)
{
  const std::size_t engines = aPresent.prefill + aPresent.decode;
  if (engines < 2 || !aDemand.IsSettled()) {
    return aPresent;
  }
  const double horizon = std::chrono::duration<double>(aOptions.horizon).count();
  const double away = std::chrono::duration<double>(aOptions.changeTime).count();
  const double costOfChange = aWeights.goodput * away / static_cast<double>(engines) +
                              aWeights.roleChanges * kChangePenaltySeconds;
  const Level prefillLevel = aDemand.prefill.Ahead(away / 2.0);
  const Level decodeLevel = aDemand.decode.Ahead(away / 2.0);
  const PhaseDemand level{ prefillLevel.value, decodeLevel.value };
  const PhaseDemand credible{ Credible(prefillLevel), Credible(decodeLevel) };
  const double served = ServedShare(credible, aOptions.capacity, aPresent);
  RoleSplit best = aPresent;
  double bestValue = 0.0;
  for (std::size_t prefill = 1; prefill < engines; ++prefill) {
    const RoleSplit split{ prefill, engines - prefill };
    const double gain = ServedShare(level, aOptions.capacity, split) - served;
    const double cost = static_cast<double>(Distance(split, aPresent)) * costOfChange;
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
MoveOne(std::vector<PlannedEngine>& aEngines, EngineRole aFrom, EngineRole aTo)
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
SplitOf(const std::vector<PlannedEngine>& aEngines)
{
  RoleSplit split;
  for (const PlannedEngine& engine : aEngines) {
    split.prefill += engine.role == EngineRole::kPrefill ? 1U : 0U;
    split.decode += engine.role == EngineRole::kDecode ? 1U : 0U;
  }
  return split;
}

// Engines in mixed role go to the phase that lacks most.
void
GiveOutMixed(const PlannerOptions& aOptions,
             const PhaseDemand& aLevel,
             std::vector<PlannedEngine>& aEngines)
{
  for (PlannedEngine& engine : aEngines) {
    if (engine.role == EngineRole::kMixed) {
      const RoleSplit split = SplitOf(aEngines);
      const double prefill = PhaseShare(aLevel.prefill, aOptions.capacity.prefill, split.prefill);
      const double decode = PhaseShare(aLevel.decode, aOptions.capacity.decode, split.decode);
      const bool lacksPrefill = split.prefill == 0 || (split.decode > 0 && prefill < decode);
      engine.role = lacksPrefill ? EngineRole::kPrefill : EngineRole::kDecode;
    }
  }
}

// Two or more engines never leave a phase without one.
void
KeepBothPhases(std::vector<PlannedEngine>& aEngines)
{
  const RoleSplit split = SplitOf(aEngines);
  if (split.prefill == 0) {
    MoveOne(aEngines, EngineRole::kDecode, EngineRole::kPrefill);
  } else if (split.decode == 0) {
    MoveOne(aEngines, EngineRole::kPrefill, EngineRole::kDecode);
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
    const PhaseDemand level{ aDemand.prefill.Ahead(0.0).value, aDemand.decode.Ahead(0.0).value };
    GiveOutMixed(aOptions, level, aEngines);
    KeepBothPhases(aEngines);
    const RoleSplit present = SplitOf(aEngines);
    const RoleSplit wanted = PlanSplit(aOptions, aWeights, aDemand, present);
    for (std::size_t prefill = present.prefill; prefill < wanted.prefill; ++prefill) {
      MoveOne(aEngines, EngineRole::kDecode, EngineRole::kPrefill);
    }
    for (std::size_t decode = present.decode; decode < wanted.decode; ++decode) {
      MoveOne(aEngines, EngineRole::kPrefill, EngineRole::kDecode);
    }
  }
  std::map<core::TargetId, EngineRole> roles;
  for (const PlannedEngine& engine : aEngines) {
    roles[engine.target] = engine.role;
  }
  return roles;
}

} // namespace plantainslip::roles
