#include <plantainslip/serving/watch_duty.hpp>

#include <algorithm>

namespace plantainslip::serving {

namespace {

// The same order at all instances, without an exchange.
bool
Precedes(const PeerStanding& aLeft, const PeerStanding& aRight)
{
  return aLeft.linkMbps != aRight.linkMbps ? aLeft.linkMbps > aRight.linkMbps
                                           : aLeft.id < aRight.id;
}

} // namespace

WatchDuty
DecideWatchDuty(const PeerStanding& aSelf,
                std::span<const PeerStanding> aPeers,
                core::MonotonicTime aNow)
{
  std::map<core::ZoneId, std::size_t> members;
  ++members[aSelf.zone];
  std::size_t before = 0;
  for (const PeerStanding& peer : aPeers) {
    if (IsAlive(peer, aNow)) {
      ++members[peer.zone];
      before += static_cast<std::size_t>(peer.zone == aSelf.zone && Precedes(peer, aSelf));
    }
  }
  WatchDuty duty;
  duty.watchers = 0;
  for (const auto& [zone, count] : members) {
    duty.watchers += std::min(count, kWatchersPerZone);
  }
  duty.watches = before < kWatchersPerZone || aNow - aSelf.confirmedAt > kUnconfirmedFor;
  return duty;
}

core::MonotonicTime
ConfirmedByPeers(const PeerStanding& aSelf,
                 std::span<const PeerStanding> aPeers,
                 core::MonotonicTime aNow)
{
  core::MonotonicTime newest = aSelf.confirmedAt;
  for (const PeerStanding& peer : aPeers) {
    const bool knowsNoMore =
      peer.configRevision <= aSelf.configRevision && peer.targetsRevision <= aSelf.targetsRevision;
    if (knowsNoMore && IsAlive(peer, aNow)) {
      newest = std::max(newest, std::min(peer.confirmedAt, peer.heardAt));
    }
  }
  return newest;
}

} // namespace plantainslip::serving
