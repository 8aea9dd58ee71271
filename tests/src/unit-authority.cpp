#include <doctest/doctest.h>

#include <memory>
#include <vector>

#include <fakes/memory_store.hpp>
#include <harness/faulty_engine.hpp>

#include <plantainslip/authority/drain_messages.hpp>
#include <plantainslip/authority/order_journal.hpp>
#include <plantainslip/authority/zone_lease.hpp>
#include <plantainslip/control/drain_mark_learner.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

namespace {

const core::TargetId kEngine("e1");

authority::DrainMark
MakeMark(std::uint64_t aRevision, bool aDraining)
{
  return { kEngine, core::Revision(aRevision), aDraining };
}

authority::ZoneLeaseOptions
MakeLeaseOptions(const std::string& aHolder)
{
  authority::ZoneLeaseOptions options;
  options.zone = core::ZoneId("a");
  options.holder = core::InstanceId(aHolder);
  return options;
}

} // namespace

TEST_CASE("drain marks are replaced by revision and replies count attempts in flight")
{
  core::ManualClock clock;
  routing::InFlight inFlight;
  authority::DrainMarks marks(inFlight);

  SUBCASE("no attempt may start before marks are learned")
  {
    CHECK_FALSE(marks.MayStartAttempt(kEngine));
    CHECK_FALSE(authority::HandleGetDrainMarks(marks).ok());
    marks.Initialize({});
    CHECK(marks.MayStartAttempt(kEngine));
  }
  SUBCASE("a mark with a lower revision does not replace a newer one")
  {
    marks.Initialize({ MakeMark(3, true) });
    CHECK(marks.Apply({ MakeMark(2, false) }).front().mark.draining);
    CHECK_FALSE(marks.MayStartAttempt(kEngine));
    CHECK_FALSE(marks.Apply({ MakeMark(4, false) }).front().mark.draining);
    CHECK(marks.MayStartAttempt(kEngine));
  }
  SUBCASE("the reply counts attempts in flight")
  {
    marks.Initialize({});
    inFlight.Add(kEngine, clock.Now());
    CHECK(marks.Apply({ MakeMark(1, true) }).front().inFlight == 1);
    inFlight.Remove(kEngine, clock.Now());
    CHECK(marks.Apply({ MakeMark(1, true) }).front().inFlight == 0);
  }
  SUBCASE("messages round-trip and malformed ones are rejected")
  {
    marks.Initialize({});
    const auto answer =
      authority::HandleSetDrainMarks(marks, authority::FormatDrainMarks({ MakeMark(7, true) }));
    REQUIRE(answer.ok());
    const auto replies = authority::ParseDrainReplies(*answer);
    REQUIRE(replies.ok());
    CHECK(replies->front().mark.revision == core::Revision(7));
    CHECK_FALSE(authority::HandleSetDrainMarks(marks, "no CBOR").ok());
  }
}

TEST_CASE("a lease holder steps down before its lease ends")
{
  core::ManualClock clock;
  fakes::MemoryStore store(clock);
  harness::SimulatedTermTimer timer(clock);
  authority::ZoneLease lease(store, clock, timer, MakeLeaseOptions("first"));
  lease.AcquireOrRenew();
  REQUIRE(lease.Token().has_value());

  SUBCASE("a store outage ends the lease term but not the process")
  {
    store.SetDown(true);
    for (int step = 0; step < 20; ++step) {
      clock.Advance(std::chrono::milliseconds(250));
      lease.AcquireOrRenew();
      CHECK_NOTHROW(timer.Resume());
    }
    CHECK_FALSE(lease.Token().has_value());
  }
  SUBCASE("a pause beyond the end of the lease kills the process")
  {
    clock.Advance(std::chrono::seconds(5));
    CHECK_FALSE(lease.Token().has_value());
    CHECK_THROWS_AS(timer.Resume(), harness::SimulatedCrash);
  }
}

TEST_CASE("the store call rate of standby controllers does not grow with their number")
{
  for (const std::size_t controllerCount : { 9U, 30U, 59U }) {
    core::ManualClock clock;
    fakes::MemoryStore store(clock);
    harness::SimulatedTermTimer timer(clock);
    std::vector<std::unique_ptr<authority::ZoneLease>> leases;
    for (std::size_t number = 0; number < controllerCount; ++number) {
      leases.push_back(std::make_unique<authority::ZoneLease>(
        store, clock, timer, MakeLeaseOptions(std::to_string(number))));
      leases.back()->SetContenderCount(controllerCount);
      leases.back()->AcquireOrRenew();
    }
    const std::uint64_t before = store.Calls();
    constexpr int kSeconds = 600;
    for (int step = 0; step < 4 * kSeconds; ++step) {
      clock.Advance(std::chrono::milliseconds(250));
      for (const auto& lease : leases) {
        lease->AcquireOrRenew();
      }
    }
    CHECK(store.Calls() - before < 3 * kSeconds);
  }
}

TEST_CASE("a starting entry instance learns drain marks before it calls an engine")
{
  core::ManualClock clock;
  fakes::MemoryStore store(clock);
  routing::InFlight inFlight;
  authority::DrainMarks marks(inFlight);
  control::ViewBoard board;
  harness::MemoryPeers peers;
  const core::InstanceId self("x1");
  const core::ZoneId zone("a");
  const control::DrainMarkPorts ports{ store, peers, board, marks };
  authority::OrderJournal journal(store, zone);
  authority::JournalEntry entry;
  entry.target = kEngine;
  entry.phase = authority::OrderPhase::kDraining;
  REQUIRE(journal.Write(entry).ok());
  const auto publishView = [&](const std::vector<std::string>& aNames) {
    auto view = std::make_shared<control::FleetView>();
    for (const std::string& name : aNames) {
      control::EntryView listed;
      listed.instance = core::InstanceId(name);
      listed.zone = zone;
      listed.peerAddress = { "127.0.0.1", 7 };
      view->entries.push_back(listed);
    }
    board.Publish(view);
  };

  SUBCASE("not from the journal before the instance itself is listed")
  {
    publishView({ "x2" });
    CHECK_FALSE(control::LearnDrainMarks(ports, self, zone));
    CHECK_FALSE(marks.IsInitialized());
    publishView({ "x1", "x2" });
    CHECK(control::LearnDrainMarks(ports, self, zone));
    CHECK_FALSE(marks.MayStartAttempt(kEngine));
    CHECK(marks.MayStartAttempt(core::TargetId("e2")));
  }
  SUBCASE("from a peer while the store is down, and from the journal once it is up")
  {
    routing::InFlight peerInFlight;
    authority::DrainMarks peerMarks(peerInFlight);
    peerMarks.Initialize({ MakeMark(1, true) });
    peers.Answer(7, authority::kGetDrainMarksKind, [&](const std::string&) {
      return authority::HandleGetDrainMarks(peerMarks);
    });
    store.SetDown(true);
    publishView({ "x2" });
    CHECK_FALSE(control::LearnDrainMarks(ports, self, zone));
    CHECK(marks.IsInitialized());
    CHECK_FALSE(marks.MayStartAttempt(kEngine));
    store.SetDown(false);
    publishView({ "x1", "x2" });
    CHECK(control::LearnDrainMarks(ports, self, zone));
  }
}
