#include "control.hpp"

#include <algorithm>

#include <plantainslip/core/log.hpp>
#include <plantainslip/core/random.hpp>
#include <plantainslip/serving/errors.hpp>

namespace plantainslip::serving {

namespace {

constexpr milliseconds kLeadInterval{ 1'000 };
/// Mean number of instances that check for a free lease per interval.
constexpr double kCandidatesPerInterval = 8.0;
constexpr milliseconds kOrderTimeout{ 600 };
/// An order without an answer may still be carried out this much later; it is not repeated before.
constexpr milliseconds kMaxOrderDelay{ 13'000 };
/// Time until the directory shows a stage change, beyond the engine's own time.
constexpr milliseconds kDirectoryLag{ 2'500 };
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kFenced = 412;

void
LogStagePlan(const core::ServiceName& aService,
             const StageSplit& aSplit,
             const StageGoal& aGoal,
             const std::optional<StageDemand>& aDemand,
             std::size_t aChanges)
{
  const StageDemand demand = aDemand.value_or(StageDemand{});
  core::Log(core::LogLevel::kInfo,
            "orders: stages planned",
            { { "service", aService.Text() },
              { "changes", std::to_string(aChanges) },
              { "prefilling", std::to_string(aSplit.prefill) },
              { "decoding", std::to_string(aSplit.decode) },
              { "decode_share", std::to_string(aGoal.decodeShare) },
              { "demand", aDemand.has_value() ? "measured" : "unknown" },
              { "prompts_per_s", std::to_string(demand.promptsPerSecond) },
              { "busy_prefill_engines", std::to_string(demand.busyPrefillEngines) },
              { "mean_prefill_ms", std::to_string(demand.meanPrefillMs) },
              { "mean_slack_ms", std::to_string(demand.meanSlackMs) },
              { "open_streams", std::to_string(demand.openStreams) },
              { "stream_tokens", std::to_string(demand.streamTokens) },
              { "handover_tokens_per_s", std::to_string(demand.handoverTokensPerSecond) },
              { "prefill_late_share", std::to_string(demand.prefillLateShare) },
              { "decode_late_share", std::to_string(demand.decodeLateShare) } });
}

absl::StatusOr<std::uint64_t>
ReadOrderCount(const DirectoryCodec& aCodec, const absl::StatusOr<SimpleAnswer>& aAnswer)
{
  if (!aAnswer.ok()) {
    return aAnswer.status();
  }
  if (aAnswer->status != kOk) {
    return core::MakeError(errors::kBadAnswer, "status " + std::to_string(aAnswer->status));
  }
  return aCodec.ReadOrderCount(aAnswer->body);
}

} // namespace

Task<void>
Control::LeadershipLoop()
{
  while (true) {
    const bool wasHeld = this->leadership.IsHeld();
    co_await this->leadership.Step(!this->PeerHoldsLease());
    if (wasHeld && this->leadership.MayCall()) {
      co_await this->SendOrders();
      this->StartDuties();
    }
    // The more instances are alive, the less often each of them checks for a free lease.
    const double intervalFactor =
      this->leadership.IsHeld()
        ? 1.0
        : std::max(1.0, static_cast<double>(this->livePeerCount) / kCandidatesPerInterval);
    const double jitteredFactor = intervalFactor * (0.75 + 0.5 * this->random.Fraction());
    co_await SleepFor(milliseconds(
      static_cast<std::int64_t>(static_cast<double>(kLeadInterval.count()) * jitteredFactor)));
  }
}

milliseconds
Control::TimeSinceMembershipChange() const
{
  return std::chrono::duration_cast<milliseconds>(this->clock.Now() - this->membershipChangedAt);
}

void
Control::RecordMembershipChange()
{
  const bool first = this->membershipChangedAt == core::MonotonicTime{};
  this->settledBefore =
    this->settledBefore || (!first && this->TimeSinceMembershipChange() >= kSettlingTime);
  this->membershipChangedAt = this->clock.Now();
}

void
Control::RemoveFinishedOrders()
{
  const core::MonotonicTime now = this->clock.Now();
  const auto ended = std::erase_if(this->pendingOrders, [&](const auto& aEntry) {
    const auto found = this->directory.Targets().find(aEntry.first);
    return found == this->directory.Targets().end() || now >= aEntry.second.expiresAt ||
           found->second.stage == aEntry.second.stage;
  });
  if (ended > 0) {
    this->PublishUpdate();
  }
}

FleetSnapshot
Control::ExpectedFleet() const
{
  FleetSnapshot fleet;
  fleet.targets = this->directory.Targets();
  for (const auto& [id, change] : this->pendingOrders) {
    if (const auto found = fleet.targets.find(id); found != fleet.targets.end()) {
      found->second.stage = change.stage;
    }
  }
  for (const TargetProcess& process : this->leaving) {
    const auto found = fleet.targets.find(process.id);
    if (found != fleet.targets.end() && ProcessOf(found->second) == process) {
      found->second.leaving = true;
    }
  }
  return fleet;
}

// Returns whether the measured demand does not yet show the effect of the last change.
bool
Control::IsSettling(const Service& aService) const
{
  const auto found = this->replannedAt.find(aService.name);
  return found != this->replannedAt.end() &&
         this->clock.Now() - found->second <
           aService.engine->stageChangeDuration + DemandEstimator::kTimeConstant;
}

Task<void>
Control::SendOrders()
{
  this->RemoveFinishedOrders();
  const auto toleratedShortfall =
    ToleratedShortfall(this->TimeSinceMembershipChange(), this->settledBefore);
  if (this->config == nullptr || !toleratedShortfall.has_value()) {
    co_return;
  }
  const FleetSnapshot fleet = this->ExpectedFleet();
  const auto current = this->config;
  for (const auto& [name, service] : current->services) {
    if (!service.engine.has_value()) {
      continue;
    }
    const std::optional<StageDemand> demandNow = this->demand[name].Current();
    StageGoal goal = ChooseStageGoal(
      fleet, service, demandNow, this->options.initialDecodeShare, this->options.stageChangeCosts);
    goal.toleratedShortfall = *toleratedShortfall;
    // An instance that has just started does not know the demand that the present split follows.
    const bool isDemandUnmeasured = this->hasTraffic && !demandNow.has_value();
    goal.onlyMissingStages =
      goal.onlyMissingStages || isDemandUnmeasured || this->IsSettling(service);
    const std::vector<StageChange> changes = PlanStages(fleet, name, goal);
    if (!changes.empty()) {
      LogStagePlan(name, CountStages(fleet, name), goal, demandNow, changes.size());
      if (demandNow.has_value() && !goal.onlyMissingStages) {
        this->replannedAt[name] = this->clock.Now();
      }
    }
    for (const StageChange& change : changes) {
      if (!this->leadership.IsSafe()) {
        co_return;
      }
      this->pendingOrders[change.target.id] = {
        change.stage, this->clock.Now() + service.engine->stageChangeDuration + kDirectoryLag
      };
      this->PublishUpdate();
      co_await this->SendOrder(change);
    }
  }
}

bool
Control::StatesLeaving(const Target& aTarget, const absl::StatusOr<SimpleAnswer>& aAnswer)
{
  if (!aAnswer.ok() || !this->protocol.ReadResponse(aAnswer->status, aAnswer->headers).leaving) {
    return false;
  }
  core::Log(core::LogLevel::kInfo,
            "orders: target states that it is leaving",
            { { "target", aTarget.id.Text() } });
  this->leaving.push_back(ProcessOf(aTarget));
  this->PublishUpdate();
  return true;
}

Task<void>
Control::SendOrder(StageChange aChange)
{
  SimpleRequest countRequest = this->codec.OrderCountRequest(aChange.target);
  const auto countAnswer = co_await SendSimpleRequest(this->pool, std::move(countRequest));
  const auto count = ReadOrderCount(this->codec, countAnswer);
  const bool isLeaving = this->StatesLeaving(aChange.target, countAnswer);
  if (isLeaving || !count.ok() || !this->leadership.IsSafe()) {
    core::Log(core::LogLevel::kWarning,
              "orders: not sent",
              { { "target", aChange.target.id.Text() },
                { "report", std::string(count.status().message()) },
                { "lease_safe", this->leadership.IsSafe() ? "yes" : "no" } });
    co_return;
  }
  const OrderAuthority authority{ this->options.self.id, this->leadership.Token() };
  SimpleRequest order = this->codec.StageOrder(aChange, authority, *count);
  order.timeout = kOrderTimeout;
  // The process may have been paused while it connected.
  order.maySend = [this, token = authority.token] {
    return this->leadership.IsSafe() && this->leadership.Token() == token;
  };
  const auto answer = co_await SendSimpleRequest(this->pool, std::move(order));
  this->StatesLeaving(aChange.target, answer);
  core::Log(
    core::LogLevel::kInfo,
    "orders: stage change sent",
    { { "target", aChange.target.id.Text() },
      { "stage", aChange.stage == EngineStage::kPrefill ? "prefill" : "decode" },
      { "token", std::to_string(authority.token.Number()) },
      { "order_count", std::to_string(*count) },
      { "answer",
        answer.ok() ? std::to_string(answer->status) : std::string(answer.status().message()) } });
  if (!answer.ok()) {
    this->pendingOrders[aChange.target.id].expiresAt = this->clock.Now() + kMaxOrderDelay;
  } else if (answer->status == kFenced) {
    this->leadership.StepDown("a newer token was used");
  } else if (answer->status != kAccepted && answer->status != kOk) {
    this->pendingOrders[aChange.target.id].expiresAt = this->clock.Now() + kDirectoryLag;
  }
}

} // namespace plantainslip::serving
