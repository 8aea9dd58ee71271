#include <plantainslip/scaling/service_planner.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace plantainslip::scaling {

namespace {

using serving::milliseconds;

/// Engines that a zone needs to serve its callers alone: one for each stage.
constexpr std::uint64_t kStages = 2;
/// Share of the running targets by which their number must exceed the need before it is lowered:
/// caches are lost with each target, and the need varies by some tenths with each wave.
constexpr double kDeadband = 0.2;
/// Time between two steps of a kind in a zone; the directory shows the effect of a step by then.
constexpr milliseconds kStepInterval{ 2'000 };
/// Share of late requests from which no target is given up.
constexpr double kHoldingLateShare = 0.1;

using Zones = std::vector<core::ZoneId>;

double
ZonePrice(const serving::ScalingLimits& aLimits, const core::ZoneId& aZone)
{
  const auto found = aLimits.zonePrices.find(aZone);
  return found == aLimits.zonePrices.end() ? 1.0 : found->second;
}

bool
HasReclaimable(const serving::ScalingLimits& aLimits)
{
  return aLimits.reclaimablePrice.has_value() && *aLimits.reclaimablePrice < 1.0;
}

Zones
VisibleZonesByPrice(const ScalingInput& aInput)
{
  Zones zones;
  for (const auto& [zone, state] : aInput.zones) {
    if (state.visible) {
      zones.push_back(zone);
    }
  }
  std::stable_sort(
    zones.begin(), zones.end(), [&](const core::ZoneId& aLeft, const core::ZoneId& aRight) {
      return ZonePrice(aInput.limits, aLeft) < ZonePrice(aInput.limits, aRight);
    });
  return zones;
}

std::uint64_t
RoundUp(double aNumber)
{
  // Tolerates the error of sums of shares.
  constexpr double kTolerance = 1e-9;
  return static_cast<std::uint64_t>(std::max(0.0, std::ceil(aNumber - kTolerance)));
}

std::uint64_t
LeastPerZone(const ScalingInput& aInput)
{
  const std::uint64_t least = aInput.engine.has_value() ? kStages : 0;
  return std::min(aInput.limits.maxPerZone, std::max(least, aInput.limits.minPerZone));
}

double
Sum(const NeedByZone& aNeeds)
{
  return std::accumulate(aNeeds.begin(), aNeeds.end(), 0.0, [](double aSum, const auto& aEntry) {
    return aSum + aEntry.second;
  });
}

// Returns the factor by which the needs grow so that the loss of the zone with the largest leaves
// enough for all demand, without a burst.
double
ZoneLossFactor(const ScalingOptions& aOptions, const NeedByZone& aNeeds)
{
  constexpr double kMaxShare = 0.5;
  const double sum = Sum(aNeeds);
  double largest = 0.0;
  for (const auto& [zone, need] : aNeeds) {
    largest = std::max(largest, need);
  }
  if (largest >= sum) {
    return 1.0;
  }
  const double left = std::max(1.0 - largest / sum, kMaxShare);
  return std::max(1.0, 1.0 / aOptions.headroom.burstFactor / left);
}

// Returns whole targets by zone; what is left over of the sum goes to the cheapest zones.
std::map<core::ZoneId, std::uint64_t>
RoundNeeds(const ScalingInput& aInput,
           const ScalingOptions& aOptions,
           const Zones& aZones,
           const NeedByZone& aNeeds)
{
  const double factor = ZoneLossFactor(aOptions, aNeeds);
  const auto needOf = [&](const core::ZoneId& aZone) {
    const auto found = aNeeds.find(aZone);
    return found == aNeeds.end() ? 0.0 : found->second * factor;
  };
  const std::uint64_t total = RoundUp(Sum(aNeeds) * factor);
  std::map<core::ZoneId, std::uint64_t> own;
  std::uint64_t assigned = 0;
  for (const core::ZoneId& zone : aZones) {
    own[zone] = static_cast<std::uint64_t>(needOf(zone));
    assigned += own[zone];
  }
  for (const core::ZoneId& zone : aZones) {
    if (assigned < total && needOf(zone) > 0.0) {
      ++own[zone];
      ++assigned;
    }
  }
  for (auto& [zone, count] : own) {
    count = std::clamp(count, LeastPerZone(aInput), aInput.limits.maxPerZone);
  }
  return own;
}

// Adds targets one zone after the other until none are left over or no zone has room. Returns those
// left over.
std::uint64_t
AddInTurn(const ScalingInput& aInput,
          const Zones& aZones,
          KindState ZoneState::*aKind,
          std::uint64_t ZoneCounts::*aCount,
          std::uint64_t aLeftOver,
          CountsByZone& aCounts)
{
  bool hasRoom = true;
  while (aLeftOver > 0 && hasRoom) {
    hasRoom = false;
    for (const core::ZoneId& zone : aZones) {
      ZoneCounts& counts = aCounts.at(zone);
      if (aLeftOver > 0 && (aInput.zones.at(zone).*aKind).available &&
          counts.Total() < aInput.limits.maxPerZone) {
        ++(counts.*aCount);
        --aLeftOver;
        hasRoom = true;
      }
    }
  }
  return aLeftOver;
}

// Whether requests are late although engines are in use. At little use, more engines would not
// help: caches are cold, or links slow.
bool
IsLateForLackOfEngines(const ScalingInput& aInput)
{
  constexpr double kLittleUse = serving::kUsableBatchShare / 2.0;
  const serving::StageDemand& demand = *aInput.demand;
  const serving::StageNeed busy = serving::NeededEngines(demand, *aInput.engine, { 1.0, 1.0 });
  const bool prefill = demand.prefillLateShare > kHoldingLateShare &&
                       busy.prefill > kLittleUse * static_cast<double>(aInput.split.prefill);
  const bool decode = demand.decodeLateShare > kHoldingLateShare &&
                      busy.decode > kLittleUse * static_cast<double>(aInput.split.decode);
  return prefill || decode;
}

bool
IsStepDue(const KindState& aKind, core::MonotonicTime aNow)
{
  return !aKind.loweredAt.has_value() || aNow - *aKind.loweredAt >= kStepInterval;
}

// Whether reclaimable targets are starting, which may take the place of those of another zone.
bool
IsAnyStarting(const ScalingInput& aInput)
{
  return std::any_of(aInput.zones.begin(), aInput.zones.end(), [](const auto& aEntry) {
    const ZoneState& state = aEntry.second;
    return state.visible && state.reclaimable.ordered > state.reclaimable.serving;
  });
}

// Returns a number after one step towards a lower one.
std::uint64_t
Lower(std::uint64_t aCount, std::uint64_t aGoal, double aMaxStep)
{
  if (aCount <= aGoal ||
      static_cast<double>(aCount - aGoal) <= kDeadband * static_cast<double>(aCount)) {
    return aCount;
  }
  return aCount - RoundUp(static_cast<double>(aCount - aGoal) * aMaxStep);
}

} // namespace

CountsByZone
DivideTargets(const ScalingInput& aInput, const ScalingOptions& aOptions, const NeedByZone& aNeeds)
{
  const Zones zones = VisibleZonesByPrice(aInput);
  CountsByZone counts;
  std::uint64_t leftOver = 0;
  for (const auto& [zone, own] : RoundNeeds(aInput, aOptions, zones, aNeeds)) {
    const ZoneState& state = aInput.zones.at(zone);
    ZoneCounts& zoneCounts = counts[zone];
    const std::uint64_t floor = std::max(aInput.engine.has_value() ? kStages : std::uint64_t{ 0 },
                                         RoundUp(static_cast<double>(own) * aOptions.regularShare));
    zoneCounts.regular = HasReclaimable(aInput.limits) ? std::min(own, floor) : own;
    const std::uint64_t others = own - zoneCounts.regular;
    zoneCounts.reclaimable =
      state.reclaimable.available ? others : std::min(others, state.reclaimable.serving);
    leftOver += others - zoneCounts.reclaimable;
  }
  leftOver =
    AddInTurn(aInput, zones, &ZoneState::reclaimable, &ZoneCounts::reclaimable, leftOver, counts);
  AddInTurn(aInput, zones, &ZoneState::regular, &ZoneCounts::regular, leftOver, counts);
  return counts;
}

// Returns the largest need of each zone in the last seconds. While less than that time has been
// seen, the unseen part is taken to have held a burst.
NeedByZone
ServicePlanner::RecordNeeds(const NeedByZone& aNeeds,
                            const ScalingInput& aInput,
                            core::MonotonicTime aNow)
{
  using Seconds = std::chrono::duration<double>;
  const Seconds window = Seconds(aInput.limits.startupTime) * this->options.lowerAfterStartups;
  this->demandKnownSince = this->demandKnownSince.value_or(aNow);
  this->needs.emplace_back(aNow, aNeeds);
  while (aNow - this->needs.front().first > window) {
    this->needs.pop_front();
  }
  const Seconds seen = aNow - *this->demandKnownSince;
  const double unseen = seen >= window ? 0.0 : 1.0 - seen / window;
  const double factor = 1.0 + (this->options.headroom.burstFactor - 1.0) * unseen;
  NeedByZone largest;
  for (const auto& [at, earlier] : this->needs) {
    for (const auto& [zone, need] : earlier) {
      largest[zone] = std::max(largest[zone], need * factor);
    }
  }
  std::erase_if(largest, [&](const auto& aEntry) { return !aNeeds.contains(aEntry.first); });
  return largest;
}

// Before the demand is known, every target may be needed: no zone gets fewer than it had. But
// regular ones are replaced by reclaimable ones that serve, best before there is traffic and caches
// would be lost.
ZoneCounts
ServicePlanner::PlanZoneWithoutDemand(const ScalingInput& aInput,
                                      const core::ZoneId& aZone,
                                      core::MonotonicTime aNow)
{
  const ZoneState& state = aInput.zones.at(aZone);
  ZoneCounts desired{ state.regular.ordered, state.reclaimable.ordered };
  if (!aInput.isDirectoryComplete || !aInput.engine.has_value() || !HasReclaimable(aInput.limits)) {
    return desired;
  }
  const auto first =
    this->unmeasured.try_emplace(aZone, Unmeasured{ 0, state.reclaimable.serving });
  Unmeasured& known = first.first->second;
  known.regular = std::max(known.regular, state.regular.serving);
  const auto share = [&](double aShare) {
    return RoundUp(aShare * static_cast<double>(known.regular));
  };
  const std::uint64_t maxPerZone = aInput.limits.maxPerZone;
  const std::uint64_t room = maxPerZone - std::min(maxPerZone, desired.regular);
  if (state.reclaimable.available) {
    desired.reclaimable =
      std::max(desired.reclaimable, std::min(share(this->options.initialShare), room));
  }
  if (IsStepDue(state.regular, aNow)) {
    const std::uint64_t replaced = std::min(desired.reclaimable, state.reclaimable.serving);
    const std::uint64_t all = known.regular + known.reclaimable;
    desired.regular = Lower(
      desired.regular,
      std::max(
        { LeastPerZone(aInput), share(this->options.regularShare), all - std::min(all, replaced) }),
      this->options.maxStep);
  }
  return desired;
}

// aLowerAt is the present time if targets may be given up.
ZoneCounts
ServicePlanner::PlanZone(const ScalingInput& aInput,
                         const core::ZoneId& aZone,
                         const ZoneCounts& aPresent,
                         const ZoneCounts& aLately,
                         const std::optional<core::MonotonicTime>& aLowerAt) const
{
  const ZoneState& state = aInput.zones.at(aZone);
  const auto mayLower = [&](const KindState& aKind) {
    return aLowerAt.has_value() && IsStepDue(aKind, *aLowerAt);
  };
  ZoneCounts desired{ state.regular.ordered, state.reclaimable.ordered };
  if (aPresent.reclaimable > desired.reclaimable) {
    desired.reclaimable = aPresent.reclaimable;
  } else if (mayLower(state.reclaimable) && !IsAnyStarting(aInput)) {
    desired.reclaimable = Lower(desired.reclaimable,
                                std::max(aPresent.reclaimable, aLately.reclaimable),
                                this->options.maxStep);
  }
  // Regular targets are replaced by reclaimable ones that serve, not by those that are starting.
  const std::uint64_t replaced = std::min(desired.reclaimable, state.reclaimable.serving);
  const std::uint64_t unreplaced = aLately.Total() - std::min(aLately.Total(), replaced);
  if (aPresent.regular > desired.regular) {
    desired.regular = aPresent.regular;
  } else if (mayLower(state.regular)) {
    desired.regular = Lower(desired.regular,
                            std::max({ aPresent.regular, aLately.regular, unreplaced }),
                            this->options.maxStep);
  }
  const std::uint64_t maxPerZone = aInput.limits.maxPerZone;
  desired.regular = std::min(desired.regular, maxPerZone);
  desired.reclaimable = std::min(desired.reclaimable, maxPerZone - desired.regular);
  return desired;
}

ScalingPlan
ServicePlanner::Plan(const ScalingInput& aInput, core::MonotonicTime aNow)
{
  ScalingPlan plan;
  const bool isDemandKnown = aInput.demand.has_value() && aInput.engine.has_value();
  CountsByZone now;
  CountsByZone lately;
  if (isDemandKnown) {
    this->unmeasured.clear();
    const double needed =
      serving::NeededEngines(*aInput.demand, *aInput.engine, this->options.headroom).Total();
    NeedByZone present;
    for (const auto& [zone, state] : aInput.zones) {
      if (state.visible) {
        present[zone] = state.demandShare * needed;
      }
    }
    const NeedByZone largest = this->RecordNeeds(present, aInput, aNow);
    plan.needed = Sum(present);
    plan.neededLately = Sum(largest);
    plan.isHeldByLateness = IsLateForLackOfEngines(aInput);
    now = DivideTargets(aInput, this->options, present);
    lately = DivideTargets(aInput, this->options, largest);
  } else {
    this->needs.clear();
    this->demandKnownSince.reset();
  }
  const bool mayLower = aInput.isDirectoryComplete && !plan.isHeldByLateness;
  const std::optional<core::MonotonicTime> lowerAt = mayLower ? std::optional(aNow) : std::nullopt;
  for (const auto& [zone, state] : aInput.zones) {
    ZoneCounts& desired = plan.desired[zone];
    if (!state.visible) {
      desired = { state.regular.ordered, state.reclaimable.ordered };
    } else if (isDemandKnown) {
      desired = this->PlanZone(aInput, zone, now.at(zone), lately.at(zone), lowerAt);
    } else {
      desired = this->PlanZoneWithoutDemand(aInput, zone, aNow);
    }
  }
  return plan;
}

} // namespace plantainslip::scaling
