#include <doctest/doctest.h>

#include <plantainslip/serving/admission_rule.hpp>
#include <plantainslip/serving/dispatch_rule.hpp>
#include <plantainslip/serving/placement.hpp>
#include <plantainslip/serving/stage_plan.hpp>

using namespace plantainslip;          // NOLINT(google-build-using-namespace)
using namespace plantainslip::serving; // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

const core::ServiceName kEngineService("models");
const core::ServiceName kPlainService("desk");

Target
Engine(const std::string& aId, const std::string& aZone, EngineStage aStage)
{
  Target target;
  target.id = core::TargetId(aId);
  target.service = kEngineService;
  target.address = { "10.0.0.1", static_cast<std::uint16_t>(1'000 + aId.back()) };
  target.zone = core::ZoneId(aZone);
  target.stage = aStage;
  target.slots = 64;
  return target;
}

Target
Plain(const std::string& aId, const std::string& aZone)
{
  Target target = Engine(aId, aZone, EngineStage::kNone);
  target.service = kPlainService;
  target.slots = 6;
  return target;
}

PromptInfo
Prompt(std::uint64_t aShared, std::uint64_t aOwn, std::uint64_t aKey = 7)
{
  PromptInfo prompt;
  prompt.promptTokens = aShared + aOwn;
  prompt.parts = { { aKey, aShared }, { 1'000 + aKey, aOwn } };
  return prompt;
}

struct Fixture
{
  FleetSnapshot fleet;
  LoadTracker loads;
  TargetHealth health;
  PrefillModel prefill;
  TargetNotices notices;
  TargetLimits limits;
  core::MonotonicTime now{};

  void Add(const Target& aTarget) { this->fleet.targets.emplace(aTarget.id, aTarget); }

  PlacementView View() const
  {
    return { this->fleet,   this->loads,  this->health,      this->prefill,
             this->notices, this->limits, core::ZoneId("a"), this->now };
  }
};

TargetLoad
PrefillLoad(std::size_t aPriority, double aTokens)
{
  TargetLoad load;
  load.requests = 1.0;
  load.prefillTokens[aPriority] = aTokens;
  return load;
}

Route
StreamRoute()
{
  Route route;
  route.objective = 500ms;
  route.eventGap = 250ms;
  return route;
}

} // namespace

TEST_CASE("prompts with a shared part are prefilled at its home engine while that is free")
{
  Fixture fixture;
  for (const char* id : { "p1", "p2", "p3", "p4" }) {
    fixture.Add(Engine(id, "a", EngineStage::kPrefill));
  }
  const auto first = ChoosePrefill(fixture.View(), kEngineService, Prompt(5'000, 500), 400ms, {});
  REQUIRE(first.has_value());

  SUBCASE("other prompts with the same shared part go to the same engine")
  {
    const auto next = ChoosePrefill(fixture.View(), kEngineService, Prompt(5'000, 900), 400ms, {});
    CHECK(next->target.id == first->target.id);
  }
  SUBCASE("with a burst at the home, prompts go to one other engine, which fetches the part from "
          "the home")
  {
    fixture.loads.Add(first->target.id, PrefillLoad(0, 40'000));
    const auto next = ChoosePrefill(fixture.View(), kEngineService, Prompt(5'000, 900), 400ms, {});
    CHECK(next->target.id != first->target.id);
    CHECK(next->fetchFrom == first->target.address);
    const auto again = ChoosePrefill(fixture.View(), kEngineService, Prompt(5'000, 100), 400ms, {});
    CHECK(again->target.id == next->target.id);
  }
  SUBCASE("the new home fetches the part from a leaving home, by its notice or the directory's")
  {
    bool byNotice = false;
    SUBCASE("the target's own notice")
    {
      byNotice = true;
    }
    SUBCASE("the directory's entry") {}
    if (byNotice) {
      fixture.notices.RecordLeaving(ProcessOf(first->target), fixture.now);
    } else {
      fixture.fleet.targets.at(first->target.id).leaving = true;
    }
    const auto next = ChoosePrefill(fixture.View(), kEngineService, Prompt(5'000, 900), 400ms, {});
    CHECK(next->target.id != first->target.id);
    CHECK(next->fetchFrom == first->target.address);
  }
  SUBCASE("shared parts are distributed over all engines")
  {
    std::map<core::TargetId, int> counts;
    for (std::uint64_t key = 1; key <= 400; ++key) {
      ++counts[ChoosePrefill(fixture.View(), kEngineService, Prompt(5'000, 1, key), 400ms, {})
                 ->target.id];
    }
    CHECK(counts.size() == 4);
    for (const auto& [id, count] : counts) {
      CHECK(count > 50);
    }
  }
}

TEST_CASE("leaving, tried and decoding engines are not chosen for prefill")
{
  Fixture fixture;
  Target leaving = Engine("p1", "a", EngineStage::kPrefill);
  leaving.leaving = true;
  fixture.Add(leaving);
  fixture.Add(Engine("p2", "a", EngineStage::kPrefill));
  fixture.Add(Engine("d1", "a", EngineStage::kDecode));
  const core::TargetId tried("p2");
  CHECK(ChoosePrefill(fixture.View(), kEngineService, Prompt(0, 10), 400ms, {})->target.id ==
        tried);
  CHECK_FALSE(
    ChoosePrefill(fixture.View(), kEngineService, Prompt(0, 10), 400ms, { tried }).has_value());
}

TEST_CASE("the prompt with the least slack gets the highest priority")
{
  Fixture fixture;
  fixture.Add(Engine("p1", "a", EngineStage::kPrefill));
  const auto priority = [&](std::uint64_t aOwn, milliseconds aSlack) {
    return ChoosePrefill(fixture.View(), kEngineService, Prompt(0, aOwn), aSlack, {})->priority;
  };
  SUBCASE("a long prompt goes before a short one with the same objective")
  {
    CHECK(priority(15'000, 500ms) < priority(1'000, 500ms));
  }
  SUBCASE("a prompt that will be late in any case gets the lowest priority")
  {
    CHECK(priority(60'000, 500ms) == kPriorityLevels - 1);
    CHECK(priority(100, 0ms) == kPriorityLevels - 1);
  }
  SUBCASE("so does a prompt that is late only because of the queue")
  {
    fixture.loads.Add(core::TargetId("p1"), PrefillLoad(0, 100'000));
    CHECK(priority(1'000, 500ms) == kPriorityLevels - 1);
  }
  SUBCASE("queued prompts of a lower priority do not add to the queueing time")
  {
    fixture.loads.Add(core::TargetId("p1"), PrefillLoad(9, 100'000));
    const auto place = ChoosePrefill(fixture.View(), kEngineService, Prompt(0, 1'000), 500ms, {});
    CHECK(place->queueingTime == 0ms);
  }
}

TEST_CASE("a prompt is refused only if its caller would disconnect before the first event")
{
  PrefillPlacement place;
  place.prefillTime = 100ms;
  SUBCASE("a prompt that is only late is served")
  {
    place.queueingTime = 900ms;
    CHECK_FALSE(RefusalRetryDelay(StreamRoute(), place, 0ms).has_value());
  }
  SUBCASE("a prompt whose caller would disconnect is refused with a retry delay within bounds")
  {
    place.queueingTime = 3'000ms;
    const auto wait = RefusalRetryDelay(StreamRoute(), place, 0ms);
    REQUIRE(wait.has_value());
    CHECK(*wait >= 150ms);
    CHECK(*wait <= 2'000ms);
  }
  SUBCASE("time since the caller sent the request counts")
  {
    place.queueingTime = 900ms;
    CHECK(RefusalRetryDelay(StreamRoute(), place, 600ms).has_value());
  }
  SUBCASE("a route with a larger event gap has more patient callers")
  {
    Route route = StreamRoute();
    route.eventGap = 1'000ms;
    place.queueingTime = 3'000ms;
    CHECK_FALSE(RefusalRetryDelay(route, place, 0ms).has_value());
  }
}

TEST_CASE("an instance that is shutting down accepts only requests that can finish before it exits")
{
  Route stream = StreamRoute();
  stream.kind = RequestKind::kStream;
  stream.timeout = 10s;
  CHECK(AcceptDuringShutdown(stream, 1'000ms, 6'300ms));
  CHECK_FALSE(AcceptDuringShutdown(stream, 4'900ms, 2'400ms));
  Route plain;
  plain.kind = RequestKind::kAtMostOnce;
  plain.timeout = 800ms;
  CHECK(AcceptDuringShutdown(plain, 4'900ms, 2'400ms));
  CHECK_FALSE(AcceptDuringShutdown(plain, 6'900ms, 400ms));
}

TEST_CASE("prompts that can wait are queued at the instance while their engine is busy")
{
  CHECK(ShouldDispatchNow(0.0, kPriorityLevels - 1));
  CHECK_FALSE(ShouldDispatchNow(50'000.0, kPriorityLevels - 1));
  CHECK(ShouldDispatchNow(1'000'000.0, 0));
  for (std::size_t level = 1; level < kPriorityLevels; ++level) {
    for (const double queued : { 2'000.0, 6'000.0, 10'000.0, 20'000.0 }) {
      // If a prompt is sent, so is every more urgent one.
      CHECK((!ShouldDispatchNow(queued, level) || ShouldDispatchNow(queued, level - 1)));
    }
  }
}

TEST_CASE("decoding goes to the least loaded engine near the cache")
{
  Fixture fixture;
  fixture.Add(Engine("d1", "a", EngineStage::kDecode));
  fixture.Add(Engine("d2", "b", EngineStage::kDecode));
  const core::TargetId near("d1");
  const core::TargetId far("d2");
  CHECK(ChooseDecode(fixture.View(), kEngineService, core::ZoneId("a"), {})->id == near);
  SUBCASE("a full batch moves decoding to the other zone")
  {
    fixture.loads.Add(near, { 60.0, {} });
    CHECK(ChooseDecode(fixture.View(), kEngineService, core::ZoneId("a"), {})->id == far);
  }
  SUBCASE("an unreachable engine is avoided until its backoff ends")
  {
    fixture.health.Record(near, AttemptResult::kUnreachable, fixture.now);
    CHECK(ChooseDecode(fixture.View(), kEngineService, core::ZoneId("a"), {})->id == far);
    fixture.now += TargetHealth::kMaxBackoff;
    CHECK(ChooseDecode(fixture.View(), kEngineService, core::ZoneId("a"), {})->id == near);
  }
  SUBCASE("avoided engines are used if no others are left")
  {
    fixture.health.Record(near, AttemptResult::kUnreachable, fixture.now);
    CHECK(ChooseDecode(fixture.View(), kEngineService, core::ZoneId("a"), { far })->id == near);
  }
}

TEST_CASE("plain requests go to the least loaded target and avoid failing ones")
{
  Fixture fixture;
  fixture.Add(Plain("s1", "a"));
  fixture.Add(Plain("s2", "b"));
  const core::TargetId own("s1");
  const core::TargetId other("s2");
  CHECK(ChoosePlain(fixture.View(), kPlainService, {})->id == own);
  SUBCASE("load reported by peers counts until the report expires")
  {
    fixture.loads.SetPeerReport(core::InstanceId("peer"), { { own, { 2.0, {} } } }, fixture.now);
    CHECK(ChoosePlain(fixture.View(), kPlainService, {})->id == other);
    fixture.now += LoadTracker::kReportLifetime + 1ms;
    CHECK(ChoosePlain(fixture.View(), kPlainService, {})->id == own);
  }
  SUBCASE("failures count as load until enough successes follow")
  {
    for (int attempt = 0; attempt < 10; ++attempt) {
      fixture.health.Record(own, AttemptResult::kFailed, fixture.now);
    }
    CHECK(ChoosePlain(fixture.View(), kPlainService, {})->id == other);
    for (int attempt = 0; attempt < 40; ++attempt) {
      fixture.health.Record(own, AttemptResult::kAnswered, fixture.now);
    }
    CHECK(ChoosePlain(fixture.View(), kPlainService, {})->id == own);
  }
}

TEST_CASE("an engine with many cache transfers in flight is not chosen")
{
  Fixture fixture;
  const auto addTransfers = [&](const char* aId) {
    TargetLoad load;
    load.cacheTransfers = 20.0;
    fixture.loads.Add(core::TargetId(aId), load);
  };
  SUBCASE("for decode, where it would receive caches")
  {
    fixture.Add(Engine("d1", "a", EngineStage::kDecode));
    fixture.Add(Engine("d2", "a", EngineStage::kDecode));
    const auto first = ChooseDecode(fixture.View(), kEngineService, core::ZoneId("a"), {});
    addTransfers(first->id.Text().c_str());
    CHECK(ChooseDecode(fixture.View(), kEngineService, core::ZoneId("a"), {})->id != first->id);
  }
  SUBCASE("for prefill, where it would send caches")
  {
    fixture.Add(Engine("p1", "a", EngineStage::kPrefill));
    fixture.Add(Engine("p2", "a", EngineStage::kPrefill));
    const auto first = ChoosePrefill(fixture.View(), kEngineService, Prompt(1'000, 500), 400ms, {});
    addTransfers(first->target.id.Text().c_str());
    const auto next = ChoosePrefill(fixture.View(), kEngineService, Prompt(1'000, 500), 400ms, {});
    CHECK(next->target.id != first->target.id);
  }
}

TEST_CASE("a short prompt avoids an engine that is busy with long prompts of a lower priority")
{
  Fixture fixture;
  fixture.Add(Engine("p1", "a", EngineStage::kPrefill));
  fixture.Add(Engine("p2", "a", EngineStage::kPrefill));
  const auto first = ChoosePrefill(fixture.View(), kEngineService, Prompt(0, 500), 100ms, {});
  fixture.loads.Add(first->target.id, PrefillLoad(kPriorityLevels - 1, 50'000));
  const auto next = ChoosePrefill(fixture.View(), kEngineService, Prompt(0, 500), 100ms, {});
  CHECK(next->target.id != first->target.id);
}

TEST_CASE("a target that peers report as unreachable")
{
  Fixture fixture;
  fixture.Add(Engine("d1", "a", EngineStage::kDecode));
  fixture.Add(Engine("d2", "b", EngineStage::kDecode));
  const auto chosen = [&] {
    return ChooseDecode(fixture.View(), kEngineService, core::ZoneId("a"), {})->id.Text();
  };
  const std::vector<core::TargetId> unreachable = { core::TargetId("d1") };
  REQUIRE(chosen() == "d1");
  fixture.health.SetPeerReport(core::InstanceId("one"), unreachable, fixture.now);
  SUBCASE("is still used if only one peer reports it, since that peer may be cut off itself")
  {
    CHECK(chosen() == "d1");
  }
  fixture.health.SetPeerReport(core::InstanceId("two"), unreachable, fixture.now);
  SUBCASE("is avoided if two peers report it, although this instance has not tried it")
  {
    CHECK(chosen() == "d2");
    CHECK(fixture.health.UnreachableTargets(fixture.now).empty());
  }
  SUBCASE("is used if it has answered this instance recently")
  {
    fixture.health.Record(core::TargetId("d1"), AttemptResult::kAnswered, fixture.now);
    CHECK(chosen() == "d1");
  }
  SUBCASE("is used again when a peer withdraws its report or the reports expire")
  {
    fixture.health.SetPeerReport(core::InstanceId("two"), {}, fixture.now);
    CHECK(chosen() == "d1");
    fixture.health.SetPeerReport(core::InstanceId("two"), unreachable, fixture.now);
    fixture.now += TargetHealth::kPeerReportLifetime + 1ms;
    CHECK(chosen() == "d1");
  }
  SUBCASE("is avoided just like a target whose address belongs to another process")
  {
    const core::TargetId moved("d1");
    TargetHealth health;
    health.Record(moved, AttemptResult::kMisdirected, fixture.now);
    CHECK(health.IsAvoided(moved, fixture.now));
    health.Record(moved, AttemptResult::kRefused, fixture.now);
    CHECK_FALSE(health.IsAvoided(moved, fixture.now));
  }
  SUBCASE("is reported to peers only by instances that have tried it")
  {
    fixture.health.Record(core::TargetId("d2"), AttemptResult::kUnreachable, fixture.now);
    CHECK(fixture.health.UnreachableTargets(fixture.now) == std::vector{ core::TargetId("d2") });
  }
}

TEST_CASE("a target that failed once is eventually used again although others are idle")
{
  Fixture fixture;
  fixture.Add(Plain("s1", "a"));
  fixture.Add(Plain("s2", "a"));
  const auto chosen = [&] { return ChoosePlain(fixture.View(), kPlainService, {})->id; };
  const core::TargetId first = chosen();
  fixture.health.Record(first, AttemptResult::kFailed, fixture.now);
  REQUIRE(chosen() != first);
  fixture.now += 60s;
  CHECK(chosen() == first);
}

TEST_CASE("the prefill rate is learnt per engine")
{
  PrefillModel model;
  const core::TargetId slow("slow");
  const core::TargetId fast("fast");
  for (int call = 0; call < 200; ++call) {
    model.RecordCall(slow, 0.0, 5'000.0, PrefillModel::kCallOverhead + 125ms);
    model.RecordCall(fast, 0.0, 5'000.0, PrefillModel::kCallOverhead + 50ms);
  }
  CHECK(model.Duration(slow, 4'000.0).count() == doctest::Approx(100).epsilon(0.05));
  CHECK(model.Duration(fast, 4'000.0).count() == doctest::Approx(40).epsilon(0.05));
  SUBCASE("calls that mostly waited in a queue hardly change the estimate")
  {
    for (int call = 0; call < 20; ++call) {
      model.RecordCall(fast, 45'000.0, 5'000.0, 5s);
    }
    CHECK(model.Duration(fast, 4'000.0).count() == doctest::Approx(40).epsilon(0.3));
  }
  SUBCASE("a call shorter than the overhead hardly changes the estimate")
  {
    model.RecordCall(fast, 0.0, 10.0, 5ms);
    CHECK(model.Duration(fast, 4'000.0).count() == doctest::Approx(40).epsilon(0.1));
  }
}

TEST_CASE("stages are planned for the whole service, with both stages in each zone")
{
  FleetSnapshot fleet;
  const auto add = [&](const std::string& aId, const std::string& aZone, EngineStage aStage) {
    const Target engine = Engine(aId, aZone, aStage);
    fleet.targets.emplace(engine.id, engine);
  };
  const auto after = [&](const std::vector<StageChange>& aChanges) {
    for (const StageChange& change : aChanges) {
      fleet.targets.at(change.target.id).stage = change.stage;
    }
    std::map<core::ZoneId, int> decoding;
    for (const auto& [id, engine] : fleet.targets) {
      decoding[engine.zone] += engine.stage == EngineStage::kDecode ? 1 : 0;
    }
    return decoding;
  };
  for (const char* zone : { "a", "b", "c" }) {
    for (int engine = 0; engine < 6; ++engine) {
      add(zone + std::to_string(engine), zone, EngineStage::kDecode);
    }
  }
  StageGoal goal;
  goal.decodeShare = 0.44;
  SUBCASE("the decoding engines of the zones add up to the service's share")
  {
    int total = 0;
    for (const auto& [zone, decoding] : after(PlanStages(fleet, kEngineService, goal))) {
      CHECK(decoding >= 2);
      CHECK(decoding <= 3);
      total += decoding;
    }
    CHECK(total == 8);
    CHECK(PlanStages(fleet, kEngineService, goal).empty());
  }
  SUBCASE("a zone keeps one engine of each stage even for a tiny share")
  {
    goal.decodeShare = 0.01;
    for (const auto& [zone, decoding] : after(PlanStages(fleet, kEngineService, goal))) {
      CHECK(decoding == 1);
    }
  }
  SUBCASE("a shortfall within the tolerance causes no change")
  {
    goal.decodeShare = 0.84;
    goal.toleratedShortfall = 1;
    CHECK(PlanStages(fleet, kEngineService, goal).size() == 3);
    fleet.targets.at(core::TargetId("a0")).stage = EngineStage::kPrefill;
    fleet.targets.at(core::TargetId("b0")).stage = EngineStage::kPrefill;
    fleet.targets.at(core::TargetId("c0")).stage = EngineStage::kPrefill;
    goal.decodeShare = 0.7;
    CHECK(PlanStages(fleet, kEngineService, goal).empty());
  }
  SUBCASE("the youngest engines change first, as they have the least cached data")
  {
    fleet.targets.at(core::TargetId("a4")).startedAt = 2'000;
    fleet.targets.at(core::TargetId("a2")).startedAt = 1'000;
    goal.decodeShare = 0.67;
    std::vector<std::string> changed;
    for (const StageChange& change : PlanStages(fleet, kEngineService, goal)) {
      if (change.target.zone == core::ZoneId("a")) {
        changed.push_back(change.target.id.Text());
      }
    }
    CHECK(changed == std::vector<std::string>{ "a4", "a2" });
  }
  SUBCASE("if only missing stages are to be corrected, a zone with both stages keeps its engines")
  {
    goal.onlyMissingStages = true;
    fleet.targets.at(core::TargetId("b1")).stage = EngineStage::kPrefill;
    for (const StageChange& change : PlanStages(fleet, kEngineService, goal)) {
      CHECK(change.target.zone != core::ZoneId("b"));
    }
    CHECK_FALSE(PlanStages(fleet, kEngineService, goal).empty());
  }
}

TEST_CASE("stages are planned during a rolling update, but not while the first targets start")
{
  CHECK_FALSE(ToleratedShortfall(100ms, false).has_value());
  CHECK(ToleratedShortfall(kSettlingTime, false) == 0);
  CHECK(ToleratedShortfall(kSettlingTime, true) == 0);
  // During an update a shortfall of one engine is tolerated, as the next engine to join may make up
  // for it; a shortfall of two is not.
  FleetSnapshot fleet;
  const auto add = [&](const std::string& aId, EngineStage aStage) {
    const Target engine = Engine(aId, "a", aStage);
    fleet.targets.emplace(engine.id, engine);
  };
  for (int engine = 0; engine < 6; ++engine) {
    add("p" + std::to_string(engine), EngineStage::kPrefill);
  }
  add("d0", EngineStage::kDecode);
  add("d1", EngineStage::kDecode);
  add("d2", EngineStage::kDecode);
  StageGoal goal;
  goal.decodeShare = 0.25;
  goal.toleratedShortfall = *ToleratedShortfall(100ms, true);
  CHECK(PlanStages(fleet, kEngineService, goal).empty());
  add("d3", EngineStage::kDecode);
  add("d4", EngineStage::kDecode);
  CHECK(PlanStages(fleet, kEngineService, goal).size() >= 2);
}

TEST_CASE("targets that want no requests for a time")
{
  Fixture fixture;
  fixture.Add(Plain("s1", "a"));
  fixture.Add(Plain("s2", "b"));
  const auto pause = [&](const char* aId, milliseconds aDuration) {
    fixture.notices.RecordPause({ core::TargetId(aId), 0 }, aDuration, fixture.now);
  };
  pause("s1", 3s);
  CHECK(ChoosePlain(fixture.View(), kPlainService, {})->id == core::TargetId("s2"));
  CHECK(PauseOf(fixture.View(), kPlainService) == 0ms);
  SUBCASE("are not chosen even if no other is left, until the first pause ends")
  {
    pause("s2", 2s);
    CHECK_FALSE(ChoosePlain(fixture.View(), kPlainService, {}).has_value());
    CHECK(PauseOf(fixture.View(), kPlainService) == 2s);
    fixture.now += 2s;
    CHECK(ChoosePlain(fixture.View(), kPlainService, {})->id == core::TargetId("s2"));
  }
  SUBCASE("leave only their pause if the others are leaving")
  {
    fixture.notices.RecordLeaving({ core::TargetId("s2"), 0 }, fixture.now);
    CHECK(PauseOf(fixture.View(), kPlainService) == 3s);
  }
}
