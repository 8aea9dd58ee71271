#include <plantainslip/routing/choose_target.hpp>

#include <vector>

#include <plantainslip/routing/errors.hpp>

namespace plantainslip::routing {

absl::StatusOr<control::ServiceView>
ChooseService(const control::FleetView& aView,
              const core::ZoneId& aZone,
              const core::ServiceName& aService,
              const std::set<core::TargetId>& aExcluded,
              core::RandomSource& aRandom)
{
  if (aView.configuration == nullptr) {
    return core::MakeError(errors::kNoTarget, "no configuration is in force yet");
  }
  if (!aView.configuration->services.contains(aService)) {
    return core::MakeError(errors::kUnknownName, aService.Text());
  }
  std::vector<const control::ServiceView*> candidates;
  for (const control::ServiceView& target : aView.services) {
    const bool reachable = target.zone == aZone && !target.leaving;
    if (reachable && target.service == aService && !aExcluded.contains(target.target)) {
      candidates.push_back(&target);
    }
  }
  if (candidates.empty()) {
    return core::MakeError(errors::kNoTarget, aService.Text());
  }
  return *candidates[aRandom.Below(candidates.size())];
}

} // namespace plantainslip::routing
