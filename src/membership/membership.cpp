#include <plantainslip/membership/membership.hpp>

#include <algorithm>
#include <bit>

#include <xxhash.h>

namespace plantainslip::membership {

namespace {

constexpr std::size_t kIndirectProbes = 3;
constexpr std::size_t kMostUpdates = 6;
constexpr std::size_t kMostMarks = 6;
constexpr std::uint64_t kRoundsBetweenDeadProbes = 4;
constexpr unsigned kRepetitionsFactor = 3;
constexpr std::size_t kMostMembers = 4096;
constexpr std::chrono::seconds kForgetRelayedAfter{ 2 };
constexpr int kLateTicks = 6;

} // namespace

Membership::Membership(MembershipOptions aOptions, std::uint64_t aSeed, core::MonotonicTime aNow)
  : options(std::move(aOptions))
  , random(aSeed)
  , lastTick(aNow)
  , nextProbe(aNow)
  , nextRelay(aNow)
{
}

void
Membership::AdoptList(const std::vector<platform::ListedInstance>& aList, core::MonotonicTime aNow)
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
      ++this->changes;
    }
  }
  // Of other zones the list is the better source, so what it dropped is forgotten at once.
  std::erase_if(this->members, [&](const auto& aItem) {
    const bool gone = aItem.second.record.state == MemberState::kDead;
    return !aItem.second.listed && (gone || !this->IsNeighbour(aItem.second));
  });
  for (const LeavingMark& mark : this->marks.Observe(aList, aNow)) {
    this->Spread(mark.name, true);
  }
}

Datagram
Membership::Greet(const net::Address& aAddress)
{
  return { aAddress, this->MakeMessage(MessageKind::kAnnounce, 0) };
}

void
Membership::AdoptMarks(const std::vector<LeavingMark>& aMarks)
{
  for (const LeavingMark& mark : aMarks) {
    this->TakeMark(mark);
  }
}

std::vector<Datagram>
Membership::Tick(core::MonotonicTime aNow)
{
  std::vector<Datagram> out;
  this->ShiftAfterPause(aNow);
  this->lastTick = aNow;
  this->CheckProbes(out, aNow);
  this->ExpireSuspicions(aNow);
  if (aNow >= this->nextProbe) {
    this->nextProbe = aNow + this->options.probeInterval;
    this->StartProbes(out, aNow);
  }
  if (aNow >= this->nextRelay) {
    this->nextRelay = aNow + this->options.relayInterval;
    this->Relay(out);
  }
  return out;
}

// An instance that stood still must not take its own silence for that of others.
void
Membership::ShiftAfterPause(core::MonotonicTime aNow)
{
  const auto gap = aNow - this->lastTick;
  if (gap <= this->options.tickInterval * kLateTicks) {
    return;
  }
  this->probes.clear();
  for (auto& [instance, member] : this->members) {
    member.suspectedAt += gap;
  }
}

void
Membership::CheckProbes(std::vector<Datagram>& aOut, core::MonotonicTime aNow)
{
  for (auto at = this->probes.begin(); at != this->probes.end();) {
    Probe& probe = at->second;
    const auto age = aNow - probe.startedAt;
    if (age >= this->options.probeTimeout) {
      const auto found = this->members.find(probe.target);
      if (found != this->members.end() && found->second.record.state == MemberState::kAlive) {
        MemberRecord suspected = found->second.record;
        suspected.state = MemberState::kSuspect;
        this->Change(found->second, suspected, aNow);
      }
      at = this->probes.erase(at);
      continue;
    }
    if (age >= this->options.directTimeout && !probe.asked) {
      probe.asked = true;
      this->AskOthers(aOut, at->first, probe);
    }
    ++at;
  }
  std::erase_if(this->relayed, [&](const auto& aItem) {
    return aNow - aItem.second.startedAt > kForgetRelayedAfter;
  });
}

void
Membership::AskOthers(std::vector<Datagram>& aOut, std::uint64_t aSequence, const Probe& aProbe)
{
  const auto target = this->members.find(aProbe.target);
  if (target == this->members.end()) {
    return;
  }
  // The first ping may just have been lost, so it is sent again beside the others' help.
  aOut.push_back(this->Ping(target->second, aSequence));
  for (const Member* helper : this->RandomLive(kIndirectProbes, aProbe.target)) {
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
    if (expired && this->IsNeighbour(member)) {
      MemberRecord dead = member.record;
      dead.state = MemberState::kDead;
      this->Change(member, dead, aNow);
    }
  }
}

void
Membership::StartProbes(std::vector<Datagram>& aOut, core::MonotonicTime aNow)
{
  ++this->rounds;
  if (const auto target = this->NextToProbe(); target.has_value()) {
    const std::uint64_t sequence = this->nextSequence++;
    this->probes[sequence] = { *target, aNow, false };
    aOut.push_back(this->Ping(this->members.at(*target), sequence));
  }
  // A suspected member is told so at once and often, so that a live one can refute in time.
  for (const auto& [instance, member] : this->members) {
    if (member.record.state == MemberState::kSuspect && this->IsNeighbour(member)) {
      aOut.push_back(this->Ping(member, this->nextSequence++));
    }
  }
  if (this->rounds % kRoundsBetweenDeadProbes == 0) {
    this->ProbeDead(aOut);
  }
}

// A member that came back from a cut learns from this ping that it was declared dead.
void
Membership::ProbeDead(std::vector<Datagram>& aOut)
{
  std::vector<const Member*> dead;
  for (const auto& [instance, member] : this->members) {
    if (member.record.state == MemberState::kDead && this->IsNeighbour(member)) {
      dead.push_back(&member);
    }
  }
  if (!dead.empty()) {
    aOut.push_back(this->Ping(*dead[this->random.Below(dead.size())], this->nextSequence++));
  }
}

void
Membership::Relay(std::vector<Datagram>& aOut)
{
  const auto relays = PickByRendezvous(this->LiveInZone(), "relay", kRelaysAZone);
  if (std::find(relays.begin(), relays.end(), this->options.self.instance) == relays.end()) {
    return;
  }
  std::map<core::ZoneId, std::vector<core::InstanceId>> others;
  for (const auto& [instance, member] : this->members) {
    if (!this->IsNeighbour(member) && member.record.state != MemberState::kDead) {
      others[member.record.zone].push_back(instance);
    }
  }
  if (others.empty()) {
    return;
  }
  auto zone = others.begin();
  std::advance(zone, static_cast<std::ptrdiff_t>(this->relayRounds++ % others.size()));
  const std::vector<core::InstanceId>& candidates = zone->second;
  const Member& member = this->members.at(candidates[this->random.Below(candidates.size())]);
  Datagram datagram = this->Ping(member, this->nextSequence++);
  this->AddZoneNews(datagram.message);
  aOut.push_back(std::move(datagram));
}

std::vector<Datagram>
Membership::Receive(const Message& aMessage, const net::Address& aFrom, core::MonotonicTime aNow)
{
  std::vector<Datagram> out;
  if (aMessage.sender.instance == this->options.self.instance) {
    return out;
  }
  this->Merge(aMessage.sender, aNow);
  for (const MemberRecord& record : aMessage.updates) {
    this->Merge(record, aNow);
  }
  this->AdoptMarks(aMessage.marks);
  switch (aMessage.kind) {
    case MessageKind::kPing:
      if (aMessage.subject == this->options.self.instance) {
        Message answer = this->MakeMessage(MessageKind::kAck, aMessage.sequence);
        if (aMessage.sender.zone != this->options.self.zone) {
          this->AddZoneNews(answer);
        }
        out.push_back({ aFrom, std::move(answer) });
      }
      break;
    case MessageKind::kAck:
      this->probes.erase(aMessage.sequence);
      if (const auto found = this->relayed.find(aMessage.sequence); found != this->relayed.end()) {
        Message answer = this->MakeMessage(MessageKind::kAck, found->second.sequence);
        this->AddRecord(answer, aMessage.sender.instance);
        out.push_back({ found->second.origin, std::move(answer) });
        this->relayed.erase(found);
      }
      break;
    case MessageKind::kPingRequest: {
      const std::uint64_t sequence = this->nextSequence++;
      this->relayed[sequence] = { aFrom, aMessage.sequence, aNow };
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
Membership::Announce()
{
  std::vector<Datagram> out;
  for (const auto& [instance, member] : this->members) {
    if (this->IsNeighbour(member) && member.record.state != MemberState::kDead) {
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
  for (const Member* member : this->RandomLive(kIndirectProbes, {})) {
    out.push_back({ member->record.address, this->MakeMessage(MessageKind::kAnnounce, 0) });
  }
  return out;
}

void
Membership::Merge(const MemberRecord& aRecord, core::MonotonicTime aNow)
{
  if (aRecord.instance == this->options.self.instance) {
    this->Refute(aRecord);
    return;
  }
  const auto found = this->members.find(aRecord.instance);
  if (found == this->members.end()) {
    const bool useful = aRecord.state != MemberState::kDead && aRecord.address.port != 0;
    if (useful && this->members.size() < kMostMembers) {
      this->Change(this->members[aRecord.instance], aRecord, aNow);
    }
    return;
  }
  const MemberRecord& known = found->second.record;
  const bool newer = aRecord.incarnation > known.incarnation;
  const bool worse = aRecord.incarnation == known.incarnation && aRecord.state > known.state;
  if (newer || worse) {
    this->Change(found->second, aRecord, aNow);
  }
}

void
Membership::Refute(const MemberRecord& aRecord)
{
  MemberRecord& self = this->options.self;
  const bool accused = aRecord.state != MemberState::kAlive &&
                       aRecord.incarnation >= self.incarnation && self.state == MemberState::kAlive;
  if (accused) {
    self.incarnation = aRecord.incarnation.Next();
    this->Spread(self.instance.Text(), false);
  }
}

void
Membership::Change(Member& aMember, const MemberRecord& aRecord, core::MonotonicTime aNow)
{
  if (aRecord.state != aMember.record.state || aMember.record.instance.Empty()) {
    ++this->changes;
    aMember.suspectedAt = aNow;
  }
  aMember.record = aRecord;
  this->Spread(aRecord.instance.Text(), false);
}

void
Membership::TakeMark(const LeavingMark& aMark)
{
  if (this->marks.Adopt(aMark)) {
    this->Spread(aMark.name, true);
  }
}

void
Membership::Spread(const std::string& aName, bool aIsMark)
{
  this->changes += aIsMark ? 1 : 0;
  this->news[(aIsMark ? "mark/" : "member/") + aName] = { this->Repetitions(), aIsMark };
}

unsigned
Membership::Repetitions() const
{
  return kRepetitionsFactor * static_cast<unsigned>(std::bit_width(this->members.size() + 1));
}

Message
Membership::MakeMessage(MessageKind aKind, std::uint64_t aSequence)
{
  Message message;
  message.kind = aKind;
  message.sequence = aSequence;
  message.sender = this->options.self;
  message.configuration = this->configuration;
  this->AddNews(message);
  return message;
}

Datagram
Membership::Ping(const Member& aMember, std::uint64_t aSequence)
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

// What was sent least goes first, so that fresh news overtakes what most members know.
void
Membership::AddNews(Message& aMessage)
{
  std::vector<std::map<std::string, News>::iterator> waiting;
  for (auto at = this->news.begin(); at != this->news.end(); ++at) {
    waiting.push_back(at);
  }
  std::stable_sort(waiting.begin(), waiting.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft->second.remaining > aRight->second.remaining;
  });
  const std::vector<LeavingMark> allMarks =
    waiting.empty() ? std::vector<LeavingMark>() : this->marks.All();
  for (const auto& at : waiting) {
    const std::string name = at->first.substr(at->first.find('/') + 1);
    if (at->second.isMark && aMessage.marks.size() < kMostMarks) {
      const auto mark = std::find_if(
        allMarks.begin(), allMarks.end(), [&](const auto& aMark) { return aMark.name == name; });
      aMessage.marks.push_back(*mark);
    } else if (!at->second.isMark && aMessage.updates.size() < kMostUpdates) {
      this->AddRecord(aMessage, core::InstanceId(name));
    } else {
      continue;
    }
    if (--at->second.remaining == 0) {
      this->news.erase(at);
    }
  }
}

// Other zones hear of this zone's members and marks in turn, some with each message.
void
Membership::AddZoneNews(Message& aMessage)
{
  std::vector<const Member*> zone;
  for (const auto& [instance, member] : this->members) {
    if (this->IsNeighbour(member) && member.record.incarnation != Incarnation()) {
      zone.push_back(&member);
    }
  }
  for (std::size_t count = 0; count < std::min(kMostUpdates, zone.size()); ++count) {
    aMessage.updates.push_back(zone[this->random.Below(zone.size())]->record);
  }
  const std::vector<LeavingMark> all = this->marks.All();
  for (std::size_t count = 0; count < std::min(kMostMarks, all.size()); ++count) {
    aMessage.marks.push_back(all[this->random.Below(all.size())]);
  }
}

std::optional<core::InstanceId>
Membership::NextToProbe()
{
  const auto mayProbe = [&](const core::InstanceId& aInstance) {
    const auto found = this->members.find(aInstance);
    return found != this->members.end() && this->IsNeighbour(found->second) &&
           found->second.record.state == MemberState::kAlive;
  };
  for (int pass = 0; pass < 2; ++pass) {
    while (!this->order.empty()) {
      const core::InstanceId next = this->order.back();
      this->order.pop_back();
      if (mayProbe(next)) {
        return next;
      }
    }
    // Each round probes every member once in a new order, which bounds the time to detect.
    for (const auto& [instance, member] : this->members) {
      this->order.push_back(instance);
      std::swap(this->order.back(), this->order[this->random.Below(this->order.size())]);
    }
  }
  return std::nullopt;
}

std::vector<const Membership::Member*>
Membership::RandomLive(std::size_t aCount, const core::InstanceId& aExcluded)
{
  std::vector<const Member*> live;
  for (const auto& [instance, member] : this->members) {
    if (this->IsNeighbour(member) && member.record.state == MemberState::kAlive &&
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
Membership::IsNeighbour(const Member& aMember) const
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
    if (this->IsNeighbour(member) && member.record.state != MemberState::kDead) {
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
