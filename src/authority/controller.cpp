#include <plantainslip/authority/controller.hpp>

#include <algorithm>

#include <plantainslip/config/record.hpp>
#include <plantainslip/core/for_each.hpp>
#include <plantainslip/core/log.hpp>
#include <plantainslip/core/random.hpp>

namespace plantainslip::authority {

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
  this->StepAll();
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
    situation.wanted = NextOrder(*this->configuration, aTarget, *situation.report);
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
