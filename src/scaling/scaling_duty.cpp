#include "scaling_duty.hpp"

#include <algorithm>
#include <array>

#include <plantainslip/core/log.hpp>

#include "../serving/cancellation.hpp"

namespace plantainslip::scaling {

using serving::CallOutcome;
using serving::milliseconds;
using serving::TargetKind;
using serving::Task;

namespace {

constexpr std::array kKinds{ TargetKind::kRegular, TargetKind::kReclaimable };
/// Time until the directory shows a target that has started or is leaving.
constexpr milliseconds kDirectoryLag{ 2'500 };
/// Time for which a zone and kind that was refused or reclaimed is not ordered again.
constexpr milliseconds kUnavailableTime{ 5'000 };
/// Pause after an order that the call rate or an earlier call on its subject does not allow, and
/// the attempts in one turn.
constexpr milliseconds kRateDelay{ 200 };
constexpr int kMaxAttempts = 3;
/// Plans made at once one after another, each without what the platform has refused to the one
/// before.
constexpr std::size_t kMaxPasses = 4;
/// Time after the store has come back from a copy in which targets register again.
constexpr milliseconds kRebuildTime{ 6'000 };

std::string
KindName(TargetKind aKind)
{
  return aKind == TargetKind::kRegular ? "regular" : "reclaimable";
}

void
LogPlan(const core::ServiceName& aService, const ScalingInput& aInput, const ScalingPlan& aPlan)
{
  const serving::StageDemand demand = aInput.demand.value_or(serving::StageDemand{});
  std::string zones;
  for (const auto& [zone, counts] : aPlan.desired) {
    const ZoneState& state = aInput.zones.at(zone);
    const auto kind = [](const KindState& aState, std::uint64_t aDesired) {
      return std::to_string(aState.serving) + "/" + std::to_string(aState.ordered) + ">" +
             std::to_string(aDesired) + (aState.available ? "" : "!");
    };
    zones.append(zones.empty() ? "" : " ").append(zone.Text()).append(state.visible ? ":" : "?:");
    zones.append(kind(state.regular, counts.regular)).append("+");
    zones.append(kind(state.reclaimable, counts.reclaimable));
  }
  core::Log(core::LogLevel::kInfo,
            "scaling: planned",
            { { "service", aService.Text() },
              { "zones", zones },
              { "demand", aInput.demand.has_value() ? "measured" : "unknown" },
              { "needed", std::to_string(aPlan.needed) },
              { "needed_lately", std::to_string(aPlan.neededLately) },
              { "busy_prefill_engines", std::to_string(demand.busyPrefillEngines) },
              { "open_streams", std::to_string(demand.openStreams) },
              { "stream_tokens", std::to_string(demand.streamTokens) },
              { "prefill_late_share", std::to_string(demand.prefillLateShare) },
              { "decode_late_share", std::to_string(demand.decodeLateShare) },
              { "held_by_lateness", aPlan.isHeldByLateness ? "yes" : "no" },
              { "directory_complete", aInput.isDirectoryComplete ? "yes" : "no" } });
}

// Sets the shares of the visible zones by their measured demand, or by their live instances while
// it is not known of all of them.
void
SetDemandShares(const serving::DutyInput& aInput,
                const serving::Service& aService,
                ScalingInput& aScaling)
{
  const auto found = aInput.zoneDemand.find(aService.name);
  const auto isMeasured = [&](const auto& aEntry) {
    return !aEntry.second.visible ||
           (found != aInput.zoneDemand.end() && found->second.contains(aEntry.first));
  };
  const bool allMeasured = aService.engine.has_value() &&
                           std::all_of(aScaling.zones.begin(), aScaling.zones.end(), isMeasured);
  double sum = 0.0;
  for (auto& [zone, state] : aScaling.zones) {
    if (state.visible) {
      state.demandShare =
        allMeasured ? serving::NeededEngines(found->second.at(zone), *aService.engine).Total()
                    : static_cast<double>(aInput.liveInstances.at(zone));
    }
    sum += state.demandShare;
  }
  for (auto& [zone, state] : aScaling.zones) {
    state.demandShare = sum > 0.0 ? state.demandShare / sum : 0.0;
  }
}

} // namespace

void
ScalingDuty::OnLeaseLost()
{
  this->services.clear();
}

void
ScalingDuty::CheckDirectory(const serving::DutyInput& aInput)
{
  const serving::StoreEra era = aInput.fleet->targetsState.upTo.era;
  if (era != this->knownEra) {
    if (this->knownEra != serving::StoreEra{}) {
      this->incompleteUntil = this->clock.Now() + kRebuildTime;
    }
    this->knownEra = era;
  }
}

void
ScalingDuty::CountTargets(const serving::FleetSnapshot& aFleet,
                          const serving::Service& aService,
                          ServiceRecord& aRecord) const
{
  for (auto& [key, record] : aRecord.kinds) {
    record.serving = 0;
    record.leaving = 0;
  }
  for (const auto& [zone, price] : aService.scaling->zonePrices) {
    for (const TargetKind kind : kKinds) {
      aRecord.kinds.try_emplace({ zone, kind });
    }
  }
  for (const auto& [id, target] : aFleet.targets) {
    if (target.service == aService.name) {
      const TargetKind kind = target.reclaimable ? TargetKind::kReclaimable : TargetKind::kRegular;
      KindRecord& record = aRecord.kinds[{ target.zone, kind }];
      ++(target.leaving ? record.leaving : record.serving);
    }
  }
  for (auto& [key, record] : aRecord.kinds) {
    record.mostServing = std::max(record.mostServing, record.serving);
  }
}

// Targets that leave without an order have been reclaimed, and for a while there are no others.
void
ScalingDuty::FindReclaims(const serving::Service& aService, ServiceRecord& aRecord) const
{
  for (auto& [key, record] : aRecord.kinds) {
    const std::uint64_t expected = std::min(
      record.mostServing, record.order.has_value() ? record.order->count : record.mostServing);
    if (key.second != TargetKind::kReclaimable || record.leaving == 0 ||
        record.serving >= (expected + 1) / 2) {
      continue;
    }
    core::Log(core::LogLevel::kWarning,
              "scaling: targets reclaimed",
              { { "service", aService.name.Text() },
                { "zone", key.first.Text() },
                { "leaving", std::to_string(record.leaving) },
                { "left", std::to_string(record.serving) } });
    record.order.reset();
    record.mostServing = record.serving;
    record.unavailableUntil = this->clock.Now() + kUnavailableTime;
  }
}

KindState
ScalingDuty::StateOf(const serving::Service& aService,
                     const KindRecord& aRecord,
                     bool aIsComplete) const
{
  const core::MonotonicTime now = this->clock.Now();
  KindState state;
  state.serving = aRecord.serving;
  state.ordered = aRecord.serving;
  state.available = now >= aRecord.unavailableUntil;
  state.loweredAt = aRecord.loweredAt;
  if (aRecord.order.has_value()) {
    const bool isInProgress =
      aRecord.order->unanswered ||
      now - aRecord.order->at < aService.scaling->startupTime + kDirectoryLag;
    if (isInProgress) {
      state.ordered = aRecord.order->count;
    }
  }
  if (!aIsComplete) {
    state.ordered = std::max(state.ordered, aRecord.mostServing);
  }
  return state;
}

ScalingInput
ScalingDuty::MakeInput(const serving::DutyInput& aInput,
                       const serving::Service& aService,
                       const ServiceRecord& aRecord) const
{
  ScalingInput input;
  input.limits = *aService.scaling;
  input.engine = aService.engine;
  if (const auto found = aInput.demand.find(aService.name); found != aInput.demand.end()) {
    input.demand = found->second;
  }
  input.split = serving::CountStages(*aInput.fleet, aService.name);
  input.isDirectoryComplete = aInput.isConfirmed && this->clock.Now() >= this->incompleteUntil;
  for (const auto& [key, record] : aRecord.kinds) {
    ZoneState& zone = input.zones[key.first];
    KindState& kind = key.second == TargetKind::kRegular ? zone.regular : zone.reclaimable;
    kind = this->StateOf(aService, record, input.isDirectoryComplete);
  }
  for (auto& [zone, state] : input.zones) {
    const auto found = aInput.liveInstances.find(zone);
    state.visible = found != aInput.liveInstances.end() && found->second > 0;
  }
  SetDemandShares(aInput, aService, input);
  return input;
}

// Returns what differs from the present numbers: unanswered orders first, then higher numbers, then
// lower ones.
std::vector<ScalingDuty::Wanted>
ScalingDuty::ChooseOrders(const ScalingInput& aInput,
                          const ScalingPlan& aPlan,
                          const ServiceRecord& aRecord)
{
  std::vector<Wanted> repeated;
  std::vector<Wanted> higher;
  std::vector<Wanted> lower;
  for (const auto& [key, record] : aRecord.kinds) {
    const ZoneState& zone = aInput.zones.at(key.first);
    const bool isRegular = key.second == TargetKind::kRegular;
    const KindState& state = isRegular ? zone.regular : zone.reclaimable;
    const ZoneCounts& desired = aPlan.desired.at(key.first);
    Wanted wanted{
      key.first, key.second, isRegular ? desired.regular : desired.reclaimable, state.ordered
    };
    if (record.order.has_value() && record.order->unanswered) {
      wanted.count = record.order->count;
      repeated.push_back(wanted);
    } else if (wanted.count < state.ordered) {
      lower.push_back(wanted);
    } else if (wanted.count > state.ordered && state.available) {
      // Targets that the directory has lost may still run; a higher number than the listed ones
      // must not be a lower one for the platform.
      wanted.count =
        std::max(wanted.count, record.order.has_value() ? record.order->count : record.mostServing);
      higher.push_back(wanted);
    }
  }
  // Regular targets cost most.
  std::stable_sort(lower.begin(), lower.end(), [](const Wanted& aLeft, const Wanted& aRight) {
    return aLeft.kind < aRight.kind;
  });
  repeated.insert(repeated.end(), higher.begin(), higher.end());
  repeated.insert(repeated.end(), lower.begin(), lower.end());
  return repeated;
}

Task<CallOutcome>
ScalingDuty::Send(serving::DutyCalls& aCalls, core::ServiceName aService, Wanted aWanted)
{
  std::string duty = "scaling";
  std::string subject = "scaling " + aService.Text() + " " + aWanted.zone.Text();
  const serving::PlatformCall call =
    this->codec.ScaleOrder(aService, aWanted.zone, aWanted.kind, aWanted.count);
  CallOutcome outcome = CallOutcome::kNotSent;
  for (int attempt = 0; attempt < kMaxAttempts && outcome == CallOutcome::kNotSent; ++attempt) {
    if (attempt > 0) {
      co_await serving::SleepFor(kRateDelay);
    }
    outcome = co_await aCalls.Call(duty, subject, call);
  }
  this->metrics.Count("scaling_orders_total", serving::OutcomeName(outcome));
  if (outcome == CallOutcome::kNotSent) {
    co_return outcome;
  }
  core::Log(outcome == CallOutcome::kDone ? core::LogLevel::kInfo : core::LogLevel::kWarning,
            "scaling: ordered",
            { { "service", aService.Text() },
              { "zone", aWanted.zone.Text() },
              { "targets", KindName(aWanted.kind) },
              { "count", std::to_string(aWanted.count) },
              { "before", std::to_string(aWanted.present) },
              { "outcome", serving::OutcomeName(outcome) } });
  co_return outcome;
}

void
ScalingDuty::Record(KindRecord& aRecord, const Wanted& aWanted, CallOutcome aOutcome) const
{
  const core::MonotonicTime now = this->clock.Now();
  switch (aOutcome) {
    case CallOutcome::kDone:
    case CallOutcome::kUnknown:
      if (aWanted.count < aWanted.present) {
        aRecord.loweredAt = now;
      }
      aRecord.order = Order{ aWanted.count, now, aOutcome == CallOutcome::kUnknown };
      aRecord.mostServing = std::min(aRecord.serving, aWanted.count);
      break;
    case CallOutcome::kRefused:
    case CallOutcome::kFailed:
      if (aWanted.count > aWanted.present) {
        aRecord.unavailableUntil = now + kUnavailableTime;
      }
      break;
    case CallOutcome::kThrottled:
    case CallOutcome::kNotSent:
      break;
  }
}

Task<bool>
ScalingDuty::OrderOnce(serving::DutyCalls& aCalls,
                       const serving::DutyInput& aInput,
                       const serving::Service& aService)
{
  ServiceRecord& record = this->services.try_emplace(aService.name, this->options).first->second;
  this->CountTargets(*aInput.fleet, aService, record);
  this->FindReclaims(aService, record);
  const ScalingInput input = this->MakeInput(aInput, aService, record);
  const ScalingPlan plan = record.planner.Plan(input, this->clock.Now());
  for (const auto& [zone, counts] : plan.desired) {
    const std::string label = aService.name.Text() + " " + zone.Text() + " ";
    this->metrics.Set("scaling_desired", label + KindName(TargetKind::kRegular), counts.regular);
    this->metrics.Set(
      "scaling_desired", label + KindName(TargetKind::kReclaimable), counts.reclaimable);
  }
  const std::vector<Wanted> orders = this->ChooseOrders(input, plan, record);
  if (!orders.empty()) {
    LogPlan(aService.name, input, plan);
  }
  bool isRefused = false;
  for (const Wanted& wanted : orders) {
    if (!aCalls.MayCall()) {
      break;
    }
    const CallOutcome outcome = co_await this->Send(aCalls, aService.name, wanted);
    // The lease may have been lost, and the records dropped, during the call.
    const auto found = this->services.find(aService.name);
    if (found == this->services.end()) {
      co_return false;
    }
    this->Record(found->second.kinds[{ wanted.zone, wanted.kind }], wanted, outcome);
    isRefused = outcome == CallOutcome::kRefused;
    // After a refusal, the lower numbers that follow may no longer be right.
    if (isRefused || outcome == CallOutcome::kThrottled) {
      break;
    }
  }
  co_return isRefused;
}

Task<void>
ScalingDuty::Perform(serving::DutyCalls& aCalls, serving::DutyInput aInput)
{
  if (aInput.fleet->config == nullptr) {
    co_return;
  }
  this->CheckDirectory(aInput);
  for (const auto& [name, service] : aInput.fleet->config->services) {
    if (!service.scaling.has_value()) {
      continue;
    }
    bool isRefused = true;
    for (std::size_t pass = 0; isRefused && pass < kMaxPasses; ++pass) {
      isRefused = co_await this->OrderOnce(aCalls, aInput, service);
    }
  }
}

} // namespace plantainslip::scaling
