#include <plantainslip/routing/choose_target.hpp>

#include <vector>

#include <plantainslip/routing/errors.hpp>

namespace plantainslip::routing {

namespace {

bool
CanServe(const control::EngineView& aEngine,
         const EngineQuery& aQuery,
         const config::Deployment& aDeployment)
{
  if (aEngine.zone != aQuery.zone || aEngine.deployment != aQuery.deployment || aEngine.leaving) {
    return false;
  }
  if (!aEngine.report.has_value() || aEngine.report->changing) {
    return false;
  }
  return aEngine.report->model == aDeployment.model && !aQuery.excluded.contains(aEngine.target);
}

std::uint64_t
LoadOf(const control::EngineView& aEngine, const InFlight& aInFlight)
{
  const std::uint64_t reported = aEngine.report->running + aEngine.report->queued;
  return std::max(reported, aInFlight.Count(aEngine.target));
}

} // namespace

absl::StatusOr<control::EngineView>
ChooseEngine(const control::FleetView& aView,
             const EngineQuery& aQuery,
             const InFlight& aInFlight,
             core::RandomSource& aRandom)
{
  if (aView.configuration == nullptr) {
    return core::MakeError(errors::kNoTarget, "no configuration is in force yet");
  }
  const auto deployment = aView.configuration->deployments.find(aQuery.deployment);
  if (deployment == aView.configuration->deployments.end()) {
    return core::MakeError(errors::kUnknownName, aQuery.deployment.Text());
  }
  std::vector<const control::EngineView*> candidates;
  for (const control::EngineView& engine : aView.engines) {
    if (CanServe(engine, aQuery, deployment->second)) {
      candidates.push_back(&engine);
    }
  }
  if (candidates.empty()) {
    return core::MakeError(errors::kNoTarget, aQuery.deployment.Text());
  }
  const control::EngineView& first = *candidates[aRandom.Below(candidates.size())];
  const control::EngineView& second = *candidates[aRandom.Below(candidates.size())];
  return LoadOf(first, aInFlight) <= LoadOf(second, aInFlight) ? first : second;
}

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
