#include <plantainslip/routing/choose_peer.hpp>

#include <vector>

namespace plantainslip::routing {

std::optional<control::EntryView>
ChoosePeer(const control::FleetView& aView,
           const core::ZoneId& aZone,
           const core::DeploymentName& aDeployment,
           const std::set<core::InstanceId>& aExcluded,
           core::RandomSource& aRandom)
{
  std::set<core::ZoneId> zones;
  for (const control::EngineView& engine : aView.engines) {
    if (engine.deployment == aDeployment && engine.zone != aZone && !engine.leaving) {
      zones.insert(engine.zone);
    }
  }
  std::vector<const control::EntryView*> candidates;
  for (const control::EntryView& entry : aView.entries) {
    const bool reachable = entry.peerAddress.port != 0 && !entry.leaving && entry.alive;
    if (reachable && zones.contains(entry.zone) && !aExcluded.contains(entry.instance)) {
      candidates.push_back(&entry);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return *candidates[aRandom.Below(candidates.size())];
}

} // namespace plantainslip::routing
