#include <plantainslip/authority/controller.hpp>

#include <algorithm>

#include <plantainslip/config/record.hpp>
#include <plantainslip/core/for_each.hpp>
#include <plantainslip/core/log.hpp>
#include <plantainslip/core/random.hpp>

namespace plantainslip::authority {

namespace {

constexpr std::chrono::seconds kCountInterval{ 60 };

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
  if (!this->BeginStep()) {
    this->CountContenders();
    return;
  }
  this->RefreshConfiguration();
  const auto listed = this->ports.list.Read();
  if (!listed.ok() || !this->configuration.has_value()) {
    return;
  }
  this->ReadZone(*listed);
  this->drains.Sync(this->entries, this->journal.Marks());
  this->lease.Keep();
  // Read after the confirmations: an engine that is idle now gets no new work.
  this->ReadReports();
  this->lease.Keep();
  this->PlanRoles();
  const std::uint64_t writes = this->journal.Writes();
  this->StepAll();
  if (this->journal.Writes() != writes && this->journal.Load().ok()) {
    // Marks that were set or lifted in this step are not left to the next.
    this->drains.Sync(this->entries, this->journal.Marks());
  }
}

// Every instance of the zone runs a controller, so entry instances tell how many stand by.
void
Controller::CountContenders()
{
  const core::MonotonicTime now = this->ports.clock.Now();
  if (this->contendersCountedAt.has_value() && now < *this->contendersCountedAt + kCountInterval) {
    return;
  }
  this->contendersCountedAt = now;
  const auto listed = this->ports.list.Read();
  if (listed.ok()) {
    const auto count = std::count_if(listed->begin(), listed->end(), [this](const auto& aOne) {
      return aOne.kind == platform::ListedKind::kEntry && aOne.zone == this->options.lease.zone;
    });
    this->lease.SetContenders(static_cast<std::size_t>(count));
  }
}

void
Controller::Stop()
{
  this->lease.Release();
}

bool
Controller::BeginStep()
{
  this->lease.Keep();
  const auto token = this->lease.Token();
  if (!token.has_value()) {
    return false;
  }
  if (this->term != token) {
    this->term = token;
    this->termBegunAt = this->ports.clock.Now();
    this->journal.Forget();
    this->drains.Forget();
    core::Log(
      core::LogLevel::kInfo, "term begun", { { "token", std::to_string(token->Number()) } });
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
  // A stale read must not take the plan back to an earlier version.
  if (this->configuration.has_value() && record->version <= this->configuration->version) {
    return;
  }
  auto parsed = config::ParseConfiguration(record->version, record->document);
  if (parsed.ok()) {
    this->configuration = *std::move(parsed);
  }
}

void
Controller::ReadZone(const std::vector<platform::ListedInstance>& aList)
{
  this->entries.clear();
  this->engines.clear();
  for (const platform::ListedInstance& instance : aList) {
    if (instance.zone != this->options.lease.zone) {
      continue;
    }
    if (instance.kind == platform::ListedKind::kEntry) {
      this->entries.push_back(instance);
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
  this->ports.roles->Learn(this->entries);
  std::vector<RoleCandidate> candidates;
  for (const auto& [target, state] : this->engines) {
    const auto rule = this->configuration->targets.find(target);
    const bool open = rule != this->configuration->targets.end() && rule->second.role == "auto";
    if (open && state.report.has_value() && !state.listed.leaving) {
      const JournalEntry entry = this->journal.Entry(target);
      const bool changes =
        entry.phase != OrderPhase::kSettled && entry.order.kind == targets::OrderKind::kSetRole;
      const targets::EngineRole role = changes ? entry.order.role : state.report->role;
      candidates.push_back({ target, rule->second.deployment, role, state.report->running });
    }
  }
  this->plannedRoles = this->ports.roles->Plan(this->configuration->weights, candidates);
}

void
Controller::StepAll()
{
  for (const auto& [target, state] : this->engines) {
    this->StepEngine(target);
  }
  for (const JournalEntry& entry : this->journal.Entries()) {
    if (!this->engines.contains(entry.target)) {
      this->StepEngine(entry.target);
    }
  }
}

void
Controller::StepEngine(const core::TargetId& aTarget)
{
  this->lease.Keep();
  if (this->lease.Token() != this->term || !this->journal.Load().ok()) {
    return;
  }
  const OrderSituation situation = this->SituationOf(aTarget);
  this->Perform(DecideOrderStep(situation), situation);
}

OrderSituation
Controller::SituationOf(const core::TargetId& aTarget) const
{
  OrderSituation situation;
  situation.entry = this->journal.Entry(aTarget);
  situation.quiet = this->drains.IsQuiet(aTarget);
  situation.authoritative = this->IsAuthoritative(aTarget);
  situation.mayLoad = this->MayLoad();
  const auto engine = this->engines.find(aTarget);
  situation.withdrawn = engine == this->engines.end();
  if (situation.withdrawn) {
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
Controller::Perform(OrderStep aStep, const OrderSituation& aSituation)
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

// Of several engines of a deployment that serve, one at a time is taken out of service.
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
    const bool same =
      rule != this->configuration->targets.end() && rule->second.deployment == deployment;
    if (!same || target == aTarget) {
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
Controller::IsAuthoritative(const core::TargetId& aTarget) const
{
  const auto rule = this->configuration->targets.find(aTarget);
  const bool checks = rule != this->configuration->targets.end() && rule->second.checksFencing;
  return checks || this->ports.clock.Now() >= this->termBegunAt + this->options.takeOverWait;
}

bool
Controller::MayLoad() const
{
  const std::vector<JournalEntry> all = this->journal.Entries();
  const auto loading = std::count_if(all.begin(), all.end(), [](const JournalEntry& aEntry) {
    return aEntry.phase == OrderPhase::kOpen && IsLoad(aEntry.order);
  });
  return static_cast<std::size_t>(loading) < this->options.loadsAtOnce;
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
  // A successor sends the same order again, under its own token.
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
