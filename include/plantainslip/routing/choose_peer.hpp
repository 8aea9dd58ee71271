#pragma once

#include <optional>
#include <set>

#include <plantainslip/control/fleet_view.hpp>
#include <plantainslip/core/random.hpp>

namespace plantainslip::routing {

/// @brief Selects at random an entry instance of another availability zone that has engines of a
///        deployment.
/// @param aView  the current fleet view
/// @param aZone  the availability zone of this instance
/// @param aDeployment  the requested deployment
/// @param aExcluded  instances at which this request already failed
/// @param aRandom  random number generator
/// @return the instance, or `std::nullopt` if there is none; linear in the numbers of engines and
///         instances
std::optional<control::EntryView>
ChoosePeer(const control::FleetView& aView,
           const core::ZoneId& aZone,
           const core::DeploymentName& aDeployment,
           const std::set<core::InstanceId>& aExcluded,
           core::RandomSource& aRandom);

} // namespace plantainslip::routing
