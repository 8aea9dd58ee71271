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
Mark(std::uint64_t aRevision, bool aDraining)
{
  return { kEngine, core::Revision(aRevision), aDraining };
}

authority::ZoneLeaseOptions
LeaseOf(const std::string& aHolder)
{
  authority::ZoneLeaseOptions options;
  options.zone = core::ZoneId("a");
  options.holder = core::InstanceId(aHolder);
  return options;
}

} // namespace

TEST_CASE("drain marks go by revision and count what is under way")
{
  core::ManualClock clock;
  routing::InFlight inFlight;
  authority::DrainMarks marks(inFlight);

  SUBCASE("no target is called before marks are learned")
  {
    CHECK_FALSE(marks.MayBegin(kEngine));
    CHECK_FALSE(authority::AnswerDrainMarks(marks).ok());
    marks.Learn({});
    CHECK(marks.MayBegin(kEngine));
  }
  SUBCASE("an older message does not undo a newer mark")
  {
    marks.Learn({ Mark(3, true) });
    CHECK(marks.Apply({ Mark(2, false) }).front().mark.draining);
    CHECK_FALSE(marks.MayBegin(kEngine));
    CHECK_FALSE(marks.Apply({ Mark(4, false) }).front().mark.draining);
    CHECK(marks.MayBegin(kEngine));
  }
  SUBCASE("the reply counts attempts under way")
  {
    marks.Learn({});
    inFlight.Add(kEngine, clock.Now());
    CHECK(marks.Apply({ Mark(1, true) }).front().inFlight == 1);
    inFlight.Remove(kEngine, clock.Now());
    CHECK(marks.Apply({ Mark(1, true) }).front().inFlight == 0);
  }
  SUBCASE("messages are read as they were written, and others are refused")
  {
    marks.Learn({});
    const auto answer =
      authority::AnswerDrainMark(marks, authority::FormatDrainMarks({ Mark(7, true) }));
    REQUIRE(answer.ok());
    const auto replies = authority::ParseDrainReplies(*answer);
    REQUIRE(replies.ok());
    CHECK(replies->front().mark.revision == core::Revision(7));
    CHECK_FALSE(authority::AnswerDrainMark(marks, "no CBOR").ok());
  }
}

TEST_CASE("a lease is stood down from before its end")
{
  core::ManualClock clock;
  fakes::MemoryStore store(clock);
  harness::SimulatedTermTimer timer(clock);
  authority::ZoneLease lease(store, clock, timer, LeaseOf("first"));
  lease.Keep();
  REQUIRE(lease.Token().has_value());

  SUBCASE("a store outage ends the term and not the process")
  {
    store.SetDown(true);
    for (int step = 0; step < 20; ++step) {
      clock.Advance(std::chrono::milliseconds(250));
      lease.Keep();
      CHECK_NOTHROW(timer.Resume());
    }
    CHECK_FALSE(lease.Token().has_value());
  }
  SUBCASE("a pause past the lease ends the process")
  {
    clock.Advance(std::chrono::seconds(5));
    CHECK_FALSE(lease.Token().has_value());
    CHECK_THROWS_AS(timer.Resume(), harness::SimulatedCrash);
  }
}

TEST_CASE("calls of controllers that stand by do not grow with the zone")
{
  for (const std::size_t instances : { 9U, 30U, 59U }) {
    core::ManualClock clock;
    fakes::MemoryStore store(clock);
    harness::SimulatedTermTimer timer(clock);
    std::vector<std::unique_ptr<authority::ZoneLease>> leases;
    for (std::size_t number = 0; number < instances; ++number) {
      leases.push_back(std::make_unique<authority::ZoneLease>(
        store, clock, timer, LeaseOf(std::to_string(number))));
      leases.back()->SetContenders(instances);
      leases.back()->Keep();
    }
    const std::uint64_t before = store.Calls();
    constexpr int kSeconds = 600;
    for (int step = 0; step < 4 * kSeconds; ++step) {
      clock.Advance(std::chrono::milliseconds(250));
      for (const auto& lease : leases) {
        lease->Keep();
      }
    }
    CHECK(store.Calls() - before < 3 * kSeconds);
  }
}

TEST_CASE("a starting entry instance learns marks before it calls an engine")
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
  const auto list = [&](const std::vector<std::string>& aNames) {
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

  SUBCASE("not before it sees itself listed")
  {
    list({ "x2" });
    CHECK_FALSE(control::LearnDrainMarks(ports, self, zone));
    CHECK_FALSE(marks.Learned());
    list({ "x1", "x2" });
    CHECK(control::LearnDrainMarks(ports, self, zone));
    CHECK_FALSE(marks.MayBegin(kEngine));
    CHECK(marks.MayBegin(core::TargetId("e2")));
  }
  SUBCASE("from a peer while the store is down, and from the journal later")
  {
    routing::InFlight othersInFlight;
    authority::DrainMarks others(othersInFlight);
    others.Learn({ Mark(1, true) });
    peers.Answer(7, authority::kDrainMarksKind, [&](const std::string&) {
      return authority::AnswerDrainMarks(others);
    });
    store.SetDown(true);
    list({ "x2" });
    CHECK_FALSE(control::LearnDrainMarks(ports, self, zone));
    CHECK(marks.Learned());
    CHECK_FALSE(marks.MayBegin(kEngine));
    store.SetDown(false);
    list({ "x1", "x2" });
    CHECK(control::LearnDrainMarks(ports, self, zone));
  }
}
