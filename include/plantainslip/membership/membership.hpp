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

/// @brief Settings of membership; the same on all instances.
struct MembershipOptions
{
  /// @brief This instance as it announces itself. Its incarnation has to be higher than that of any
  ///        earlier process with the same name; the wall clock at the start serves.
  MemberRecord self;
  /// @brief Time between two probes of this instance.
  std::chrono::milliseconds probeInterval{ 500 };
  /// @brief Time to wait for the direct answer before other members are asked to probe.
  std::chrono::milliseconds directTimeout{ 150 };
  /// @brief Time from the beginning of a probe until the member is suspected.
  std::chrono::milliseconds probeTimeout{ 450 };
  /// @brief Time that a suspected member has to refute.
  std::chrono::milliseconds suspicionTimeout{ 3000 };
  /// @brief Time between two messages of a relay to other zones.
  std::chrono::milliseconds relayInterval{ 1000 };
  /// @brief Longest expected time between two calls of Tick(); a longer one shows that this
  ///        instance itself stood still.
  std::chrono::milliseconds tickInterval{ 50 };
};

/// @brief A message that is to be sent.
struct Datagram
{
  net::Address to;
  Message message;
};

/// @brief SWIM-style membership of one instance: probes inside its zone, relays to other zones.
///
/// Members are suspected and declared dead only by members of their own zone, so that a zone that
/// is cut off from others does not declare them dead.
/// @note State, event and time in, datagrams out: no I/O, one thread, no errors.
class Membership
{
public:
  /// @brief Members of each zone that pass news on to other zones.
  static constexpr std::size_t kRelaysAZone = 2;

  /// @brief Starts with this instance as the only member.
  /// @param aSeed  seed of the order in which members are probed
  Membership(MembershipOptions aOptions, std::uint64_t aSeed, core::MonotonicTime aNow);

  /// @brief Takes a reading of the platform's list: adds members, forgets dead ones that it no
  ///        longer holds, and makes leaving marks. Linear in the list's length.
  void AdoptList(const std::vector<platform::ListedInstance>& aList, core::MonotonicTime aNow);

  /// @brief Adds a member whose name is not known yet, to begin to talk to.
  /// @return the first message to it
  Datagram Greet(const net::Address& aAddress);

  /// @brief Takes marks from a peer that was asked for them.
  void AdoptMarks(const std::vector<LeavingMark>& aMarks);

  /// @brief Does what is due. Constant time but for the expiry of suspicions, which is linear in
  ///        the number of members.
  std::vector<Datagram> Tick(core::MonotonicTime aNow);

  /// @brief Takes a message. Constant time but for a ping request, linear in the zone's members.
  std::vector<Datagram> Receive(const Message& aMessage,
                                const net::Address& aFrom,
                                core::MonotonicTime aNow);

  /// @brief Sets the version of the configuration that messages carry.
  void SetConfiguration(core::ConfigVersion aVersion) { this->configuration = aVersion; }

  /// @brief Tells all live members of the zone of the present version at once. Linear.
  std::vector<Datagram> Announce();

  /// @brief Tells some members that this instance goes. Constant time.
  std::vector<Datagram> Leave();

  /// @brief Gives what is known of all members but this one, in the order of their names. Linear.
  std::vector<MemberRecord> Members() const;

  /// @brief Gives the names of the zone's members that are not dead, this one included. Linear.
  std::vector<core::InstanceId> LiveInZone() const;

  /// @brief Tells whether an instance is known to be dead. Logarithmic.
  bool IsDead(const core::InstanceId& aInstance) const;

  /// @brief Gives the leaving marks.
  const LeavingMarks& Marks() const { return this->marks; }

  /// @brief Gives this instance's record.
  const MemberRecord& Self() const { return this->options.self; }

  /// @brief Gives a number that grows whenever a state or a mark changes.
  std::uint64_t Changes() const { return this->changes; }

private:
  struct Member
  {
    MemberRecord record;
    core::MonotonicTime suspectedAt;
    bool listed = false;
  };
  struct Probe
  {
    core::InstanceId target;
    core::MonotonicTime startedAt;
    bool asked = false;
  };
  struct Relayed
  {
    net::Address origin;
    std::uint64_t sequence = 0;
    core::MonotonicTime startedAt;
  };
  struct News
  {
    /// @brief How often it is still sent.
    unsigned remaining = 0;
    bool isMark = false;
  };

  void ShiftAfterPause(core::MonotonicTime aNow);
  void CheckProbes(std::vector<Datagram>& aOut, core::MonotonicTime aNow);
  void ExpireSuspicions(core::MonotonicTime aNow);
  void StartProbes(std::vector<Datagram>& aOut, core::MonotonicTime aNow);
  void ProbeDead(std::vector<Datagram>& aOut);
  void Relay(std::vector<Datagram>& aOut);
  void AskOthers(std::vector<Datagram>& aOut, std::uint64_t aSequence, const Probe& aProbe);
  void Merge(const MemberRecord& aRecord, core::MonotonicTime aNow);
  void Refute(const MemberRecord& aRecord);
  void Change(Member& aMember, const MemberRecord& aRecord, core::MonotonicTime aNow);
  void Spread(const std::string& aName, bool aIsMark);
  void TakeMark(const LeavingMark& aMark);
  Message MakeMessage(MessageKind aKind, std::uint64_t aSequence);
  Datagram Ping(const Member& aMember, std::uint64_t aSequence);
  void AddNews(Message& aMessage);
  void AddRecord(Message& aMessage, const core::InstanceId& aInstance) const;
  void AddZoneNews(Message& aMessage);
  std::optional<core::InstanceId> NextToProbe();
  std::vector<const Member*> RandomLive(std::size_t aCount, const core::InstanceId& aExcluded);
  bool IsNeighbour(const Member& aMember) const;
  unsigned Repetitions() const;

  MembershipOptions options;
  core::RandomSource random;
  std::map<core::InstanceId, Member> members;
  LeavingMarks marks;
  std::map<std::string, News> news;
  std::map<std::uint64_t, Probe> probes;
  std::map<std::uint64_t, Relayed> relayed;
  std::vector<core::InstanceId> order;
  core::ConfigVersion configuration;
  std::uint64_t nextSequence = 1;
  std::uint64_t rounds = 0;
  std::uint64_t relayRounds = 0;
  std::uint64_t changes = 0;
  core::MonotonicTime lastTick;
  core::MonotonicTime nextProbe;
  core::MonotonicTime nextRelay;
};

/// @brief Picks instances by rendezvous hashing, so that all who know the same members agree.
/// @param aMembers  the candidates
/// @param aPurpose  what they are picked for; other purposes pick others
/// @param aCount  how many
/// @return the picked ones, best first; n log n in the number of candidates; no errors
std::vector<core::InstanceId>
PickByRendezvous(const std::vector<core::InstanceId>& aMembers,
                 const std::string& aPurpose,
                 std::size_t aCount);

} // namespace plantainslip::membership
