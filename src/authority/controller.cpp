#include <plantainslip/authority/controller.hpp>

#include <algorithm>

#include <plantainslip/config/record.hpp>
#include <plantainslip/core/log.hpp>
#include <plantainslip/core/random.hpp>

namespace plantainslip::authority {

std::optional<targets::EngineOrder>
NextOrder(const config::Configuration& aConfiguration,
          const core::TargetId& aTarget,
          const targets::EngineReport& aReport)
{
  const auto rule = aConfiguration.targets.find(aTarget);
  if (rule == aConfiguration.targets.end()) {
    return std::nullopt;
  }
  const config::Deployment& wanted = aConfiguration.deployments.at(rule->second.deployment);
  targets::EngineOrder order;
  order.model = wanted.model;
  order.version = wanted.version;
  order.role = aReport.role;
  if (aReport.model != wanted.model || aReport.version != wanted.version) {
    order.kind = targets::OrderKind::kLoadModel;
    return order;
  }
  for (const std::string& adapter : wanted.adapters) {
    if (std::find(aReport.adapters.begin(), aReport.adapters.end(), adapter) ==
        aReport.adapters.end()) {
      order.kind = targets::OrderKind::kLoadAdapter;
      order.adapter = adapter;
      return order;
    }
  }
  const auto role = targets::ParseRole(rule->second.role);
  if (role.ok() && *role != aReport.role) {
    order.kind = targets::OrderKind::kSetRole;
    order.role = *role;
    return order;
  }
  return std::nullopt;
}

Controller::Controller(ControllerPorts aPorts, const ZoneLeaseOptions& aOptions)
  : ports(aPorts)
  , zone(aOptions.zone)
  , lease(aPorts.store, aPorts.clock, aOptions)
  , journal(aPorts.store, aOptions.zone)
{
}

void
Controller::Step()
{
  this->lease.Keep();
  if (!this->lease.Token().has_value()) {
    return;
  }
  this->RefreshConfiguration();
  const auto listed = this->ports.list.Read();
  if (!listed.ok() || !this->configuration.has_value()) {
    return;
  }
  for (const platform::ListedInstance& instance : *listed) {
    if (instance.kind == platform::ListedKind::kEngine && instance.zone == this->zone) {
      this->StepEngine(instance);
    }
  }
}

void
Controller::Stop()
{
  this->lease.Release();
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
Controller::StepEngine(const platform::ListedInstance& aEngine)
{
  const core::TargetId target(aEngine.name);
  const auto report = this->ports.engines.ReadReport(aEngine.address);
  auto entry = this->journal.Read(target);
  if (!report.ok() || !entry.ok()) {
    return;
  }
  if (entry->phase == OrderPhase::kOpen) {
    this->Settle(*std::move(entry), aEngine, *report);
    return;
  }
  auto order = NextOrder(*this->configuration, target, *report);
  const auto token = this->lease.Token();
  if (!order.has_value() || !token.has_value()) {
    return;
  }
  order->order = core::OrderId(core::MakeUniqueName());
  order->token = *token;
  entry->order = *order;
  entry->phase = OrderPhase::kOpen;
  const auto written = this->journal.Write(*std::move(entry));
  if (written.ok()) {
    this->Send(*written, aEngine);
  }
}

void
Controller::Settle(JournalEntry aEntry,
                   const platform::ListedInstance& aEngine,
                   const targets::EngineReport& aReport)
{
  const bool taken = aReport.lastOrder == aEntry.order.order;
  if (taken && aReport.lastOrderDone) {
    aEntry.phase = OrderPhase::kSettled;
    this->journal.Write(std::move(aEntry)).status().IgnoreError();
    return;
  }
  const auto token = this->lease.Token();
  if (taken || !token.has_value()) {
    return;
  }
  // A successor sends the same order again, under its own token.
  aEntry.order.token = *token;
  const auto written = this->journal.Write(std::move(aEntry));
  if (written.ok()) {
    this->Send(*written, aEngine);
  }
}

void
Controller::Send(const JournalEntry& aEntry, const platform::ListedInstance& aEngine)
{
  if (this->lease.Token() != aEntry.order.token) {
    return;
  }
  const absl::Status sent = this->ports.engines.SendOrder(aEngine.address, aEntry.order);
  core::Log(sent.ok() ? core::LogLevel::kInfo : core::LogLevel::kWarning,
            "order sent",
            { { "target", aEngine.name },
              { "order", aEntry.order.order.Text() },
              { "kind", targets::OrderKindName(aEntry.order.kind) },
              { "token", std::to_string(aEntry.order.token.Number()) },
              { "problem", std::string(sent.message()) } });
}

} // namespace plantainslip::authority
