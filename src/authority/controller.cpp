#include <plantainslip/authority/controller.hpp>

#include <algorithm>

#include <plantainslip/config/record.hpp>
#include <plantainslip/core/for_each.hpp>
#include <plantainslip/core/log.hpp>
#include <plantainslip/core/random.hpp>

namespace plantainslip::authority {

namespace {

constexpr std::chrono::seconds kContenderCountInterval{ 60 };

} // namespace

Controller::Controller(ControllerPorts aPorts, const ControllerOptions& aOptions)
  : ports(aPorts)
  , options(aOptions)
  , lease(aPorts.store, aPorts.clock, aPorts.timer, aOptions.lease)
  , journal(aPorts.store, aOptions.lease.zone)
  , drains(aPorts.peers, aOptions.peerTimeout, aOptions.threads)
{
}

void
Controller::Step()
{
  if (!this->RenewLeaseAndLoadJournal()) {
    this->UpdateContenderCount();
    return;
  }
  this->RefreshConfiguration();
  const auto listed = this->ports.list.Read();
  if (!listed.ok() || !this->configuration.has_value()) {
    return;
  }
  this->SelectZoneInstances(*listed);
  this->drains.Sync(this->entryInstances, this->journal.Marks());
  this->lease.AcquireOrRenew();
  // Read after the drain confirmations: a draining engine that is idle now gets no new attempts.
  this->ReadReports();
  this->lease.AcquireOrRenew();
  this->PlanRoles();
  const std::uint64_t writeAttempts = this->journal.WriteAttempts();
  this->AdvanceEngines();
  if (this->journal.WriteAttempts() != writeAttempts && this->journal.Load().ok()) {
    // Send marks that were set or lifted in this step at once, not in the next one.
    this->drains.Sync(this->entryInstances, this->journal.Marks());
  }
}

// Every instance of the zone has a controller, so the number of listed entry instances is that of
// the contenders for the lease.
void
Controller::UpdateContenderCount()
{
  const core::MonotonicTime now = this->ports.clock.Now();
  if (this->contenderCountUpdatedAt.has_value() &&
      now < *this->contenderCountUpdatedAt + kContenderCountInterval) {
    return;
  }
  this->contenderCountUpdatedAt = now;
  const auto listed = this->ports.list.Read();
  if (listed.ok()) {
    const auto count = std::count_if(listed->begin(), listed->end(), [this](const auto& aInstance) {
      return aInstance.kind == platform::ListedKind::kEntry &&
             aInstance.zone == this->options.lease.zone;
    });
    this->lease.SetContenderCount(static_cast<std::size_t>(count));
  }
}

void
Controller::Stop()
{
  this->lease.Release();
}

bool
Controller::RenewLeaseAndLoadJournal()
{
  this->lease.AcquireOrRenew();
  const auto token = this->lease.Token();
  if (!token.has_value()) {
    return false;
  }
  if (this->term != token) {
    this->term = token;
    this->termStartedAt = this->ports.clock.Now();
    this->journal.Invalidate();
    this->drains.Reset();
    core::Log(core::LogLevel::kInfo,
              "lease term started",
              { { "token", std::to_string(token->Number()) } });
  }
  return this->journal.Load().ok();
}

void
Controller::RefreshConfiguration()
{
  const auto stored = this->ports.store.Get(config::kConfigurationKey);
  if (!stored.ok() || !stored->has_value()) {
    return;
  }
  const auto record = config::ParseRecord((*stored)->value);
  if (!record.ok()) {
    return;
  }
  // Store reads may be stale: ignore an older version than the one in force.
  if (this->configuration.has_value() && record->version <= this->configuration->version) {
    return;
  }
  auto parsed = config::ParseConfiguration(record->version, record->document);
  if (parsed.ok()) {
    this->configuration = *std::move(parsed);
  }
}

void
Controller::SelectZoneInstances(const std::vector<platform::ListedInstance>& aList)
{
  this->entryInstances.clear();
  this->engines.clear();
  for (const platform::ListedInstance& instance : aList) {
    if (instance.zone != this->options.lease.zone) {
      continue;
    }
    if (instance.kind == platform::ListedKind::kEntry) {
      this->entryInstances.push_back(instance);
    } else if (instance.kind == platform::ListedKind::kEngine) {
      this->engines[core::TargetId(instance.name)].listed = instance;
    }
  }
}

void
Controller::ReadReports()
{
  std::vector<EngineState*> states;
  for (auto& [target, state] : this->engines) {
    states.push_back(&state);
  }
  core::ForEachIndex(states.size(), this->options.threads, [&](std::size_t aIndex) {
    EngineState& state = *states[aIndex];
    auto report = this->ports.engines.ReadReport(state.listed.address);
    if (report.ok()) {
      state.report = *std::move(report);
    }
  });
}

void
Controller::PlanRoles()
{
  this->plannedRoles.clear();
  if (this->ports.roles == nullptr) {
    return;
  }
  this->ports.roles->RefreshDemand(this->entryInstances);
  std::vector<RoleCandidate> candidates;
  for (const auto& [target, state] : this->engines) {
    const auto rule = this->configuration->targets.find(target);
    const bool roleIsAutomatic =
      rule != this->configuration->targets.end() && rule->second.role == "auto";
    if (roleIsAutomatic && state.report.has_value() && !state.listed.leaving) {
      const JournalEntry entry = this->journal.Entry(target);
      const bool roleChangePending =
        entry.phase != OrderPhase::kSettled && entry.order.kind == targets::OrderKind::kSetRole;
      const targets::EngineRole role = roleChangePending ? entry.order.role : state.report->role;
      candidates.push_back({ target, rule->second.deployment, role, state.report->running });
    }
  }
  this->plannedRoles = this->ports.roles->Plan(this->configuration->weights, candidates);
}

void
Controller::AdvanceEngines()
{
  for (const auto& [target, state] : this->engines) {
    this->AdvanceEngine(target);
  }
  for (const JournalEntry& entry : this->journal.Entries()) {
    if (!this->engines.contains(entry.target)) {
      this->AdvanceEngine(entry.target);
    }
  }
}

void
Controller::AdvanceEngine(const core::TargetId& aTarget)
{
  this->lease.AcquireOrRenew();
  if (this->lease.Token() != this->term || !this->journal.Load().ok()) {
    return;
  }
  const OrderSituation situation = this->CollectSituation(aTarget);
  this->ExecuteStep(DecideOrderStep(situation), situation);
}

OrderSituation
Controller::CollectSituation(const core::TargetId& aTarget) const
{
  OrderSituation situation;
  situation.entry = this->journal.Entry(aTarget);
  situation.drained = this->drains.IsDrained(aTarget);
  situation.formerHolderExcluded = this->IsFormerHolderExcluded(aTarget);
  situation.mayLoad = this->MayLoad();
  const auto engine = this->engines.find(aTarget);
  situation.unlisted = engine == this->engines.end();
  if (situation.unlisted) {
    return situation;
  }
  situation.report = engine->second.report;
  situation.mayDrain = this->MayDrain(aTarget);
  if (situation.report.has_value() && !engine->second.listed.leaving) {
    const auto planned = this->plannedRoles.find(aTarget);
    situation.wanted = NextOrder(
      *this->configuration,
      aTarget,
      *situation.report,
      planned == this->plannedRoles.end() ? std::nullopt : std::optional(planned->second));
  }
  return situation;
}

void
Controller::ExecuteStep(OrderStep aStep, const OrderSituation& aSituation)
{
  switch (aStep) {
    case OrderStep::kStartDrain:
    case OrderStep::kReviseDrain:
      this->StartOrder(aSituation);
      break;
    case OrderStep::kCancelDrain:
    case OrderStep::kSettle:
      this->Settle(aSituation.entry);
      break;
    case OrderStep::kOpen:
    case OrderStep::kResend:
      this->OpenAndSend(aSituation.entry);
      break;
    default:
      break;
  }
}

bool
Controller::IsServing(const EngineState& aEngine) const
{
  if (!aEngine.report.has_value() || aEngine.report->changing || aEngine.listed.leaving) {
    return false;
  }
  const auto rule = this->configuration->targets.find(core::TargetId(aEngine.listed.name));
  return rule != this->configuration->targets.end() &&
         this->configuration->deployments.at(rule->second.deployment).model ==
           aEngine.report->model;
}

// A serving engine may drain only if no other engine of its deployment has an unsettled order and,
// unless it is the deployment's only engine, another one is serving.
bool
Controller::MayDrain(const core::TargetId& aTarget) const
{
  if (!this->IsServing(this->engines.at(aTarget))) {
    return true;
  }
  const core::DeploymentName& deployment = this->configuration->targets.at(aTarget).deployment;
  std::size_t others = 0;
  std::size_t serving = 0;
  for (const auto& [target, state] : this->engines) {
    const auto rule = this->configuration->targets.find(target);
    const bool sameDeployment =
      rule != this->configuration->targets.end() && rule->second.deployment == deployment;
    if (!sameDeployment || target == aTarget) {
      continue;
    }
    if (this->journal.Entry(target).phase != OrderPhase::kSettled) {
      return false;
    }
    ++others;
    serving += this->IsServing(state) ? 1U : 0U;
  }
  return others == 0 || serving > 0;
}

bool
Controller::IsFormerHolderExcluded(const core::TargetId& aTarget) const
{
  const auto rule = this->configuration->targets.find(aTarget);
  const bool engineChecksFencing =
    rule != this->configuration->targets.end() && rule->second.checksFencing;
  return engineChecksFencing ||
         this->ports.clock.Now() >= this->termStartedAt + this->options.takeoverDelay;
}

bool
Controller::MayLoad() const
{
  const std::vector<JournalEntry> journalEntries = this->journal.Entries();
  const auto loading =
    std::count_if(journalEntries.begin(), journalEntries.end(), [](const JournalEntry& aEntry) {
      return aEntry.phase == OrderPhase::kOpen && IsLoad(aEntry.order);
    });
  return static_cast<std::size_t>(loading) < this->options.maxConcurrentLoads;
}

void
Controller::StartOrder(const OrderSituation& aSituation)
{
  JournalEntry entry = aSituation.entry;
  entry.order = *aSituation.wanted;
  entry.order.order = core::OrderId(core::MakeUniqueName());
  entry.order.token = *this->term;
  entry.phase = OrderPhase::kDraining;
  this->journal.Write(std::move(entry)).status().IgnoreError();
}

void
Controller::Settle(JournalEntry aEntry)
{
  aEntry.phase = OrderPhase::kSettled;
  this->journal.Write(std::move(aEntry)).status().IgnoreError();
}

void
Controller::OpenAndSend(JournalEntry aEntry)
{
  if (aEntry.phase == OrderPhase::kOpen && aEntry.order.token == this->term) {
    this->Send(aEntry);
    return;
  }
  // An open order of a former lease holder is sent again under the token of this term.
  aEntry.phase = OrderPhase::kOpen;
  aEntry.order.token = *this->term;
  const auto written = this->journal.Write(std::move(aEntry));
  if (written.ok()) {
    this->Send(*written);
  }
}

void
Controller::Send(const JournalEntry& aEntry)
{
  if (this->lease.Token() != aEntry.order.token) {
    return;
  }
  const platform::ListedInstance& engine = this->engines.at(aEntry.target).listed;
  const absl::Status sent = this->ports.engines.SendOrder(engine.address, aEntry.order);
  core::Log(sent.ok() ? core::LogLevel::kInfo : core::LogLevel::kWarning,
            "order sent",
            { { "target", engine.name },
              { "order", aEntry.order.order.Text() },
              { "kind", targets::OrderKindName(aEntry.order.kind) },
              { "token", std::to_string(aEntry.order.token.Number()) },
              { "problem", std::string(sent.message()) } });
}

} // namespace plantainslip::authority
