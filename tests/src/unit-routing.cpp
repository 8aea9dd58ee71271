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

// A fleet view of one availability zone and the local state of an instance.
struct RoutingFixture
{
  RoutingFixture()
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
  routing::CapacityEstimator capacity;
  routing::RoutingOptions options;
  core::RandomSource random{ 3 };
};

std::string
LongPrompt(std::size_t aPieces)
{
  return std::string(aPieces * routing::kPieceBytes, 'p');
}

} // namespace

TEST_CASE("hashes of prompt pieces")
{
  const routing::CacheScope source{ "m", "1", "" };

  SUBCASE("only complete pieces are hashed")
  {
    CHECK(routing::HashPieces(source, LongPrompt(2) + "rest").size() == 2);
    CHECK(routing::HashPieces(source, "short").empty());
  }

  SUBCASE("each hash depends on all earlier pieces")
  {
    std::string other = LongPrompt(3);
    other[0] = 'q';
    const auto first = routing::HashPieces(source, LongPrompt(3));
    const auto second = routing::HashPieces(source, other);
    CHECK(first[2] != second[2]);
  }

  SUBCASE("hashes differ between versions and adapters of a model")
  {
    const auto plain = routing::HashPieces(source, LongPrompt(1));
    CHECK(plain != routing::HashPieces({ "m", "2", "" }, LongPrompt(1)));
    CHECK(plain != routing::HashPieces({ "m", "1", "legal" }, LongPrompt(1)));
  }
}

TEST_CASE("the prefix index handles late, repeated and lost cache events")
{
  PrefixIndex index;
  const std::vector<std::uint64_t> pieces = { 11, 12, 13 };
  const core::MonotonicTime later = kNow + std::chrono::minutes(10);
  index.ApplyEvents(kEngine, { { 1, 11, true }, { 2, 12, true } }, kNow);

  SUBCASE("confirmed pieces count as cached until an event removes them")
  {
    CHECK(index.CountCachedPieces(kEngine, pieces, later) == 2);
    index.ApplyEvents(kEngine, { { 3, 11, false } }, later);
    CHECK(index.CountCachedPieces(kEngine, pieces, later) == 0);
  }

  SUBCASE("a repeated event is ignored")
  {
    index.ApplyEvents(kEngine, { { 3, 11, false }, { 4, 11, true } }, kNow);
    CHECK(!index.ApplyEvents(kEngine, { { 3, 11, false } }, kNow));
    CHECK(index.CountCachedPieces(kEngine, pieces, kNow) == 2);
  }

  SUBCASE("after a gap in the sequence, confirmed pieces expire")
  {
    CHECK(index.ApplyEvents(kEngine, { { 9, 13, true } }, kNow));
    CHECK(index.CountCachedPieces(kEngine, pieces, kNow) == 3);
    CHECK(index.CountCachedPieces(kEngine, pieces, later) == 0);
  }

  SUBCASE(
    "the pieces of a sent request count as cached before its events arrive, until they expire")
  {
    index.AddExpected(kEngine, pieces, kNow);
    CHECK(index.CountCachedPieces(kEngine, pieces, kNow) == 3);
    CHECK(index.CountCachedPieces(kEngine, pieces, later) == 2);
  }

  SUBCASE("a removed engine has no cached pieces")
  {
    index.Remove(kEngine);
    CHECK(index.CountCachedPieces(kEngine, pieces, kNow) == 0);
    CHECK(index.NewestSequence(kEngine) == 0);
  }
}

TEST_CASE("engines are ranked by queue length and uncached prefill")
{
  RoutingFixture fixture;
  fixture.view.engines = { Engine("engine-1", 0), Engine("engine-2", 0) };

  SUBCASE("an engine with the prefix in its cache is preferred")
  {
    const auto pieces = routing::HashPieces({ "m", "1", "" }, LongPrompt(4));
    for (const char* holder : { "engine-1", "engine-2" }) {
      RoutingFixture other;
      other.view.engines = fixture.view.engines;
      other.prefixes.AddExpected(core::TargetId(holder), pieces, kNow);
      const auto ranking = other.Rank(LongPrompt(4));
      REQUIRE(ranking.ok());
      CHECK(ranking->front().engine.target.Text() == holder);
      CHECK(ranking->front().uncached == core::TokenCount(0));
    }
  }

  SUBCASE("a long queue outweighs a cached prefix")
  {
    const auto pieces = routing::HashPieces({ "m", "1", "" }, LongPrompt(2));
    fixture.prefixes.AddExpected(kEngine, pieces, kNow);
    fixture.view.engines[0].report->running = 200;
    CHECK(fixture.Rank(LongPrompt(2))->front().engine.target.Text() == "engine-2");
  }

  SUBCASE("requests sent since the last load report count")
  {
    for (int sent = 0; sent < 40; ++sent) {
      fixture.inFlight.Add(kEngine, kNow);
    }
    CHECK(fixture.Rank("short")->front().engine.target.Text() == "engine-2");
  }

  SUBCASE("the other instances of the zone are assumed to send the same number of requests")
  {
    control::EntryView entry;
    entry.zone = core::ZoneId("a");
    fixture.view.entries.assign(3, entry);
    fixture.view.engines.pop_back();
    fixture.inFlight.Add(kEngine, kNow);
    fixture.inFlight.Add(kEngine, kNow);
    CHECK(fixture.Rank("short")->front().outstanding == doctest::Approx(6.0));
  }

  SUBCASE("a recent failure makes an engine less preferred, and its effect decays")
  {
    fixture.capacity.RecordFailure(kEngine, kNow);
    CHECK(fixture.Rank("short")->front().engine.target.Text() == "engine-2");
    CHECK(fixture.capacity.RecentFailures(kEngine, kNow) == doctest::Approx(1.0));
    CHECK(fixture.capacity.RecentFailures(kEngine, kNow + std::chrono::minutes(2)) < 0.001);
  }

  SUBCASE("every instance sends an uncached prefix to the same engine")
  {
    std::set<std::string> chosen;
    for (int instance = 0; instance < 20; ++instance) {
      fixture.random = core::RandomSource(static_cast<std::uint64_t>(instance));
      chosen.insert(fixture.Rank(LongPrompt(3))->front().engine.target.Text());
    }
    CHECK(chosen.size() == 1);
  }
}

TEST_CASE("only engines that can serve a request are ranked")
{
  RoutingFixture fixture;
  fixture.view.engines = { Engine("engine-1", 0) };
  REQUIRE(fixture.Rank("p").ok());
  control::EngineView& engine = fixture.view.engines.front();

  SUBCASE("not an engine that is leaving")
  {
    engine.leaving = true;
    CHECK(core::IsError(fixture.Rank("p").status(), routing::errors::kNoTarget));
  }
  SUBCASE("not an engine that is being changed")
  {
    engine.report->changing = true;
    CHECK(!fixture.Rank("p").ok());
  }
  SUBCASE("not an engine of another availability zone")
  {
    engine.zone = core::ZoneId("b");
    CHECK(!fixture.Rank("p").ok());
  }
  SUBCASE("not an engine without the adapter")
  {
    CHECK(!fixture.Rank("p", "legal").ok());
    engine.report->adapters = { "legal" };
    CHECK(fixture.Rank("p", "legal").ok());
  }
  SUBCASE("not an engine with a model version other than the requested one")
  {
    CHECK(!fixture.Rank("p", "", "2").ok());
  }
  SUBCASE("not an engine without a load report")
  {
    engine.report.reset();
    CHECK(!fixture.Rank("p").ok());
  }
}

TEST_CASE("removing a target moves only its own keys in rendezvous hashing")
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
  std::set<core::TargetId> newHomes;
  for (std::uint64_t key = 0; key < 200; ++key) {
    if (home(key, 3) == targets[2]) {
      newHomes.insert(home(key, 2));
    } else {
      CHECK(home(key, 2) == home(key, 3));
    }
  }
  CHECK(newHomes.size() == 2);
}

TEST_CASE("a peer is chosen among reachable instances of other zones that have the deployment")
{
  RoutingFixture fixture;
  control::EngineView engine = Engine("engine-9", 0);
  engine.zone = core::ZoneId("b");
  fixture.view.engines = { engine };
  control::EntryView peer;
  peer.instance = core::InstanceId("entry-b");
  peer.zone = core::ZoneId("b");
  peer.peerAddress = { "127.0.0.1", 9 };
  fixture.view.entries = { peer };
  const auto choose = [&](const std::set<core::InstanceId>& aExcluded = {}) {
    return routing::ChoosePeer(fixture.view, core::ZoneId("a"), kReader, aExcluded, fixture.random);
  };
  CHECK(choose().has_value());
  CHECK(!choose({ peer.instance }).has_value());
  SUBCASE("not an instance without a peer port")
  {
    fixture.view.entries[0].peerAddress.port = 0;
    CHECK(!choose().has_value());
  }
  SUBCASE("not an instance that is leaving")
  {
    fixture.view.entries[0].leaving = true;
    CHECK(!choose().has_value());
  }
  SUBCASE("not an instance of the same availability zone")
  {
    fixture.view.entries[0].zone = core::ZoneId("a");
    CHECK(!choose().has_value());
  }
}

TEST_CASE("engine capacity and wait factors are estimated from load reports and observed waits")
{
  routing::CapacityEstimator estimator;
  targets::EngineReport report;

  SUBCASE("while requests are queued, the number of slots is that of the running ones")
  {
    report.running = 5;
    report.queued = 1;
    estimator.UpdateFromReport(kEngine, report);
    CHECK(estimator.Get(kEngine).slots == doctest::Approx(5.0));
    report.queued = 0;
    report.running = 9;
    estimator.UpdateFromReport(kEngine, report);
    CHECK(estimator.Get(kEngine).slots == doctest::Approx(9.0));
  }

  SUBCASE("a stalled engine with a queue keeps its estimated slots")
  {
    report.running = 0;
    report.queued = 7;
    estimator.UpdateFromReport(kEngine, report);
    CHECK(estimator.Get(kEngine).slots >= 1.0);
  }

  SUBCASE("longer waits than expected raise the wait factor of their priority only")
  {
    for (int times = 0; times < 200; ++times) {
      estimator.RecordWait(0, routing::Seconds(1.0), routing::Seconds(3.0));
    }
    CHECK(estimator.WaitFactor(0) == doctest::Approx(3.0).epsilon(0.01));
    CHECK(estimator.WaitFactor(5) == doctest::Approx(1.0));
  }
}
