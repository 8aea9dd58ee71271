#pragma once

#include <optional>
#include <set>

#include <plantainslip/control/fleet_view.hpp>
#include <plantainslip/core/random.hpp>

namespace plantainslip::routing {

/// @brief Chooses an entry instance of another zone that has engines of a deployment, at random.
/// @param aView  the newest view
/// @param aZone  the instance's own availability zone
/// @param aDeployment  the deployment that is asked for
/// @param aExcluded  instances that already failed this request
/// @param aRandom  source of the choice
/// @return the instance, or nothing if there is none; linear in the numbers of engines and
///         instances
std::optional<control::EntryView>
ChoosePeer(const control::FleetView& aView,
           const core::ZoneId& aZone,
           const core::DeploymentName& aDeployment,
           const std::set<core::InstanceId>& aExcluded,
           core::RandomSource& aRandom);

} // namespace plantainslip::routing
