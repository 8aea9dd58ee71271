#include <plantainslip/control/store_watch_policy.hpp>

#include <algorithm>

#include <plantainslip/membership/membership.hpp>

namespace plantainslip::control {

bool
ShouldWatch(const std::vector<core::InstanceId>& aLive, const core::InstanceId& aSelf)
{
  const auto watchers = membership::PickByRendezvous(aLive, "watch", kWatchersPerZone);
  return std::find(watchers.begin(), watchers.end(), aSelf) != watchers.end();
}

std::chrono::milliseconds
NextPollDelay(std::size_t aZoneSize, core::RandomSource& aRandom)
{
  const std::chrono::milliseconds mean = kZonePollInterval * aZoneSize;
  const auto spread = static_cast<std::uint64_t>(mean.count());
  return mean / 2 + std::chrono::milliseconds(aRandom.Below(spread));
}

} // namespace plantainslip::control
