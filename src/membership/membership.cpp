#include <plantainslip/membership/membership.hpp>

#include <algorithm>
#include <bit>

#include <xxhash.h>

namespace plantainslip::membership {

namespace {

// Number of randomly picked members that receive the ping requests of a probe, or the announcement
// that this instance leaves.
constexpr std::size_t kRandomMemberCount = 3;
// Max numbers of member records and of marks per message, from the gossip queue and, in messages to
// another zone, again as many from the zone's state.
constexpr std::size_t kMaxUpdates = 6;
constexpr std::size_t kMaxMarks = 6;
// Number of probe rounds from one ping of a dead member to the next.
constexpr std::uint64_t kDeadProbePeriod = 4;
// Each gossip item is sent this many times the logarithm of the number of members.
constexpr unsigned kTransmissionFactor = 3;
constexpr std::size_t kMaxMembers = 4096;
constexpr std::chrono::seconds kRelayedProbeTtl{ 2 };
// A gap of more tick intervals means that this process was paused.
constexpr int kPauseTicks = 6;

} // namespace

Membership::Membership(MembershipOptions aOptions, std::uint64_t aSeed, core::MonotonicTime aNow)
  : options(std::move(aOptions))
  , random(aSeed)
  , lastTick(aNow)
  , nextProbe(aNow)
  , nextZoneGossip(aNow)
{
}

void
Membership::UpdateFromList(const std::vector<platform::ListedInstance>& aList,
                           core::MonotonicTime aNow)
{
  for (auto& [instance, member] : this->members) {
    member.listed = false;
  }
  for (const platform::ListedInstance& listed : aList) {
    const core::InstanceId instance(listed.name);
    const bool reachable =
      listed.kind == platform::ListedKind::kEntry && listed.peerAddress.port != 0;
    if (!reachable || instance == this->options.self.instance) {
      continue;
    }
    Member& member = this->members[instance];
    member.listed = true;
    if (member.record.instance.Empty()) {
      member.record = { instance, listed.zone, listed.peerAddress, {}, MemberState::kAlive };
      ++this->changeCount;
    }
  }
  // For members in other zones the list is more reliable than gossip, so they are removed as soon
  // as they are no longer listed.
  std::erase_if(this->members, [&](const auto& aItem) {
    const bool isDead = aItem.second.record.state == MemberState::kDead;
    return !aItem.second.listed && (isDead || !this->IsInOwnZone(aItem.second));
  });
  for (const LeavingMark& mark : this->marks.ApplyList(aList, aNow)) {
    this->QueueGossip(mark.name, true);
  }
}

Datagram
Membership::MakeJoinMessage(const net::Address& aAddress)
{
  return { aAddress, this->MakeMessage(MessageKind::kAnnounce, 0) };
}

void
Membership::MergeMarks(const std::vector<LeavingMark>& aMarks)
{
  for (const LeavingMark& mark : aMarks) {
    this->MergeMark(mark);
  }
}

std::vector<Datagram>
Membership::Tick(core::MonotonicTime aNow)
{
  std::vector<Datagram> out;
  this->DiscountPause(aNow);
  this->lastTick = aNow;
  this->CheckProbes(out, aNow);
  this->ExpireSuspicions(aNow);
  if (aNow >= this->nextProbe) {
    this->nextProbe = aNow + this->options.probeInterval;
    this->StartProbes(out, aNow);
  }
  if (aNow >= this->nextZoneGossip) {
    this->nextZoneGossip = aNow + this->options.relayInterval;
    this->GossipToOtherZone(out);
  }
  return out;
}

// Time in which this process was paused must not count as missing acks of other members.
void
Membership::DiscountPause(core::MonotonicTime aNow)
{
  const auto gap = aNow - this->lastTick;
  if (gap <= this->options.tickInterval * kPauseTicks) {
    return;
  }
  this->pendingProbes.clear();
  for (auto& [instance, member] : this->members) {
    member.suspectedAt += gap;
  }
}

void
Membership::CheckProbes(std::vector<Datagram>& aOut, core::MonotonicTime aNow)
{
  for (auto at = this->pendingProbes.begin(); at != this->pendingProbes.end();) {
    PendingProbe& probe = at->second;
    const auto age = aNow - probe.startedAt;
    if (age >= this->options.probeTimeout) {
      const auto found = this->members.find(probe.target);
      if (found != this->members.end() && found->second.record.state == MemberState::kAlive) {
        MemberRecord suspected = found->second.record;
        suspected.state = MemberState::kSuspect;
        this->UpdateMember(found->second, suspected, aNow);
      }
      at = this->pendingProbes.erase(at);
      continue;
    }
    if (age >= this->options.directTimeout && !probe.pingRequestsSent) {
      probe.pingRequestsSent = true;
      this->SendPingRequests(aOut, at->first, probe);
    }
    ++at;
  }
  std::erase_if(this->relayedProbes, [&](const auto& aItem) {
    return aNow - aItem.second.startedAt > kRelayedProbeTtl;
  });
}

void
Membership::SendPingRequests(std::vector<Datagram>& aOut,
                             std::uint64_t aSequence,
                             const PendingProbe& aProbe)
{
  const auto target = this->members.find(aProbe.target);
  if (target == this->members.end()) {
    return;
  }
  // The first ping may have been lost, so it is repeated in addition to the ping requests.
  aOut.push_back(this->MakePing(target->second, aSequence));
  for (const Member* helper : this->PickRandomAlive(kRandomMemberCount, aProbe.target)) {
    Message message = this->MakeMessage(MessageKind::kPingRequest, aSequence);
    message.subject = aProbe.target;
    message.subjectAddress = target->second.record.address;
    aOut.push_back({ helper->record.address, std::move(message) });
  }
}

void
Membership::ExpireSuspicions(core::MonotonicTime aNow)
{
  for (auto& [instance, member] : this->members) {
    const bool expired = member.record.state == MemberState::kSuspect &&
                         aNow - member.suspectedAt >= this->options.suspicionTimeout;
    if (expired && this->IsInOwnZone(member)) {
      MemberRecord dead = member.record;
      dead.state = MemberState::kDead;
      this->UpdateMember(member, dead, aNow);
    }
  }
}

void
Membership::StartProbes(std::vector<Datagram>& aOut, core::MonotonicTime aNow)
{
  ++this->probeRounds;
  if (const auto target = this->NextProbeTarget(); target.has_value()) {
    const std::uint64_t sequence = this->nextSequence++;
    this->pendingProbes[sequence] = { *target, aNow, false };
    aOut.push_back(this->MakePing(this->members.at(*target), sequence));
  }
  // Suspected members are pinged in every round. The ping carries the suspicion, so that a live
  // member can refute it in time.
  for (const auto& [instance, member] : this->members) {
    if (member.record.state == MemberState::kSuspect && this->IsInOwnZone(member)) {
      aOut.push_back(this->MakePing(member, this->nextSequence++));
    }
  }
  if (this->probeRounds % kDeadProbePeriod == 0) {
    this->ProbeDead(aOut);
  }
}

// A member that returns after a network partition learns from this ping that it was declared dead.
void
Membership::ProbeDead(std::vector<Datagram>& aOut)
{
  std::vector<const Member*> dead;
  for (const auto& [instance, member] : this->members) {
    if (member.record.state == MemberState::kDead && this->IsInOwnZone(member)) {
      dead.push_back(&member);
    }
  }
  if (!dead.empty()) {
    aOut.push_back(this->MakePing(*dead[this->random.Below(dead.size())], this->nextSequence++));
  }
}

void
Membership::GossipToOtherZone(std::vector<Datagram>& aOut)
{
  const auto relays = PickByRendezvous(this->LiveInZone(), "relay", kRelaysPerZone);
  if (std::find(relays.begin(), relays.end(), this->options.self.instance) == relays.end()) {
    return;
  }
  std::map<core::ZoneId, std::vector<core::InstanceId>> others;
  for (const auto& [instance, member] : this->members) {
    if (!this->IsInOwnZone(member) && member.record.state != MemberState::kDead) {
      others[member.record.zone].push_back(instance);
    }
  }
  if (others.empty()) {
    return;
  }
  auto zone = others.begin();
  std::advance(zone, static_cast<std::ptrdiff_t>(this->zoneGossipRounds++ % others.size()));
  const std::vector<core::InstanceId>& candidates = zone->second;
  const Member& member = this->members.at(candidates[this->random.Below(candidates.size())]);
  Datagram datagram = this->MakePing(member, this->nextSequence++);
  this->AddZoneGossip(datagram.message);
  aOut.push_back(std::move(datagram));
}

std::vector<Datagram>
Membership::Receive(const Message& aMessage, const net::Address& aFrom, core::MonotonicTime aNow)
{
  std::vector<Datagram> out;
  if (aMessage.sender.instance == this->options.self.instance) {
    return out;
  }
  this->MergeRecord(aMessage.sender, aNow);
  for (const MemberRecord& record : aMessage.updates) {
    this->MergeRecord(record, aNow);
  }
  this->MergeMarks(aMessage.marks);
  switch (aMessage.kind) {
    case MessageKind::kPing:
      if (aMessage.subject == this->options.self.instance) {
        Message ack = this->MakeMessage(MessageKind::kAck, aMessage.sequence);
        if (aMessage.sender.zone != this->options.self.zone) {
          this->AddZoneGossip(ack);
        }
        out.push_back({ aFrom, std::move(ack) });
      }
      break;
    case MessageKind::kAck:
      this->pendingProbes.erase(aMessage.sequence);
      if (const auto found = this->relayedProbes.find(aMessage.sequence);
          found != this->relayedProbes.end()) {
        Message ack = this->MakeMessage(MessageKind::kAck, found->second.sequence);
        this->AddRecord(ack, aMessage.sender.instance);
        out.push_back({ found->second.origin, std::move(ack) });
        this->relayedProbes.erase(found);
      }
      break;
    case MessageKind::kPingRequest: {
      const std::uint64_t sequence = this->nextSequence++;
      this->relayedProbes[sequence] = { aFrom, aMessage.sequence, aNow };
      Message ping = this->MakeMessage(MessageKind::kPing, sequence);
      ping.subject = aMessage.subject;
      this->AddRecord(ping, aMessage.subject);
      out.push_back({ aMessage.subjectAddress, std::move(ping) });
      break;
    }
    case MessageKind::kAnnounce:
      break;
  }
  return out;
}

std::vector<Datagram>
Membership::MakeAnnouncements()
{
  std::vector<Datagram> out;
  for (const auto& [instance, member] : this->members) {
    if (this->IsInOwnZone(member) && member.record.state != MemberState::kDead) {
      out.push_back({ member.record.address, this->MakeMessage(MessageKind::kAnnounce, 0) });
    }
  }
  return out;
}

std::vector<Datagram>
Membership::Leave()
{
  std::vector<Datagram> out;
  this->options.self.state = MemberState::kDead;
  for (const Member* member : this->PickRandomAlive(kRandomMemberCount, {})) {
    out.push_back({ member->record.address, this->MakeMessage(MessageKind::kAnnounce, 0) });
  }
  return out;
}

void
Membership::MergeRecord(const MemberRecord& aRecord, core::MonotonicTime aNow)
{
  if (aRecord.instance == this->options.self.instance) {
    this->Refute(aRecord);
    return;
  }
  const auto found = this->members.find(aRecord.instance);
  if (found == this->members.end()) {
    const bool addable = aRecord.state != MemberState::kDead && aRecord.address.port != 0;
    if (addable && this->members.size() < kMaxMembers) {
      this->UpdateMember(this->members[aRecord.instance], aRecord, aNow);
    }
    return;
  }
  const MemberRecord& known = found->second.record;
  const bool newer = aRecord.incarnation > known.incarnation;
  const bool worse = aRecord.incarnation == known.incarnation && aRecord.state > known.state;
  if (newer || worse) {
    this->UpdateMember(found->second, aRecord, aNow);
  }
}

void
Membership::Refute(const MemberRecord& aRecord)
{
  MemberRecord& self = this->options.self;
  const bool needsRefutation = aRecord.state != MemberState::kAlive &&
                               aRecord.incarnation >= self.incarnation &&
                               self.state == MemberState::kAlive;
  if (needsRefutation) {
    self.incarnation = aRecord.incarnation.Next();
    this->QueueGossip(self.instance.Text(), false);
  }
}

void
Membership::UpdateMember(Member& aMember, const MemberRecord& aRecord, core::MonotonicTime aNow)
{
  if (aRecord.state != aMember.record.state || aMember.record.instance.Empty()) {
    ++this->changeCount;
    aMember.suspectedAt = aNow;
  }
  aMember.record = aRecord;
  this->QueueGossip(aRecord.instance.Text(), false);
}

void
Membership::MergeMark(const LeavingMark& aMark)
{
  if (this->marks.Merge(aMark)) {
    this->QueueGossip(aMark.name, true);
  }
}

void
Membership::QueueGossip(const std::string& aName, bool aIsMark)
{
  this->changeCount += aIsMark ? 1 : 0;
  this->gossipQueue[(aIsMark ? "mark/" : "member/") + aName] = { this->TransmissionLimit(),
                                                                 aIsMark };
}

unsigned
Membership::TransmissionLimit() const
{
  return kTransmissionFactor * static_cast<unsigned>(std::bit_width(this->members.size() + 1));
}

Message
Membership::MakeMessage(MessageKind aKind, std::uint64_t aSequence)
{
  Message message;
  message.kind = aKind;
  message.sequence = aSequence;
  message.sender = this->options.self;
  message.configuration = this->configuration;
  this->AddQueuedGossip(message);
  return message;
}

Datagram
Membership::MakePing(const Member& aMember, std::uint64_t aSequence)
{
  Message message = this->MakeMessage(MessageKind::kPing, aSequence);
  message.subject = aMember.record.instance;
  if (aMember.record.state != MemberState::kAlive) {
    this->AddRecord(message, aMember.record.instance);
  }
  return { aMember.record.address, std::move(message) };
}

void
Membership::AddRecord(Message& aMessage, const core::InstanceId& aInstance) const
{
  if (const auto found = this->members.find(aInstance); found != this->members.end()) {
    aMessage.updates.push_back(found->second.record);
  }
}

// Adds the items with the most remaining transmissions first, so that new items take precedence
// over those that most members already know.
void
Membership::AddQueuedGossip(Message& aMessage)
{
  std::vector<std::map<std::string, GossipItem>::iterator> pending;
  for (auto at = this->gossipQueue.begin(); at != this->gossipQueue.end(); ++at) {
    pending.push_back(at);
  }
  std::stable_sort(pending.begin(), pending.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft->second.remaining > aRight->second.remaining;
  });
  const std::vector<LeavingMark> allMarks =
    pending.empty() ? std::vector<LeavingMark>() : this->marks.All();
  for (const auto& at : pending) {
    const std::string name = at->first.substr(at->first.find('/') + 1);
    if (at->second.isMark && aMessage.marks.size() < kMaxMarks) {
      const auto mark = std::find_if(
        allMarks.begin(), allMarks.end(), [&](const auto& aMark) { return aMark.name == name; });
      aMessage.marks.push_back(*mark);
    } else if (!at->second.isMark && aMessage.updates.size() < kMaxUpdates) {
      this->AddRecord(aMessage, core::InstanceId(name));
    } else {
      continue;
    }
    if (--at->second.remaining == 0) {
      this->gossipQueue.erase(at);
    }
  }
}

// Adds random members of this zone and random marks, for a message to another zone.
void
Membership::AddZoneGossip(Message& aMessage)
{
  std::vector<const Member*> zone;
  for (const auto& [instance, member] : this->members) {
    if (this->IsInOwnZone(member) && member.record.incarnation != Incarnation()) {
      zone.push_back(&member);
    }
  }
  for (std::size_t count = 0; count < std::min(kMaxUpdates, zone.size()); ++count) {
    aMessage.updates.push_back(zone[this->random.Below(zone.size())]->record);
  }
  const std::vector<LeavingMark> all = this->marks.All();
  for (std::size_t count = 0; count < std::min(kMaxMarks, all.size()); ++count) {
    aMessage.marks.push_back(all[this->random.Below(all.size())]);
  }
}

std::optional<core::InstanceId>
Membership::NextProbeTarget()
{
  const auto isProbeable = [&](const core::InstanceId& aInstance) {
    const auto found = this->members.find(aInstance);
    return found != this->members.end() && this->IsInOwnZone(found->second) &&
           found->second.record.state == MemberState::kAlive;
  };
  for (int pass = 0; pass < 2; ++pass) {
    while (!this->probeOrder.empty()) {
      const core::InstanceId next = this->probeOrder.back();
      this->probeOrder.pop_back();
      if (isProbeable(next)) {
        return next;
      }
    }
    // Every member is probed once per pass, in a new random order, which bounds the detection time.
    for (const auto& [instance, member] : this->members) {
      this->probeOrder.push_back(instance);
      std::swap(this->probeOrder.back(),
                this->probeOrder[this->random.Below(this->probeOrder.size())]);
    }
  }
  return std::nullopt;
}

std::vector<const Membership::Member*>
Membership::PickRandomAlive(std::size_t aCount, const core::InstanceId& aExcluded)
{
  std::vector<const Member*> live;
  for (const auto& [instance, member] : this->members) {
    if (this->IsInOwnZone(member) && member.record.state == MemberState::kAlive &&
        instance != aExcluded) {
      live.push_back(&member);
    }
  }
  std::vector<const Member*> chosen;
  while (chosen.size() < aCount && !live.empty()) {
    std::swap(live[this->random.Below(live.size())], live.back());
    chosen.push_back(live.back());
    live.pop_back();
  }
  return chosen;
}

bool
Membership::IsInOwnZone(const Member& aMember) const
{
  return aMember.record.zone == this->options.self.zone;
}

std::vector<MemberRecord>
Membership::Members() const
{
  std::vector<MemberRecord> records;
  for (const auto& [instance, member] : this->members) {
    records.push_back(member.record);
  }
  return records;
}

std::vector<core::InstanceId>
Membership::LiveInZone() const
{
  std::vector<core::InstanceId> live = { this->options.self.instance };
  for (const auto& [instance, member] : this->members) {
    if (this->IsInOwnZone(member) && member.record.state != MemberState::kDead) {
      live.push_back(instance);
    }
  }
  return live;
}

bool
Membership::IsDead(const core::InstanceId& aInstance) const
{
  const auto found = this->members.find(aInstance);
  return found != this->members.end() && found->second.record.state == MemberState::kDead;
}

std::vector<core::InstanceId>
PickByRendezvous(const std::vector<core::InstanceId>& aMembers,
                 const std::string& aPurpose,
                 std::size_t aCount)
{
  std::vector<std::pair<std::uint64_t, core::InstanceId>> scored;
  for (const core::InstanceId& member : aMembers) {
    const std::string text = aPurpose + "/" + member.Text();
    scored.emplace_back(XXH3_64bits(text.data(), text.size()), member);
  }
  std::sort(scored.rbegin(), scored.rend());
  std::vector<core::InstanceId> picked;
  for (std::size_t at = 0; at < std::min(aCount, scored.size()); ++at) {
    picked.push_back(scored[at].second);
  }
  return picked;
}

} // namespace plantainslip::membership
