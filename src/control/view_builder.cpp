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
ViewBuilder::SetList(std::vector<platform::ListedInstance> aList)
{
  this->list = std::move(aList);
}

void
ViewBuilder::SetReport(const core::TargetId& aTarget,
                       targets::EngineReport aReport,
                       core::MonotonicTime aNow)
{
  this->reports[aTarget] = TimedReport{ std::move(aReport), aNow };
}

void
ViewBuilder::RemoveReport(const core::TargetId& aTarget)
{
  this->reports.erase(aTarget);
}

core::ConfigVersion
ViewBuilder::Version() const
{
  return this->configuration == nullptr ? core::ConfigVersion() : this->configuration->version;
}

void
ViewBuilder::SetMembership(std::vector<membership::MemberRecord> aMembers,
                           const std::vector<membership::LeavingMark>& aMarks)
{
  this->members = std::move(aMembers);
  this->leaving.clear();
  for (const membership::LeavingMark& mark : aMarks) {
    if (mark.leaving) {
      this->leaving.insert(mark.name);
    }
  }
}

bool
ViewBuilder::IsLeaving(const platform::ListedInstance& aListed) const
{
  return aListed.leaving || this->leaving.contains(aListed.name);
}

// Also adds members that are too new to be listed.
void
ViewBuilder::AddEntries(FleetView& aView) const
{
  std::map<core::InstanceId, EntryView> entries;
  for (const membership::MemberRecord& member : this->members) {
    EntryView& entry = entries[member.instance];
    entry.instance = member.instance;
    entry.zone = member.zone;
    entry.peerAddress = member.address;
    entry.leaving = this->leaving.contains(member.instance.Text());
    entry.alive = member.state != membership::MemberState::kDead;
  }
  for (const platform::ListedInstance& listed : this->list) {
    if (listed.kind != platform::ListedKind::kEntry) {
      continue;
    }
    EntryView& entry = entries[core::InstanceId(listed.name)];
    entry.instance = core::InstanceId(listed.name);
    entry.zone = listed.zone;
    entry.address = listed.address;
    entry.leaving = this->IsLeaving(listed);
    // An address that the member announced itself is newer than the listed one.
    if (entry.peerAddress.port == 0) {
      entry.peerAddress = listed.peerAddress;
    }
  }
  for (auto& [instance, entry] : entries) {
    aView.entries.push_back(std::move(entry));
  }
}

EngineView
ViewBuilder::MakeEngine(const platform::ListedInstance& aListed) const
{
  EngineView engine;
  engine.target = core::TargetId(aListed.name);
  engine.zone = aListed.zone;
  engine.address = aListed.address;
  engine.leaving = this->IsLeaving(aListed);
  if (const auto found = this->reports.find(engine.target); found != this->reports.end()) {
    engine.report = found->second.report;
    engine.reportedAt = found->second.reportedAt;
  }
  if (this->configuration != nullptr) {
    const auto rule = this->configuration->targets.find(engine.target);
    if (rule != this->configuration->targets.end()) {
      engine.deployment = rule->second.deployment;
    }
  }
  return engine;
}

std::shared_ptr<const FleetView>
ViewBuilder::Build() const
{
  auto view = std::make_shared<FleetView>();
  view->configuration = this->configuration;
  this->AddEntries(*view);
  for (const platform::ListedInstance& listed : this->list) {
    if (listed.kind == platform::ListedKind::kService) {
      view->services.push_back({ core::TargetId(listed.name),
                                 listed.zone,
                                 listed.address,
                                 listed.service,
                                 this->IsLeaving(listed) });
    } else if (listed.kind == platform::ListedKind::kEngine) {
      view->engines.push_back(this->MakeEngine(listed));
    }
  }
  return view;
}

} // namespace plantainslip::control
