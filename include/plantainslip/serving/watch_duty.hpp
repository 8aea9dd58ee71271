#pragma once

#include <span>

#include <plantainslip/serving/fleet.hpp>

namespace plantainslip::serving {

/// @brief State of an instance as known from its peer messages.
struct PeerState
{
  core::InstanceId id;
  core::ZoneId zone;
  /// @brief Address at which the peer receives datagrams and serves store changes.
  net::Address address;
  /// @brief Bandwidth of the peer's link in megabits per second; watchers send changes to many
  ///        peers.
  double linkMbps = 0.0;
  core::MonotonicTime lastMessageAt;
  /// @brief When the store last confirmed, directly or through other peers, that the peer knows the
  ///        newest configuration and targets.
  core::MonotonicTime confirmedAt;
  ReplicaState configState;
  ReplicaState targetsState;
  /// @brief Token with which the peer states to hold the fleet's lease; zero if it does not.
  core::FencingToken heldToken = {};
};

/// @brief Whether an instance watches the store itself.
struct WatchDuty
{
  bool isWatcher = true;
  /// @brief Known number of instances in the fleet that watch the store; at least one.
  std::size_t watcherCount = 1;
};

/// @brief Instances that watch the store in each availability zone: one may fail.
inline constexpr std::size_t kWatchersPerZone = 2;
/// @brief Time without a message after which a peer is considered dead: several message intervals.
inline constexpr milliseconds kPeerLivenessTimeout{ 1'500 };
/// @brief Age of the last confirmation from which an instance watches the store itself: somewhat
///        less than the time within which a configuration must be in force.
inline constexpr milliseconds kConfirmationTimeout{ 2'500 };

/// @brief Returns whether the last message of a peer is recent.
inline bool
IsAlive(const PeerState& aPeer, core::MonotonicTime aNow)
{
  return aNow - aPeer.lastMessageAt <= kPeerLivenessTimeout;
}

/// @brief Decides whether an instance watches the store or relies on its peers.
///
/// The number of store calls grows with the number of zones, not with the number of instances. In
/// each zone the instances with the highest bandwidth watch the store; the others do so only while
/// no peer confirms that their revisions are the newest. Nobody relies on a peer that has not read
/// the store yet.
/// @param aPeers  other instances from which messages were received
/// @return the duty; linear in the number of peers times its logarithm
WatchDuty
DecideWatchDuty(const PeerState& aSelf,
                std::span<const PeerState> aPeers,
                core::MonotonicTime aNow);

/// @brief Returns the latest time at which the store confirmed an instance's revisions as the
///        newest, according to the instance itself and to its live peers.
///
/// Peers that know changes which the instance may lack are ignored, as their confirmation is about
/// other data.
/// @return the time, at least that of aSelf; linear in the number of peers
core::MonotonicTime
LatestPeerConfirmation(const PeerState& aSelf,
                       std::span<const PeerState> aPeers,
                       core::MonotonicTime aNow);

} // namespace plantainslip::serving
