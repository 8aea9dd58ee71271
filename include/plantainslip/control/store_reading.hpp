#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/core/random.hpp>

namespace plantainslip::control {

/// @brief Instances of each zone that watch the configuration in the store.
inline constexpr std::size_t kWatchersAZone = 2;
/// @brief Time between two polls of a zone, shared by all its instances that do not watch.
inline constexpr std::chrono::seconds kZonePollInterval{ 10 };

/// @brief Tells whether an instance watches the store for its zone. The zone's members agree as far
///        as they agree on who lives; more watchers than needed do no harm.
/// @param aLive  live members of the zone, the instance included
/// @return whether it is one of the #kWatchersAZone; n log n in the zone's size; no errors
bool
ShouldWatch(const std::vector<core::InstanceId>& aLive, const core::InstanceId& aSelf);

/// @brief Gives the time until an instance's next poll of the store, which catches what watchers
///        and peers missed. Grows with the zone, so that the zone's polls stay the same.
/// @return a time of half to one and a half times the mean
std::chrono::milliseconds
NextPollDelay(std::size_t aZoneSize, core::RandomSource& aRandom);

} // namespace plantainslip::control
