#pragma once

#include <span>

#include <plantainslip/serving/fleet.hpp>

namespace plantainslip::serving {

/// @brief What an instance knows of another one from its messages.
struct PeerStanding
{
  core::InstanceId id;
  core::ZoneId zone;
  /// @brief Where the peer takes datagrams and hands on changes of the store.
  net::Address address;
  /// @brief Bandwidth of the peer's link in megabits a second; watchers hand changes to many.
  double linkMbps = 0.0;
  core::MonotonicTime heardAt;
  /// @brief When the store last confirmed, to the peer or to somebody it heard of, what it knows.
  core::MonotonicTime confirmedAt;
  core::Revision configRevision;
  core::Revision targetsRevision;
};

/// @brief Whether an instance follows the store itself.
struct WatchDuty
{
  bool watches = true;
  /// @brief Instances in the fleet that follow the store, as far as is known; at least one.
  std::size_t watchers = 1;
};

/// @brief Instances that follow the store in each availability zone: one may fail.
inline constexpr std::size_t kWatchersPerZone = 2;
/// @brief Silence after which a peer counts as gone: several times the interval of its messages.
inline constexpr milliseconds kPeerSilence{ 1'500 };
/// @brief Age of the last confirmation from which an instance looks at the store itself: somewhat
///        less than the time in which a configuration must be in force.
inline constexpr milliseconds kUnconfirmedFor{ 2'500 };

/// @brief Tells whether a peer was heard of lately.
inline bool
IsAlive(const PeerStanding& aPeer, core::MonotonicTime aNow)
{
  return aNow - aPeer.heardAt <= kPeerSilence;
}

/// @brief Decides whether an instance follows the store, or leaves that to its peers.
///
/// Answers fleets of many instances: calls to the store grow with the number of zones, not with
/// that of instances. The instances of a zone with the widest links follow it; the others do so
/// only while nobody can tell them that what they know is the newest.
/// @param aPeers  instances that have been heard of
/// @return the duty; linear in the number of peers times its logarithm
WatchDuty
DecideWatchDuty(const PeerStanding& aSelf,
                std::span<const PeerStanding> aPeers,
                core::MonotonicTime aNow);

/// @brief Gives the newest time at which the store confirmed that nothing newer exists than what an
///        instance knows, by what its peers say.
/// @return the time, or that of aSelf if no peer that knows no more has a newer one
core::MonotonicTime
ConfirmedByPeers(const PeerStanding& aSelf,
                 std::span<const PeerStanding> aPeers,
                 core::MonotonicTime aNow);

} // namespace plantainslip::serving
