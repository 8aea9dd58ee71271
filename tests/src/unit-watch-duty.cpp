#include <doctest/doctest.h>

#include <map>

#include <rapidcheck.h>

#include <plantainslip/serving/replica.hpp>
#include <plantainslip/serving/watch_duty.hpp>

using namespace plantainslip;          // NOLINT(google-build-using-namespace)
using namespace plantainslip::serving; // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

const core::MonotonicTime kNow = core::MonotonicTime(1h);

StorePosition
At(std::uint64_t aRevision, std::uint64_t aEra = 1)
{
  return { StoreEra(aEra), core::Revision(aRevision) };
}

PeerState
Peer(const std::string& aId, const std::string& aZone, double aLinkMbps = 10.0)
{
  PeerState peer;
  peer.id = core::InstanceId(aId);
  peer.zone = core::ZoneId(aZone);
  peer.linkMbps = aLinkMbps;
  peer.lastMessageAt = kNow;
  peer.confirmedAt = kNow - 500ms;
  peer.configState = { At(7), ContentDigest(70) };
  peer.targetsState = { At(9), ContentDigest(90) };
  return peer;
}

StoreItem
Item(const std::string& aKey,
     std::uint64_t aRevision,
     bool aRemoved = false,
     std::uint64_t aEra = 1)
{
  StoreItem item;
  item.key = aKey;
  item.value = aRemoved ? "" : "value of " + std::to_string(aRevision);
  item.position = At(aRevision, aEra);
  item.removed = aRemoved;
  return item;
}

// Updates a reader's keys and values with changes.
void
ApplyChanges(std::map<std::string, std::string>& aKnown, const ReplicaChanges& aChanges)
{
  if (aChanges.isSnapshot) {
    aKnown.clear();
  }
  for (const StoreItem& item : aChanges.changes.items) {
    if (item.removed) {
      aKnown.erase(item.key);
    } else {
      aKnown[item.key] = item.value;
    }
  }
}

} // namespace

TEST_CASE("the number of watchers grows with the zones, not with the instances")
{
  for (const int size : { 1, 2, 9, 81, 410 }) {
    std::vector<PeerState> fleet;
    fleet.reserve(static_cast<std::size_t>(size));
    for (int index = 0; index < size; ++index) {
      fleet.push_back(Peer("i-" + std::to_string(index), "z-" + std::to_string(index % 3)));
    }
    std::size_t watching = 0;
    std::size_t reportedWatchers = 0;
    for (std::size_t self = 0; self < fleet.size(); ++self) {
      std::vector<PeerState> others = fleet;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(self));
      const WatchDuty duty = DecideWatchDuty(fleet[self], others, kNow);
      watching += duty.isWatcher ? 1U : 0U;
      reportedWatchers = duty.watcherCount;
    }
    CHECK(watching <= 3 * kWatchersPerZone);
    CHECK(watching == std::min<std::size_t>(fleet.size(), 3 * kWatchersPerZone));
    CHECK(reportedWatchers == watching);
  }
}

TEST_CASE("watching the store")
{
  const PeerState self = Peer("m", "a");
  std::vector<PeerState> peers = { Peer("b", "a"), Peer("c", "a"), Peer("z", "a") };
  SUBCASE("is left to peers that rank before the instance")
  {
    CHECK_FALSE(DecideWatchDuty(self, peers, kNow).isWatcher);
  }
  SUBCASE("is taken over from a peer that no longer sends messages")
  {
    peers[0].lastMessageAt = kNow - kPeerLivenessTimeout - 1ms;
    CHECK(DecideWatchDuty(self, peers, kNow).isWatcher);
  }
  SUBCASE("is not left to a peer that has just started and has not read the store yet")
  {
    peers[0].targetsState = {};
    CHECK(DecideWatchDuty(self, peers, kNow).isWatcher);
  }
  SUBCASE("is not left to peers of another zone, which may be cut off")
  {
    peers[0].zone = core::ZoneId("b");
    CHECK(DecideWatchDuty(self, peers, kNow).isWatcher);
  }
  SUBCASE("is done by the instances with the highest bandwidth")
  {
    PeerState wide = self;
    wide.linkMbps = 200.0;
    CHECK(DecideWatchDuty(wide, peers, kNow).isWatcher);
  }
  SUBCASE("is done by an instance whose revisions have not been confirmed recently")
  {
    PeerState unconfirmed = self;
    unconfirmed.confirmedAt = kNow - kConfirmationTimeout - 1ms;
    CHECK(DecideWatchDuty(unconfirmed, peers, kNow).isWatcher);
  }
}

TEST_CASE("a confirmation by the store to a peer")
{
  PeerState self = Peer("m", "a");
  self.confirmedAt = kNow - 2s;
  std::vector<PeerState> peers = { Peer("b", "a") };
  SUBCASE("is valid for an instance with the same revisions")
  {
    CHECK(LatestPeerConfirmation(self, peers, kNow) == peers[0].confirmedAt);
  }
  SUBCASE("is ignored by an instance that lacks a newer configuration or target revision")
  {
    peers[0].configState = { At(8), ContentDigest(80) };
    CHECK(LatestPeerConfirmation(self, peers, kNow) == self.confirmedAt);
    peers[0].configState = self.configState;
    peers[0].targetsState = { At(10), ContentDigest(100) };
    CHECK(LatestPeerConfirmation(self, peers, kNow) == self.confirmedAt);
  }
  SUBCASE("is valid for an instance that knows the same although the store's revision has grown")
  {
    peers[0].configState.upTo = At(20);
    peers[0].targetsState.upTo = At(20);
    CHECK(LatestPeerConfirmation(self, peers, kNow) == peers[0].confirmedAt);
  }
  SUBCASE("is ignored when the peer no longer sends messages")
  {
    peers[0].lastMessageAt = kNow - kPeerLivenessTimeout - 1ms;
    CHECK(LatestPeerConfirmation(self, peers, kNow) == self.confirmedAt);
  }
}

TEST_CASE("a replica returns the changes that a reader is missing")
{
  Replica replica;
  replica.Apply({ { Item("a", 3), Item("b", 5) }, At(6) }, true);
  SUBCASE("only changes after the reader's revision")
  {
    replica.Apply({ { Item("c", 8) }, At(8) }, false);
    const ReplicaChanges changes = replica.ChangesAfter(At(6));
    CHECK_FALSE(changes.isSnapshot);
    REQUIRE(changes.changes.items.size() == 1);
    CHECK(changes.changes.items.front().key == "c");
    CHECK(changes.changes.upTo == At(8));
  }
  SUBCASE("including removals")
  {
    replica.Apply({ { Item("a", 8, true) }, At(8) }, false);
    const ReplicaChanges changes = replica.ChangesAfter(At(6));
    REQUIRE(changes.changes.items.size() == 1);
    CHECK(changes.changes.items.front().removed);
  }
  SUBCASE("including the removal of keys that are missing from a later full list")
  {
    replica.Apply({ { Item("b", 5) }, At(9) }, true);
    const ReplicaChanges changes = replica.ChangesAfter(At(6));
    REQUIRE(changes.changes.items.size() == 1);
    CHECK(changes.changes.items.front().key == "a");
    CHECK(changes.changes.items.front().removed);
  }
  SUBCASE("a full list for a reader whose revision is older than the first list")
  {
    const ReplicaChanges changes = replica.ChangesAfter(At(4));
    CHECK(changes.isSnapshot);
    CHECK(changes.changes.items.size() == 2);
  }
  SUBCASE("without changes that a later full list has superseded")
  {
    replica.Apply({ { Item("b", 5) }, At(9) }, true);
    StoreItems late{ { Item("c", 7), Item("a", 8), Item("d", 10) }, At(10) };
    replica.DropKnown(late);
    REQUIRE(late.items.size() == 1);
    CHECK(late.items.front().key == "d");
  }
  SUBCASE("without removals by an older full list that arrives late")
  {
    replica.Apply({ { Item("c", 8) }, At(8) }, false);
    replica.Apply({ { Item("a", 3) }, At(7) }, true);
    CHECK(replica.ChangesAfter(At(0)).changes.items.size() == 3);
  }
}

// Guards against a reader that keeps a key which the replica has never seen, as it was written and
// removed between the replica's last change and a later full list.
TEST_CASE("a replica that has read a full list again knows no removals before it")
{
  Replica replica;
  replica.Apply({ { Item("a", 3) }, At(6) }, true);
  replica.Apply({ { Item("a", 3) }, At(10) }, true);
  Replica reader;
  reader.Apply({ { Item("a", 3), Item("k", 8) }, At(8) }, true);
  const ReplicaChanges changes = replica.ChangesAfter(reader.UpTo());
  reader.Apply(changes.changes, changes.isSnapshot);
  CHECK(reader.State() == replica.State());
}

TEST_CASE("after the store comes back from a copy, revisions that are given out again are new")
{
  Replica replica;
  replica.Apply({ { Item("a", 3), Item("b", 8) }, At(9) }, true);
  SUBCASE("a full list of the new era replaces the copy, although its revision is lower")
  {
    CHECK(replica.Apply({ { Item("a", 3, false, 2) }, At(5, 2) }, true));
    CHECK(replica.UpTo() == At(5, 2));
    CHECK(replica.Apply({ { Item("b", 8, false, 2) }, At(8, 2) }, false));
    const ReplicaChanges changes = replica.ChangesAfter(At(5, 2));
    CHECK_FALSE(changes.isSnapshot);
    REQUIRE(changes.changes.items.size() == 1);
    CHECK(changes.changes.items.front().key == "b");
  }
  SUBCASE("a reader of the earlier era gets a full list, whatever its revision")
  {
    replica.Apply({ { Item("a", 3, false, 2) }, At(5, 2) }, true);
    for (const std::uint64_t revision : { 2U, 5U, 9U, 50U }) {
      const ReplicaChanges changes = replica.ChangesAfter(At(revision));
      CHECK(changes.isSnapshot);
      CHECK(changes.changes.items.size() == 1);
    }
  }
  SUBCASE("changes of another era are applied only after its full list")
  {
    CHECK_FALSE(replica.Apply({ { Item("a", 10, false, 2) }, At(10, 2) }, false));
    replica.Apply({ { Item("a", 3, false, 2) }, At(5, 2) }, true);
    CHECK_FALSE(replica.Apply({ { Item("b", 10) }, At(10) }, false));
    CHECK_FALSE(replica.Apply({ { Item("b", 10) }, At(10) }, true));
    CHECK(replica.ChangesAfter({}).changes.items.size() == 1);
  }
}

TEST_CASE("fencing tokens grow with every holder, also after the store comes back from a copy")
{
  CHECK(FencingTokenAt(At(8)) < FencingTokenAt(At(9)));
  CHECK(FencingTokenAt(At(1'000'000'000)) < FencingTokenAt(At(5, 2)));
}

TEST_CASE("a reader that applies a replica's changes has the same keys and values as the store")
{
  rc::check([](const std::vector<std::pair<std::uint8_t, bool>>& aChanges, std::uint8_t aReadAt) {
    Replica replica;
    replica.Apply({ {}, At(1) }, true);
    std::map<std::string, std::string> stored;
    std::map<std::string, std::string> known;
    StorePosition readUpTo;
    std::uint64_t revision = 1;
    for (const auto& [key, removed] : aChanges) {
      const StoreItem item = Item(std::to_string(key % 4), ++revision, removed);
      replica.Apply({ { item }, At(revision) }, false);
      if (removed) {
        stored.erase(item.key);
      } else {
        stored[item.key] = item.value;
      }
      if (revision % (1U + aReadAt % 5U) == 0) {
        const ReplicaChanges changes = replica.ChangesAfter(readUpTo);
        ApplyChanges(known, changes);
        readUpTo = changes.changes.upTo;
        RC_ASSERT(known == stored);
      }
    }
  });
}

TEST_CASE("changes survive encoding and decoding")
{
  ReplicaChanges changes;
  changes.changes = { { Item("op/x", 3), Item("gone", 4, true) }, At(4) };
  changes.changes.items.front().value = std::string("\0\xff raw", 6);
  const auto read = DecodeChanges(EncodeChanges(changes));
  REQUIRE(read.ok());
  CHECK(read->changes.upTo == At(4));
  REQUIRE(read->changes.items.size() == 2);
  CHECK(read->changes.items[0].value == changes.changes.items[0].value);
  CHECK(read->changes.items[1].removed);
  CHECK_FALSE(DecodeChanges("not an encoding").ok());
}
