#pragma once

#include <set>
#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/control/fleet_view.hpp>
#include <plantainslip/core/random.hpp>
#include <plantainslip/routing/in_flight.hpp>

namespace plantainslip::routing {

/// @brief What the choice of an engine depends on, beside the view.
struct EngineQuery
{
  core::ZoneId zone;
  core::DeploymentName deployment;
  std::string adapter;
  std::string prompt;
  /// @brief Targets that already failed this request.
  std::set<core::TargetId> excluded;
};

/// @brief Chooses an engine of the zone by two random choices and the lesser load.
/// @param aView  the newest view
/// @param aQuery  the request
/// @param aInFlight  this instance's own attempts, which reports do not show yet
/// @param aRandom  source of the two choices
/// @return the engine, or error 601 (routing.unknown_name) or 602 (routing.no_target); linear in
///         the number of engines
absl::StatusOr<control::EngineView>
ChooseEngine(const control::FleetView& aView,
             const EngineQuery& aQuery,
             const InFlight& aInFlight,
             core::RandomSource& aRandom);

/// @brief Chooses a target of a plain service, at random among those of the zone.
/// @param aView  the newest view
/// @param aZone  the instance's own availability zone
/// @param aService  the service
/// @param aExcluded  targets that already failed this request
/// @param aRandom  source of the choice
/// @return the target, or error 601 (routing.unknown_name) or 602 (routing.no_target); linear in
///         the number of targets
absl::StatusOr<control::ServiceView>
ChooseService(const control::FleetView& aView,
              const core::ZoneId& aZone,
              const core::ServiceName& aService,
              const std::set<core::TargetId>& aExcluded,
              core::RandomSource& aRandom);

} // namespace plantainslip::routing
