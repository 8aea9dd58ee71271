#include <plantainslip/control/view_builder.hpp>

#include <utility>

namespace plantainslip::control {

bool
ViewBuilder::AdoptConfiguration(std::shared_ptr<const config::Configuration> aConfiguration)
{
  if (aConfiguration == nullptr || aConfiguration->version <= this->Version()) {
    return false;
  }
  this->configuration = std::move(aConfiguration);
  return true;
}

void
ViewBuilder::AdoptList(std::vector<platform::ListedInstance> aList)
{
  this->list = std::move(aList);
}

void
ViewBuilder::AdoptReport(const core::TargetId& aTarget,
                         targets::EngineReport aReport,
                         core::MonotonicTime aNow)
{
  this->reports[aTarget] = TimedReport{ std::move(aReport), aNow };
}

void
ViewBuilder::ForgetReport(const core::TargetId& aTarget)
{
  this->reports.erase(aTarget);
}

core::ConfigVersion
ViewBuilder::Version() const
{
  return this->configuration == nullptr ? core::ConfigVersion() : this->configuration->version;
}

std::shared_ptr<const FleetView>
ViewBuilder::Build() const
{
  auto view = std::make_shared<FleetView>();
  view->configuration = this->configuration;
  for (const platform::ListedInstance& listed : this->list) {
    if (listed.kind == platform::ListedKind::kEntry) {
      EntryView entry;
      entry.instance = core::InstanceId(listed.name);
      entry.zone = listed.zone;
      entry.address = listed.address;
      entry.peerAddress = listed.peerAddress;
      entry.leaving = listed.leaving;
      view->entries.push_back(std::move(entry));
      continue;
    }
    const core::TargetId target(listed.name);
    if (listed.kind == platform::ListedKind::kService) {
      view->services.push_back(
        { target, listed.zone, listed.address, listed.service, listed.leaving });
      continue;
    }
    EngineView engine;
    engine.target = target;
    engine.zone = listed.zone;
    engine.address = listed.address;
    engine.leaving = listed.leaving;
    if (const auto found = this->reports.find(target); found != this->reports.end()) {
      engine.report = found->second.report;
      engine.reportedAt = found->second.reportedAt;
    }
    if (this->configuration != nullptr) {
      const auto rule = this->configuration->targets.find(target);
      if (rule != this->configuration->targets.end()) {
        engine.deployment = rule->second.deployment;
      }
    }
    view->engines.push_back(std::move(engine));
  }
  return view;
}

} // namespace plantainslip::control
