#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/core/random.hpp>

namespace plantainslip::control {

/// @brief Number of instances in each zone that watch the configuration in the store.
inline constexpr std::size_t kWatchersPerZone = 2;
/// @brief Mean time between two polls of the store by a zone, over all its instances that do not
///        watch.
inline constexpr std::chrono::seconds kZonePollInterval{ 10 };

/// @brief Returns whether an instance watches the store on behalf of its zone. Members choose the
///        same watchers if they know the same live members; extra watchers do no harm.
/// @param aLive  live members of the zone, including the instance
/// @return whether the instance is one of the #kWatchersPerZone watchers
/// @note O(n log n) in the zone's size; no errors.
bool
ShouldWatch(const std::vector<core::InstanceId>& aLive, const core::InstanceId& aSelf);

/// @brief Returns the delay until an instance's next poll of the store. Polls find changes that
///        were not announced by watchers or peers. The delay grows with the zone's size, so that
///        the rate of polls per zone stays constant.
/// @return a random delay between 0.5 and 1.5 times the mean, which is #kZonePollInterval times
///         aZoneSize
std::chrono::milliseconds
NextPollDelay(std::size_t aZoneSize, core::RandomSource& aRandom);

} // namespace plantainslip::control
