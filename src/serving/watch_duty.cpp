#include <plantainslip/serving/watch_duty.hpp>

#include <algorithm>

namespace plantainslip::serving {

namespace {

// Orders instances by bandwidth, then by id, so that all instances agree without communication.
bool
RanksBefore(const PeerState& aLeft, const PeerState& aRight)
{
  return aLeft.linkMbps != aRight.linkMbps ? aLeft.linkMbps > aRight.linkMbps
                                           : aLeft.id < aRight.id;
}

} // namespace

WatchDuty
DecideWatchDuty(const PeerState& aSelf, std::span<const PeerState> aPeers, core::MonotonicTime aNow)
{
  std::map<core::ZoneId, std::size_t> instanceCounts;
  ++instanceCounts[aSelf.zone];
  std::size_t precedingPeers = 0;
  for (const PeerState& peer : aPeers) {
    if (IsAlive(peer, aNow)) {
      ++instanceCounts[peer.zone];
      const bool hasRead = peer.targetsState.upTo != StorePosition{};
      precedingPeers +=
        static_cast<std::size_t>(peer.zone == aSelf.zone && hasRead && RanksBefore(peer, aSelf));
    }
  }
  WatchDuty duty;
  duty.watcherCount = 0;
  for (const auto& [zone, count] : instanceCounts) {
    duty.watcherCount += std::min(count, kWatchersPerZone);
  }
  duty.isWatcher =
    precedingPeers < kWatchersPerZone || aNow - aSelf.confirmedAt > kConfirmationTimeout;
  return duty;
}

core::MonotonicTime
LatestPeerConfirmation(const PeerState& aSelf,
                       std::span<const PeerState> aPeers,
                       core::MonotonicTime aNow)
{
  core::MonotonicTime latest = aSelf.confirmedAt;
  for (const PeerState& peer : aPeers) {
    const bool hasNewerData = MayLackChanges(aSelf.configState, peer.configState) ||
                              MayLackChanges(aSelf.targetsState, peer.targetsState);
    if (!hasNewerData && IsAlive(peer, aNow)) {
      latest = std::max(latest, std::min(peer.confirmedAt, peer.lastMessageAt));
    }
  }
  return latest;
}

} // namespace plantainslip::serving
