#include <doctest/doctest.h>

#include <algorithm>

#include <plantainslip/routing/choose_peer.hpp>
#include <plantainslip/routing/choose_target.hpp>
#include <plantainslip/routing/errors.hpp>
#include <plantainslip/routing/prompt_pieces.hpp>
#include <plantainslip/routing/rendezvous.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using routing::PrefixIndex;

namespace {

constexpr core::MonotonicTime kNow = core::MonotonicTime(std::chrono::hours(1));
const core::TargetId kEngine("engine-1");
const core::DeploymentName kReader("reader");

control::EngineView
Engine(const std::string& aName, std::uint64_t aRunning)
{
  control::EngineView engine;
  engine.target = core::TargetId(aName);
  engine.zone = core::ZoneId("a");
  engine.deployment = kReader;
  engine.report = targets::EngineReport();
  engine.report->model = "m";
  engine.report->version = "1";
  engine.report->running = aRunning;
  engine.reportedAt = kNow;
  return engine;
}

// One zone's view and what an instance knows beside it.
struct Knowledge
{
  Knowledge()
  {
    auto configuration = std::make_shared<config::Configuration>();
    configuration->deployments[kReader] = { "m", "1", { "legal" } };
    this->view.configuration = configuration;
  }

  absl::StatusOr<std::vector<routing::RankedEngine>> Rank(const std::string& aPrompt,
                                                          const std::string& aAdapter = {},
                                                          const std::string& aVersion = {})
  {
    const routing::EngineQuery query{ core::ZoneId("a"),    kReader, aAdapter, aVersion, aPrompt,
                                      core::TokenCount(10), 0,       {} };
    const routing::RoutingInputs inputs{
      this->inFlight, this->prefixes, this->capacity, kNow, this->options
    };
    return routing::RankEngines(this->view, query, inputs, this->random);
  }

  control::FleetView view;
  routing::InFlight inFlight;
  PrefixIndex prefixes;
  routing::CapacityBook capacity;
  routing::RoutingOptions options;
  core::RandomSource random{ 3 };
};

std::string
LongPrompt(std::size_t aPieces)
{
  return std::string(aPieces * routing::kPieceBytes, 'p');
}

} // namespace

TEST_CASE("the hashes of a prompt's pieces")
{
  const routing::PromptSource source{ "m", "1", "" };

  SUBCASE("only whole pieces have one")
  {
    CHECK(routing::HashPieces(source, LongPrompt(2) + "rest").size() == 2);
    CHECK(routing::HashPieces(source, "short").empty());
  }

  SUBCASE("each covers all pieces before it")
  {
    std::string other = LongPrompt(3);
    other[0] = 'q';
    const auto first = routing::HashPieces(source, LongPrompt(3));
    const auto second = routing::HashPieces(source, other);
    CHECK(first[2] != second[2]);
  }

  SUBCASE("models, versions and adapters never share one")
  {
    const auto plain = routing::HashPieces(source, LongPrompt(1));
    CHECK(plain != routing::HashPieces({ "m", "2", "" }, LongPrompt(1)));
    CHECK(plain != routing::HashPieces({ "m", "1", "legal" }, LongPrompt(1)));
  }
}

TEST_CASE("the prefix index follows late events with gaps")
{
  PrefixIndex index;
  const std::vector<std::uint64_t> pieces = { 11, 12, 13 };
  const core::MonotonicTime later = kNow + std::chrono::minutes(10);
  index.Adopt(kEngine, { { 1, 11, true }, { 2, 12, true } }, kNow);

  SUBCASE("confirmed pieces are held for as long as no event removes them")
  {
    CHECK(index.CountHeld(kEngine, pieces, later) == 2);
    index.Adopt(kEngine, { { 3, 11, false } }, later);
    CHECK(index.CountHeld(kEngine, pieces, later) == 0);
  }

  SUBCASE("a repeated event changes nothing")
  {
    index.Adopt(kEngine, { { 3, 11, false }, { 4, 11, true } }, kNow);
    CHECK(!index.Adopt(kEngine, { { 3, 11, false } }, kNow));
    CHECK(index.CountHeld(kEngine, pieces, kNow) == 2);
  }

  SUBCASE("after a gap, what was confirmed counts for a while and then no more")
  {
    CHECK(index.Adopt(kEngine, { { 9, 13, true } }, kNow));
    CHECK(index.CountHeld(kEngine, pieces, kNow) == 3);
    CHECK(index.CountHeld(kEngine, pieces, later) == 0);
  }

  SUBCASE("a request that was sent counts before its events come, and not for ever")
  {
    index.Expect(kEngine, pieces, kNow);
    CHECK(index.CountHeld(kEngine, pieces, kNow) == 3);
    CHECK(index.CountHeld(kEngine, pieces, later) == 2);
  }

  SUBCASE("a lost engine holds nothing")
  {
    index.Forget(kEngine);
    CHECK(index.CountHeld(kEngine, pieces, kNow) == 0);
    CHECK(index.NewestSequence(kEngine) == 0);
  }
}

TEST_CASE("engines are ranked by queue and uncached prefill")
{
  Knowledge knowledge;
  knowledge.view.engines = { Engine("engine-1", 0), Engine("engine-2", 0) };

  SUBCASE("an engine that holds the prefix is preferred")
  {
    const auto pieces = routing::HashPieces({ "m", "1", "" }, LongPrompt(4));
    for (const char* holder : { "engine-1", "engine-2" }) {
      Knowledge other;
      other.view.engines = knowledge.view.engines;
      other.prefixes.Expect(core::TargetId(holder), pieces, kNow);
      const auto ranking = other.Rank(LongPrompt(4));
      REQUIRE(ranking.ok());
      CHECK(ranking->front().engine.target.Text() == holder);
      CHECK(ranking->front().uncached == core::TokenCount(0));
    }
  }

  SUBCASE("a long queue outweighs a held prefix")
  {
    const auto pieces = routing::HashPieces({ "m", "1", "" }, LongPrompt(2));
    knowledge.prefixes.Expect(kEngine, pieces, kNow);
    knowledge.view.engines[0].report->running = 200;
    CHECK(knowledge.Rank(LongPrompt(2))->front().engine.target.Text() == "engine-2");
  }

  SUBCASE("what was sent since a report counts")
  {
    for (int sent = 0; sent < 40; ++sent) {
      knowledge.inFlight.Add(kEngine, kNow);
    }
    CHECK(knowledge.Rank("short")->front().engine.target.Text() == "engine-2");
  }

  SUBCASE("the other instances of the zone are taken to send as much")
  {
    control::EntryView entry;
    entry.zone = core::ZoneId("a");
    knowledge.view.entries.assign(3, entry);
    knowledge.view.engines.pop_back();
    knowledge.inFlight.Add(kEngine, kNow);
    knowledge.inFlight.Add(kEngine, kNow);
    CHECK(knowledge.Rank("short")->front().outstanding == doctest::Approx(6.0));
  }

  SUBCASE("an engine that has just failed is avoided, and tried again later")
  {
    knowledge.capacity.AddFailure(kEngine, kNow);
    CHECK(knowledge.Rank("short")->front().engine.target.Text() == "engine-2");
    CHECK(knowledge.capacity.RecentFailures(kEngine, kNow) == doctest::Approx(1.0));
    CHECK(knowledge.capacity.RecentFailures(kEngine, kNow + std::chrono::minutes(2)) < 0.001);
  }

  SUBCASE("prefixes that nobody holds go to the same engine from every instance")
  {
    std::set<std::string> chosen;
    for (int instance = 0; instance < 20; ++instance) {
      knowledge.random = core::RandomSource(static_cast<std::uint64_t>(instance));
      chosen.insert(knowledge.Rank(LongPrompt(3))->front().engine.target.Text());
    }
    CHECK(chosen.size() == 1);
  }
}

TEST_CASE("only engines that can serve a request are ranked")
{
  Knowledge knowledge;
  knowledge.view.engines = { Engine("engine-1", 0) };
  REQUIRE(knowledge.Rank("p").ok());
  control::EngineView& engine = knowledge.view.engines.front();

  SUBCASE("not one that is leaving")
  {
    engine.leaving = true;
    CHECK(core::IsError(knowledge.Rank("p").status(), routing::errors::kNoTarget));
  }
  SUBCASE("not one in a change")
  {
    engine.report->changing = true;
    CHECK(!knowledge.Rank("p").ok());
  }
  SUBCASE("not one of another zone")
  {
    engine.zone = core::ZoneId("b");
    CHECK(!knowledge.Rank("p").ok());
  }
  SUBCASE("not one without the adapter")
  {
    CHECK(!knowledge.Rank("p", "legal").ok());
    engine.report->adapters = { "legal" };
    CHECK(knowledge.Rank("p", "legal").ok());
  }
  SUBCASE("not one in another version than the answer was begun in")
  {
    CHECK(!knowledge.Rank("p", "", "2").ok());
  }
  SUBCASE("not one without a report")
  {
    engine.report.reset();
    CHECK(!knowledge.Rank("p").ok());
  }
}

TEST_CASE("when a target goes, rendezvous hashing moves its keys alone")
{
  const std::vector<core::TargetId> targets = { core::TargetId("a"),
                                                core::TargetId("b"),
                                                core::TargetId("c") };
  const auto home = [&](std::uint64_t aKey, std::size_t aCount) {
    return *std::max_element(targets.begin(),
                             targets.begin() + static_cast<std::ptrdiff_t>(aCount),
                             [&](const auto& aLeft, const auto& aRight) {
                               return routing::RendezvousWeight(aLeft, aKey) <
                                      routing::RendezvousWeight(aRight, aKey);
                             });
  };
  std::set<core::TargetId> heirs;
  for (std::uint64_t key = 0; key < 200; ++key) {
    if (home(key, 3) == targets[2]) {
      heirs.insert(home(key, 2));
    } else {
      CHECK(home(key, 2) == home(key, 3));
    }
  }
  CHECK(heirs.size() == 2);
}

TEST_CASE("a peer is chosen among listening instances of zones that have the deployment")
{
  Knowledge knowledge;
  control::EngineView engine = Engine("engine-9", 0);
  engine.zone = core::ZoneId("b");
  knowledge.view.engines = { engine };
  control::EntryView peer;
  peer.instance = core::InstanceId("entry-b");
  peer.zone = core::ZoneId("b");
  peer.peerAddress = { "127.0.0.1", 9 };
  knowledge.view.entries = { peer };
  const auto choose = [&](const std::set<core::InstanceId>& aExcluded = {}) {
    return routing::ChoosePeer(
      knowledge.view, core::ZoneId("a"), kReader, aExcluded, knowledge.random);
  };
  CHECK(choose().has_value());
  CHECK(!choose({ peer.instance }).has_value());
  SUBCASE("not one that does not listen")
  {
    knowledge.view.entries[0].peerAddress.port = 0;
    CHECK(!choose().has_value());
  }
  SUBCASE("not one that is leaving")
  {
    knowledge.view.entries[0].leaving = true;
    CHECK(!choose().has_value());
  }
  SUBCASE("not one of the own zone")
  {
    knowledge.view.entries[0].zone = core::ZoneId("a");
    CHECK(!choose().has_value());
  }
}

TEST_CASE("an engine's capacity is learned from its reports and from finished attempts")
{
  routing::CapacityBook book;
  targets::EngineReport report;

  SUBCASE("while requests wait, the running ones show its slots")
  {
    report.running = 5;
    report.queued = 1;
    book.AdoptReport(kEngine, report);
    CHECK(book.Of(kEngine).slots == doctest::Approx(5.0));
    report.queued = 0;
    report.running = 9;
    book.AdoptReport(kEngine, report);
    CHECK(book.Of(kEngine).slots == doctest::Approx(9.0));
  }

  SUBCASE("a stalled engine with a queue keeps what was known")
  {
    report.running = 0;
    report.queued = 7;
    book.AdoptReport(kEngine, report);
    CHECK(book.Of(kEngine).slots >= 1.0);
  }

  SUBCASE("longer waits than expected raise the factor of that priority alone")
  {
    for (int times = 0; times < 200; ++times) {
      book.AddWait(0, routing::Seconds(1.0), routing::Seconds(3.0));
    }
    CHECK(book.WaitFactor(0) == doctest::Approx(3.0).epsilon(0.01));
    CHECK(book.WaitFactor(5) == doctest::Approx(1.0));
  }
}
