#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/random.hpp>
#include <plantainslip/membership/leaving_marks.hpp>
#include <plantainslip/membership/message.hpp>
#include <plantainslip/platform/instance_list.hpp>

namespace plantainslip::membership {

/// @brief Settings of membership; apart from MembershipOptions::self the same on all instances.
struct MembershipOptions
{
  /// @brief Record that this instance announces of itself. Its incarnation must be higher than that
  ///        of any earlier process with the same name, e.g. the wall-clock time of the start.
  MemberRecord self;
  /// @brief Time between two probes that this instance starts.
  std::chrono::milliseconds probeInterval{ 500 };
  /// @brief Time to wait for the direct ack before other members are asked to ping the target.
  std::chrono::milliseconds directTimeout{ 150 };
  /// @brief Time from the start of a probe until the target is suspected.
  std::chrono::milliseconds probeTimeout{ 450 };
  /// @brief Time that a suspected member has to refute before it is declared dead.
  std::chrono::milliseconds suspicionTimeout{ 3000 };
  /// @brief Time between two messages that a relay sends to other zones.
  std::chrono::milliseconds relayInterval{ 1000 };
  /// @brief Expected time between two calls of Tick(); a gap of several intervals means that this
  ///        process was paused.
  std::chrono::milliseconds tickInterval{ 50 };
};

/// @brief A message and the address to send it to.
struct Datagram
{
  net::Address to;
  Message message;
};

/// @brief SWIM-style membership protocol of one instance: probes members of its own zone and
///        gossips with other zones through relays.
///
/// Members are suspected and declared dead only by members of their own zone, so that a zone that
/// is partitioned from the others does not declare them dead.
/// @note A state machine without I/O: takes events and the time, returns datagrams to send. Not
///       thread-safe; no errors.
class Membership
{
public:
  /// @brief Number of members in each zone that send gossip to other zones.
  static constexpr std::size_t kRelaysPerZone = 2;

  /// @brief Creates a membership with this instance as the only member.
  /// @param aSeed  seed for the probe order and all other random choices
  Membership(MembershipOptions aOptions, std::uint64_t aSeed, core::MonotonicTime aNow);

  /// @brief Updates members and leaving marks from the platform's list: adds listed members and
  ///        removes unlisted members that are dead or belong to another zone.
  /// @note O(n log n) in the number of listed instances and members.
  void UpdateFromList(const std::vector<platform::ListedInstance>& aList, core::MonotonicTime aNow);

  /// @brief Returns a message that announces this instance to an address whose instance name need
  ///        not be known.
  Datagram MakeJoinMessage(const net::Address& aAddress);

  /// @brief Merges marks received from a peer and queues changed ones for gossip.
  void MergeMarks(const std::vector<LeavingMark>& aMarks);

  /// @brief Starts due probes, evaluates pending ones, expires suspicions and, on a relay, sends
  ///        gossip to another zone.
  /// @return the datagrams to send
  /// @note At most O(n log n) in the number of members and marks.
  std::vector<Datagram> Tick(core::MonotonicTime aNow);

  /// @brief Handles a received message.
  /// @return the datagrams to send in response
  /// @note At most O(n log n) in the number of members and marks.
  std::vector<Datagram> Receive(const Message& aMessage,
                                const net::Address& aFrom,
                                core::MonotonicTime aNow);

  /// @brief Sets the version of the configuration that outgoing messages announce.
  void SetConfiguration(core::ConfigVersion aVersion) { this->configuration = aVersion; }

  /// @brief Returns announcements of the current configuration version for all members of the zone
  ///        that are not dead. Linear.
  std::vector<Datagram> MakeAnnouncements();

  /// @brief Marks this instance as dead and returns messages that announce it to a few live members
  ///        of the zone. Linear.
  std::vector<Datagram> Leave();

  /// @brief Returns the records of all members except this instance, ordered by name. Linear.
  std::vector<MemberRecord> Members() const;

  /// @brief Returns the zone's members that are not dead, including this instance. Linear.
  std::vector<core::InstanceId> LiveInZone() const;

  /// @brief Returns whether an instance was declared dead. Logarithmic.
  bool IsDead(const core::InstanceId& aInstance) const;

  /// @brief Returns the leaving marks.
  const LeavingMarks& Marks() const { return this->marks; }

  /// @brief Returns this instance's record.
  const MemberRecord& Self() const { return this->options.self; }

  /// @brief Returns a counter that increases whenever a member's state or a leaving mark changes.
  std::uint64_t ChangeCount() const { return this->changeCount; }

private:
  struct Member
  {
    MemberRecord record;
    core::MonotonicTime suspectedAt;
    bool listed = false;
  };
  struct PendingProbe
  {
    core::InstanceId target;
    core::MonotonicTime startedAt;
    bool pingRequestsSent = false;
  };
  struct RelayedProbe
  {
    net::Address origin;
    std::uint64_t sequence = 0;
    core::MonotonicTime startedAt;
  };
  struct GossipItem
  {
    /// @brief Number of messages that still have to carry the item.
    unsigned remaining = 0;
    bool isMark = false;
  };

  void DiscountPause(core::MonotonicTime aNow);
  void CheckProbes(std::vector<Datagram>& aOut, core::MonotonicTime aNow);
  void ExpireSuspicions(core::MonotonicTime aNow);
  void StartProbes(std::vector<Datagram>& aOut, core::MonotonicTime aNow);
  void ProbeDead(std::vector<Datagram>& aOut);
  void GossipToOtherZone(std::vector<Datagram>& aOut);
  void SendPingRequests(std::vector<Datagram>& aOut,
                        std::uint64_t aSequence,
                        const PendingProbe& aProbe);
  void MergeRecord(const MemberRecord& aRecord, core::MonotonicTime aNow);
  void Refute(const MemberRecord& aRecord);
  void UpdateMember(Member& aMember, const MemberRecord& aRecord, core::MonotonicTime aNow);
  void QueueGossip(const std::string& aName, bool aIsMark);
  void MergeMark(const LeavingMark& aMark);
  Message MakeMessage(MessageKind aKind, std::uint64_t aSequence);
  Datagram MakePing(const Member& aMember, std::uint64_t aSequence);
  void AddQueuedGossip(Message& aMessage);
  void AddRecord(Message& aMessage, const core::InstanceId& aInstance) const;
  void AddZoneGossip(Message& aMessage);
  std::optional<core::InstanceId> NextProbeTarget();
  std::vector<const Member*> PickRandomAlive(std::size_t aCount, const core::InstanceId& aExcluded);
  bool IsInOwnZone(const Member& aMember) const;
  unsigned TransmissionLimit() const;

  MembershipOptions options;
  core::RandomSource random;
  std::map<core::InstanceId, Member> members;
  LeavingMarks marks;
  std::map<std::string, GossipItem> gossipQueue;
  std::map<std::uint64_t, PendingProbe> pendingProbes;
  std::map<std::uint64_t, RelayedProbe> relayedProbes;
  std::vector<core::InstanceId> probeOrder;
  core::ConfigVersion configuration;
  std::uint64_t nextSequence = 1;
  std::uint64_t probeRounds = 0;
  std::uint64_t zoneGossipRounds = 0;
  std::uint64_t changeCount = 0;
  core::MonotonicTime lastTick;
  core::MonotonicTime nextProbe;
  core::MonotonicTime nextZoneGossip;
};

/// @brief Picks instances by rendezvous hashing, so that instances with the same member list pick
///        the same ones.
/// @param aMembers  the candidates
/// @param aPurpose  seed of the hash; different purposes give independent choices
/// @param aCount  max number of instances to pick
/// @return the picked instances, highest weight first
/// @note O(n log n) in the number of candidates; no errors.
std::vector<core::InstanceId>
PickByRendezvous(const std::vector<core::InstanceId>& aMembers,
                 const std::string& aPurpose,
                 std::size_t aCount);

} // namespace plantainslip::membership
