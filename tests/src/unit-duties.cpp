#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <vector>

#include <plantainslip/duties/call_rules.hpp>

using namespace plantainslip;
using namespace plantainslip::duties;
using namespace std::chrono_literals;
using serving::Lease;
using serving::LeaseId;
using serving::StoreEra;
using serving::StorePosition;

namespace {

constexpr milliseconds kDuration{ 3'000 };

LeaseRules
StrictRules()
{
  return { kDuration, 700ms, kDuration, true };
}

StorePosition
At(std::uint64_t aEra, std::uint64_t aRevision)
{
  return { StoreEra(aEra), core::Revision(aRevision) };
}

Lease
LeaseOf(std::uint64_t aEra, std::uint64_t aId)
{
  return { StoreEra(aEra), LeaseId(aId) };
}

// The key as the store has it: bound to a lease, gone with it, and gone with its era.
struct ModelStore
{
  std::uint64_t era = 1;
  std::uint64_t revision = 0;
  std::uint64_t nextLease = 1;
  std::map<std::uint64_t, BootTime> leaseEnds;
  std::optional<SeenKey> key;

  Lease Grant(BootTime aNow)
  {
    this->leaseEnds[this->nextLease] = aNow + kDuration;
    return LeaseOf(this->era, this->nextLease++);
  }

  std::optional<SeenKey> Read(BootTime aNow)
  {
    if (this->key.has_value() && (this->key->lease.era != StoreEra(this->era) ||
                                  this->leaseEnds[this->key->lease.id.Number()] <= aNow)) {
      this->key.reset();
    }
    return this->key;
  }

  bool Renew(const Lease& aLease, BootTime aNow)
  {
    BootTime& ends = this->leaseEnds[aLease.id.Number()];
    const bool holds = aLease.era == StoreEra(this->era) && ends > aNow;
    ends = holds ? aNow + kDuration : ends;
    return holds;
  }

  bool Put(const std::string& aValue, const Lease& aLease, core::Revision aExpected, BootTime aNow)
  {
    const auto present = this->Read(aNow);
    const core::Revision found =
      present.has_value() ? present->position.revision : core::Revision(0);
    if (found != aExpected || aLease.era != StoreEra(this->era) ||
        this->leaseEnds[aLease.id.Number()] <= aNow) {
      return false;
    }
    this->key = SeenKey{ aValue, At(this->era, ++this->revision), aLease };
    return true;
  }
};

// One instance over the model store.
struct Member
{
  Member(std::string aName, ModelStore& aStore)
    : name(std::move(aName))
    , state(name, StrictRules())
    , store(aStore)
  {
  }

  void Step(BootTime aNow)
  {
    if (this->isPaused || !this->reachesStore) {
      return;
    }
    if (this->state.HasLapsed(aNow)) {
      this->state.Lose(aNow);
      return;
    }
    this->state.DropLapsedClaim(aNow);
    if (const auto lease = this->state.LeaseToRenew(); lease.has_value()) {
      if (this->store.Renew(*lease, aNow)) {
        this->state.OnRenewed(aNow);
      } else {
        this->state.Lose(aNow);
      }
    } else if (this->state.AwaitsReadBack()) {
      this->state.OnReadBack(this->store.Read(aNow), aNow);
    } else if (this->state.MayClaim(aNow)) {
      this->Claim(aNow);
    }
  }

  void Claim(BootTime aNow)
  {
    const auto expected = this->state.ClaimableRevision(this->store.Read(aNow), aNow);
    if (!expected.has_value()) {
      return;
    }
    const Lease lease = this->store.Grant(aNow);
    this->state.BeginClaim(lease, aNow);
    const bool written = this->store.Put(this->name, lease, *expected, aNow);
    if (this->losesAnswers) {
      this->state.OnClaimUnanswered();
    } else if (written) {
      this->state.OnClaimWritten(this->store.key->position, aNow);
    } else {
      this->state.OnClaimRefused();
    }
  }

  std::string name;
  LeaseState state;
  ModelStore& store;
  bool isPaused = false;
  bool reachesStore = true;
  bool losesAnswers = false;
};

struct SentCall
{
  BootTime at{ 0 };
  std::size_t member = 0;
  std::uint64_t token = 0;
};

// Two instances that step every 100 ms and call whenever they may.
struct Pair
{
  ModelStore store;
  std::array<Member, 2> members{ Member("a", store), Member("b", store) };
  BootTime now{ 1'000'000'000 };
  std::vector<SentCall> calls;

  void Run(milliseconds aTime)
  {
    const BootTime end = this->now + aTime;
    for (; this->now < end; this->now += 100ms) {
      for (std::size_t index = 0; index < this->members.size(); ++index) {
        Member& member = this->members[index];
        if (!member.isPaused && member.state.MayCall(this->now)) {
          this->calls.push_back({ this->now, index, member.state.Token().Number() });
        }
        member.Step(this->now);
      }
    }
  }

  // Rules for calls where the platform checks nothing.
  void Check() const
  {
    for (std::size_t index = 1; index < this->calls.size(); ++index) {
      const SentCall& before = this->calls[index - 1];
      const SentCall& call = this->calls[index];
      CHECK(call.token >= before.token);
      CHECK((call.token != before.token || call.member == before.member));
      if (call.member != before.member) {
        CHECK(call.at - before.at >= kDuration);
      }
    }
  }

  bool Called(std::size_t aMember, BootTime aSince) const
  {
    return std::any_of(this->calls.begin(), this->calls.end(), [&](const SentCall& aCall) {
      return aCall.member == aMember && aCall.at >= aSince;
    });
  }
};

} // namespace

TEST_CASE("lease: two instances race, one calls, and not before one duration has passed")
{
  Pair pair;
  const BootTime start = pair.now;
  pair.Run(10s);
  REQUIRE(!pair.calls.empty());
  CHECK(pair.calls.front().at - start >= kDuration);
  CHECK_FALSE(pair.Called(1, start));
  pair.Check();
}

TEST_CASE("lease: a paused holder that resumes sends nothing with its old lease")
{
  Pair pair;
  pair.Run(8s);
  pair.members[0].isPaused = true;
  pair.Run(12s);
  const BootTime resumed = pair.now;
  CHECK(pair.Called(1, resumed - 3s));
  pair.members[0].isPaused = false;
  pair.Run(10s);
  CHECK_FALSE(pair.Called(0, resumed));
  pair.Check();
}

TEST_CASE("lease: a holder cut off from the store stops before its lease ends, another takes over")
{
  Pair pair;
  pair.Run(8s);
  const BootTime cut = pair.now;
  pair.members[0].reachesStore = false;
  pair.Run(12s);
  CHECK_FALSE(pair.Called(0, cut + kDuration - 700ms));
  CHECK(pair.Called(1, cut + 2 * kDuration));
  pair.members[0].reachesStore = true;
  pair.Run(8s);
  pair.Check();
}

TEST_CASE("lease: after the store was restored from an older copy tokens still grow")
{
  Pair pair;
  pair.store.revision = 500;
  pair.Run(8s);
  REQUIRE(!pair.calls.empty());
  const std::uint64_t before = pair.calls.back().token;
  pair.store.era = 2;
  pair.store.revision = 3;
  pair.store.nextLease = 1;
  const BootTime restored = pair.now;
  pair.Run(12s);
  CHECK(pair.calls.back().at > restored + kDuration);
  CHECK(pair.calls.back().token > before);
  pair.Check();
}

TEST_CASE("lease: a holder that cannot reach the platform gives the lease up for a time")
{
  Pair pair;
  pair.Run(8s);
  const BootTime given = pair.now;
  pair.members[0].state.GiveUp(given, 4 * kDuration);
  pair.Run(11s);
  CHECK_FALSE(pair.Called(0, given));
  CHECK(pair.Called(1, given));
  pair.Check();
}

TEST_CASE("lease: a stopping holder calls until its lease lapses and does not claim again")
{
  Pair pair;
  pair.Run(8s);
  const BootTime stopping = pair.now;
  pair.members[0].state.Retire();
  pair.Run(20s);
  CHECK(pair.Called(0, stopping));
  CHECK_FALSE(pair.Called(0, stopping + kDuration));
  CHECK(pair.Called(1, stopping + 2 * kDuration));
  pair.Check();
}

TEST_CASE("lease: a claim without an answer counts only if the key and its store lease are its own")
{
  const BootTime sentAt{ 5s };
  LeaseState state("a", StrictRules());
  state.BeginClaim(LeaseOf(1, 7), sentAt);
  state.OnClaimUnanswered();
  REQUIRE(state.AwaitsReadBack());
  CHECK_FALSE(state.MayClaim(sentAt + 1s));

  SUBCASE("own key")
  {
    state.OnReadBack(SeenKey{ "a", At(1, 9), LeaseOf(1, 7) }, sentAt + 1s);
    CHECK(state.IsSafe(sentAt + 1s));
    CHECK_FALSE(state.MayCall(sentAt + 1s));
  }
  SUBCASE("another holder")
  {
    state.OnReadBack(SeenKey{ "b", At(1, 9), LeaseOf(1, 8) }, sentAt + 1s);
    CHECK_FALSE(state.IsHeld());
  }
  SUBCASE("own key of an earlier process")
  {
    state.OnReadBack(SeenKey{ "a", At(1, 9), LeaseOf(1, 2) }, sentAt + 1s);
    CHECK_FALSE(state.IsHeld());
  }
  SUBCASE("same lease id of a later era")
  {
    state.OnReadBack(SeenKey{ "a", At(2, 9), LeaseOf(2, 7) }, sentAt + 1s);
    CHECK_FALSE(state.IsHeld());
  }
  SUBCASE("read only after the store lease has ended")
  {
    state.OnReadBack(SeenKey{ "a", At(1, 9), LeaseOf(1, 7) }, sentAt + kDuration);
    CHECK_FALSE(state.IsHeld());
    CHECK(state.MayClaim(sentAt + kDuration));
  }
}

TEST_CASE("lease: lost answers to claims delay a holder but never make two")
{
  Pair pair;
  pair.members[0].losesAnswers = true;
  pair.Run(8s);
  CHECK(pair.Called(0, BootTime{ 0 }));
  pair.Check();
}

TEST_CASE("lease: a left-over key with the instance's own name is replaced, another's is not")
{
  LeaseState state("a", StrictRules());
  const SeenKey own{ "a", At(2, 40), LeaseOf(2, 3) };
  CHECK_FALSE(state.ClaimableRevision(own, 10s).has_value());
  CHECK_FALSE(state.ClaimableRevision(own, 15s).has_value());
  CHECK(state.ClaimableRevision(own, 16s) == core::Revision(40));
  const SeenKey other{ "b", At(2, 41), LeaseOf(2, 3) };
  CHECK_FALSE(state.ClaimableRevision(other, 30s).has_value());
  CHECK_FALSE(state.ClaimableRevision(other, 60s).has_value());
}

TEST_CASE("calls: one per subject in flight, and after a lost answer only the exact repeat")
{
  CallRules rules(100.0, 1);
  BootTime now{ 1s };
  REQUIRE(rules.TryBegin("usage", "window 1", now));
  CHECK_FALSE(rules.TryBegin("usage", "window 1", now));
  CHECK(rules.TryBegin("scale", "five", now));
  rules.OnEnded("scale");
  CHECK(rules.TryBegin("scale", "six", now));
  rules.OnUnanswered("usage", now);
  now += 1s;
  CHECK_FALSE(rules.TryBegin("usage", "window 2", now));
  REQUIRE(rules.TryBegin("usage", "window 1", now));
  rules.OnEnded("usage");
  // The answer to the repeat does not tell whether the first call has been carried out.
  now = BootTime{ 1s } + CallRules::kMaxCallDelay - 1ms;
  CHECK_FALSE(rules.TryBegin("usage", "window 2", now));
  CHECK(rules.TryBegin("usage", "window 2", now + 1ms));
}

TEST_CASE("calls: any second has no more calls than the platform accepts")
{
  for (const double rate : { 2.0, 5.0, 20.0 }) {
    CallRules rules(rate, 1);
    std::vector<BootTime> sent;
    for (BootTime now{ 1s }; now < BootTime{ 21s }; now += 10ms) {
      if (rules.TryBegin(std::to_string(now.count()), "", now)) {
        sent.push_back(now);
      }
    }
    CHECK(sent.size() > static_cast<std::size_t>(rate * 20 * 0.5));
    for (const BootTime from : sent) {
      const auto inSecond = std::count_if(
        sent.begin(), sent.end(), [&](BootTime aAt) { return aAt >= from && aAt < from + 1s; });
      CHECK(static_cast<double>(inSecond) <= rate);
    }
  }
}

TEST_CASE("calls: the pause after statements of too many calls doubles up to a bound")
{
  CallRules rules(100.0, 1);
  BootTime now{ 1s };
  for (int count = 0; count < 12; ++count) {
    rules.OnThrottled(now);
    CHECK_FALSE(rules.TryBegin("usage", "", now + CallRules::kFirstBackoff / 2 - 1ms));
    now += CallRules::kMaxBackoff;
  }
  rules.OnThrottled(now);
  CHECK_FALSE(rules.TryBegin("usage", "", now + CallRules::kMaxBackoff / 2 - 1ms));
  CHECK(rules.TryBegin("usage", "", now + CallRules::kMaxBackoff));
}

TEST_CASE("calls: the lease is given up after failures in a row that span a duration")
{
  ReachRules reach(kDuration);
  BootTime now{ 1s };
  for (std::size_t count = 0; count < 2 * ReachRules::kMaxFailures; ++count) {
    CHECK_FALSE(reach.OnFailed(now + milliseconds(count)));
  }
  CHECK(reach.OnFailed(now + kDuration));
  CHECK(reach.NextAbsence() == 4 * kDuration);
  CHECK_FALSE(reach.OnFailed(now));
  CHECK(reach.NextAbsence() == 8 * kDuration);
  reach.OnAnswered();
  CHECK(reach.NextAbsence() == 4 * kDuration);
}
