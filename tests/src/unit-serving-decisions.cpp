#include <doctest/doctest.h>

#include <plantainslip/serving/admission_rule.hpp>
#include <plantainslip/serving/dispatch_rule.hpp>
#include <plantainslip/serving/placement.hpp>
#include <plantainslip/serving/stage_plan.hpp>

using namespace plantainslip;          // NOLINT(google-build-using-namespace)
using namespace plantainslip::serving; // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

const core::ServiceName kModels("models");
const core::ServiceName kDesk("desk");

Target
Engine(const std::string& aId, const std::string& aZone, EngineStage aStage)
{
  Target target;
  target.id = core::TargetId(aId);
  target.service = kModels;
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
  target.service = kDesk;
  target.slots = 6;
  return target;
}

PromptFacts
Prompt(std::uint64_t aShared, std::uint64_t aOwn, std::uint64_t aKey = 7)
{
  PromptFacts prompt;
  prompt.promptTokens = aShared + aOwn;
  prompt.parts = { { aKey, aShared }, { 1'000 + aKey, aOwn } };
  return prompt;
}

struct World
{
  FleetSnapshot fleet;
  LoadBook loads;
  TargetHealth health;
  PrefillModel prefill;
  core::MonotonicTime now{};

  void Add(const Target& aTarget) { this->fleet.targets.emplace(aTarget.id, aTarget); }

  PlacementView View() const
  {
    return { this->fleet, this->loads, this->health, this->prefill, core::ZoneId("a"), this->now };
  }
};

TargetLoad
Tokens(std::size_t aPriority, double aTokens)
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

TEST_CASE("a shared part is read at one engine while that engine is free")
{
  World world;
  for (const char* id : { "p1", "p2", "p3", "p4" }) {
    world.Add(Engine(id, "a", EngineStage::kPrefill));
  }
  const auto first = ChoosePrefill(world.View(), kModels, Prompt(5'000, 500), 400ms, {});
  REQUIRE(first.has_value());

  SUBCASE("other prompts with the part follow it")
  {
    const auto next = ChoosePrefill(world.View(), kModels, Prompt(5'000, 900), 400ms, {});
    CHECK(next->target.id == first->target.id);
  }
  SUBCASE("a burst at its home goes to one other engine, which fetches the part from the home")
  {
    world.loads.Add(first->target.id, Tokens(0, 40'000));
    const auto next = ChoosePrefill(world.View(), kModels, Prompt(5'000, 900), 400ms, {});
    CHECK(next->target.id != first->target.id);
    CHECK(next->fetchFrom == first->target.address);
    const auto again = ChoosePrefill(world.View(), kModels, Prompt(5'000, 100), 400ms, {});
    CHECK(again->target.id == next->target.id);
  }
  SUBCASE("a home that leaves still gives the part to the one that takes its place")
  {
    world.fleet.targets.at(first->target.id).leaving = true;
    const auto next = ChoosePrefill(world.View(), kModels, Prompt(5'000, 900), 400ms, {});
    CHECK(next->target.id != first->target.id);
    CHECK(next->fetchFrom == first->target.address);
  }
  SUBCASE("parts spread over the engines")
  {
    std::map<core::TargetId, int> counts;
    for (std::uint64_t key = 1; key <= 400; ++key) {
      ++counts[ChoosePrefill(world.View(), kModels, Prompt(5'000, 1, key), 400ms, {})->target.id];
    }
    CHECK(counts.size() == 4);
    for (const auto& [id, count] : counts) {
      CHECK(count > 50);
    }
  }
}

TEST_CASE("leaving, tried and decoding engines read no prompts")
{
  World world;
  Target leaving = Engine("p1", "a", EngineStage::kPrefill);
  leaving.leaving = true;
  world.Add(leaving);
  world.Add(Engine("p2", "a", EngineStage::kPrefill));
  world.Add(Engine("d1", "a", EngineStage::kDecode));
  const core::TargetId tried("p2");
  CHECK(ChoosePrefill(world.View(), kModels, Prompt(0, 10), 400ms, {})->target.id == tried);
  CHECK_FALSE(ChoosePrefill(world.View(), kModels, Prompt(0, 10), 400ms, { tried }).has_value());
}

TEST_CASE("the prompt that can wait least comes first")
{
  World world;
  world.Add(Engine("p1", "a", EngineStage::kPrefill));
  const auto priority = [&](std::uint64_t aOwn, milliseconds aSlack) {
    return ChoosePrefill(world.View(), kModels, Prompt(0, aOwn), aSlack, {})->priority;
  };
  SUBCASE("a long prompt with the same objective goes before a short one")
  {
    CHECK(priority(15'000, 500ms) < priority(1'000, 500ms));
  }
  SUBCASE("a prompt that is late whatever happens comes last")
  {
    CHECK(priority(60'000, 500ms) == kPriorityLevels - 1);
    CHECK(priority(100, 0ms) == kPriorityLevels - 1);
  }
  SUBCASE("so does one whose queue alone makes it late")
  {
    world.loads.Add(core::TargetId("p1"), Tokens(0, 100'000));
    CHECK(priority(1'000, 500ms) == kPriorityLevels - 1);
  }
  SUBCASE("less urgent prompts do not count as a wait")
  {
    world.loads.Add(core::TargetId("p1"), Tokens(9, 100'000));
    const auto place = ChoosePrefill(world.View(), kModels, Prompt(0, 1'000), 500ms, {});
    CHECK(place->wait == 0ms);
  }
}

TEST_CASE("a prompt is refused only if its caller would leave before the first event")
{
  PrefillPlace place;
  place.reading = 100ms;
  SUBCASE("a late one is served")
  {
    place.wait = 900ms;
    CHECK_FALSE(DecideRefusal(StreamRoute(), place, 0ms).has_value());
  }
  SUBCASE("one that would be left is refused at once and told when to come back")
  {
    place.wait = 3'000ms;
    const auto wait = DecideRefusal(StreamRoute(), place, 0ms);
    REQUIRE(wait.has_value());
    CHECK(*wait >= 150ms);
    CHECK(*wait <= 2'000ms);
  }
  SUBCASE("time already spent counts")
  {
    place.wait = 900ms;
    CHECK(DecideRefusal(StreamRoute(), place, 600ms).has_value());
  }
  SUBCASE("callers of slow routes wait longer")
  {
    Route route = StreamRoute();
    route.eventGap = 1'000ms;
    place.wait = 3'000ms;
    CHECK_FALSE(DecideRefusal(route, place, 0ms).has_value());
  }
}

TEST_CASE("an instance that stops takes only what can end before it")
{
  Route stream = StreamRoute();
  stream.kind = RequestKind::kStream;
  stream.timeout = 10s;
  CHECK(TakenDuringStop(stream, 1'000ms, 6'300ms));
  CHECK_FALSE(TakenDuringStop(stream, 4'900ms, 2'400ms));
  Route plain;
  plain.kind = RequestKind::kAtMostOnce;
  plain.timeout = 800ms;
  CHECK(TakenDuringStop(plain, 4'900ms, 2'400ms));
  CHECK_FALSE(TakenDuringStop(plain, 6'900ms, 400ms));
}

TEST_CASE("prompts that can wait are kept back while their engine is busy")
{
  CHECK(SendsNow(0.0, kPriorityLevels - 1));
  CHECK_FALSE(SendsNow(50'000.0, kPriorityLevels - 1));
  CHECK(SendsNow(1'000'000.0, 0));
  for (std::size_t level = 1; level < kPriorityLevels; ++level) {
    for (const double queued : { 2'000.0, 6'000.0, 10'000.0, 20'000.0 }) {
      // Whatever sends a prompt sends every more urgent one.
      CHECK((!SendsNow(queued, level) || SendsNow(queued, level - 1)));
    }
  }
}

TEST_CASE("output is made where batches are emptiest, near the cache")
{
  World world;
  world.Add(Engine("d1", "a", EngineStage::kDecode));
  world.Add(Engine("d2", "b", EngineStage::kDecode));
  const core::TargetId near("d1");
  const core::TargetId far("d2");
  CHECK(ChooseDecode(world.View(), kModels, core::ZoneId("a"), {})->id == near);
  SUBCASE("a full batch sends it to the other zone")
  {
    world.loads.Add(near, { 60.0, {} });
    CHECK(ChooseDecode(world.View(), kModels, core::ZoneId("a"), {})->id == far);
  }
  SUBCASE("an engine that cannot be reached is avoided, and tried again by itself")
  {
    world.health.Record(near, AttemptResult::kUnreachable, world.now);
    CHECK(ChooseDecode(world.View(), kModels, core::ZoneId("a"), {})->id == far);
    world.now += TargetHealth::kLongestAvoidance;
    CHECK(ChooseDecode(world.View(), kModels, core::ZoneId("a"), {})->id == near);
  }
  SUBCASE("avoided engines are used when nothing else is left")
  {
    world.health.Record(near, AttemptResult::kUnreachable, world.now);
    CHECK(ChooseDecode(world.View(), kModels, core::ZoneId("a"), { far })->id == near);
  }
}

TEST_CASE("plain calls go to the least loaded target and away from failing ones")
{
  World world;
  world.Add(Plain("s1", "a"));
  world.Add(Plain("s2", "b"));
  const core::TargetId own("s1");
  const core::TargetId other("s2");
  CHECK(ChoosePlain(world.View(), kDesk, {})->id == own);
  SUBCASE("load of other instances counts")
  {
    world.loads.SetPeer(core::InstanceId("peer"), { { own, { 2.0, {} } } }, world.now);
    CHECK(ChoosePlain(world.View(), kDesk, {})->id == other);
    world.now += LoadBook::kReportLifetime + 1ms;
    CHECK(ChoosePlain(world.View(), kDesk, {})->id == own);
  }
  SUBCASE("failures count as load and are forgotten by successes")
  {
    for (int attempt = 0; attempt < 10; ++attempt) {
      world.health.Record(own, AttemptResult::kFailed, world.now);
    }
    CHECK(ChoosePlain(world.View(), kDesk, {})->id == other);
    for (int attempt = 0; attempt < 40; ++attempt) {
      world.health.Record(own, AttemptResult::kAnswered, world.now);
    }
    CHECK(ChoosePlain(world.View(), kDesk, {})->id == own);
  }
}

TEST_CASE("caches on their way pile up at a slow link, and others are sent elsewhere")
{
  World world;
  const auto pile = [&](const char* aId) {
    TargetLoad load;
    load.handovers = 20.0;
    world.loads.Add(core::TargetId(aId), load);
  };
  SUBCASE("of an engine that is to take them")
  {
    world.Add(Engine("d1", "a", EngineStage::kDecode));
    world.Add(Engine("d2", "a", EngineStage::kDecode));
    const auto first = ChooseDecode(world.View(), kModels, core::ZoneId("a"), {});
    pile(first->id.Text().c_str());
    CHECK(ChooseDecode(world.View(), kModels, core::ZoneId("a"), {})->id != first->id);
  }
  SUBCASE("of an engine that is to give them")
  {
    world.Add(Engine("p1", "a", EngineStage::kPrefill));
    world.Add(Engine("p2", "a", EngineStage::kPrefill));
    const auto first = ChoosePrefill(world.View(), kModels, Prompt(1'000, 500), 400ms, {});
    pile(first->target.id.Text().c_str());
    const auto next = ChoosePrefill(world.View(), kModels, Prompt(1'000, 500), 400ms, {});
    CHECK(next->target.id != first->target.id);
  }
}

TEST_CASE("a short prompt does not join an engine that is busy with long ones which can wait")
{
  World world;
  world.Add(Engine("p1", "a", EngineStage::kPrefill));
  world.Add(Engine("p2", "a", EngineStage::kPrefill));
  const auto first = ChoosePrefill(world.View(), kModels, Prompt(0, 500), 100ms, {});
  world.loads.Add(first->target.id, Tokens(kPriorityLevels - 1, 50'000));
  const auto next = ChoosePrefill(world.View(), kModels, Prompt(0, 500), 100ms, {});
  CHECK(next->target.id != first->target.id);
}

TEST_CASE("a target that peers cannot reach")
{
  World world;
  world.Add(Engine("d1", "a", EngineStage::kDecode));
  world.Add(Engine("d2", "b", EngineStage::kDecode));
  const auto chosen = [&] {
    return ChooseDecode(world.View(), kModels, core::ZoneId("a"), {})->id.Text();
  };
  const std::vector<core::TargetId> word = { core::TargetId("d1") };
  REQUIRE(chosen() == "d1");
  world.health.SetPeer(core::InstanceId("one"), word, world.now);
  SUBCASE("is used on the word of one, who may be cut off")
  {
    CHECK(chosen() == "d1");
  }
  world.health.SetPeer(core::InstanceId("two"), word, world.now);
  SUBCASE("is passed over on the word of two, though this instance has not tried it")
  {
    CHECK(chosen() == "d2");
    CHECK(world.health.Unreachable(world.now).empty());
  }
  SUBCASE("is used if it has just answered here")
  {
    world.health.Record(core::TargetId("d1"), AttemptResult::kAnswered, world.now);
    CHECK(chosen() == "d1");
  }
  SUBCASE("is used again when they reach it or fall silent")
  {
    world.health.SetPeer(core::InstanceId("two"), {}, world.now);
    CHECK(chosen() == "d1");
    world.health.SetPeer(core::InstanceId("two"), word, world.now);
    world.now += TargetHealth::kWordLifetime + 1ms;
    CHECK(chosen() == "d1");
  }
  SUBCASE("is avoided like one at whose address another process answers")
  {
    const core::TargetId moved("d1");
    TargetHealth health;
    health.Record(moved, AttemptResult::kMisdirected, world.now);
    CHECK(health.Avoided(moved, world.now));
    health.Record(moved, AttemptResult::kRefused, world.now);
    CHECK_FALSE(health.Avoided(moved, world.now));
  }
  SUBCASE("is told to others only by those who have tried it")
  {
    world.health.Record(core::TargetId("d2"), AttemptResult::kUnreachable, world.now);
    CHECK(world.health.Unreachable(world.now) == std::vector{ core::TargetId("d2") });
  }
}

TEST_CASE("a target that failed once is used again in time though others are idle")
{
  World world;
  world.Add(Plain("s1", "a"));
  world.Add(Plain("s2", "a"));
  const auto chosen = [&] { return ChoosePlain(world.View(), kDesk, {})->id; };
  const core::TargetId first = chosen();
  world.health.Record(first, AttemptResult::kFailed, world.now);
  REQUIRE(chosen() != first);
  world.now += 60s;
  CHECK(chosen() == first);
}

TEST_CASE("the time to read a prompt is learnt for each engine")
{
  PrefillModel model;
  const core::TargetId slow("slow");
  const core::TargetId fast("fast");
  for (int call = 0; call < 200; ++call) {
    model.Learn(slow, 5'000.0, PrefillModel::kOverhead + 125ms);
    model.Learn(fast, 5'000.0, PrefillModel::kOverhead + 50ms);
  }
  CHECK(model.Duration(slow, 4'000.0).count() == doctest::Approx(100).epsilon(0.05));
  CHECK(model.Duration(fast, 4'000.0).count() == doctest::Approx(40).epsilon(0.05));
  SUBCASE("calls that took less than the overhead do not spoil it")
  {
    model.Learn(fast, 10.0, 5ms);
    CHECK(model.Duration(fast, 4'000.0).count() == doctest::Approx(40).epsilon(0.1));
  }
}

TEST_CASE("stages are planned for the whole service, with both at work in each zone")
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
  SUBCASE("the shares of the zones add up to the service's")
  {
    int total = 0;
    for (const auto& [zone, decoding] : after(PlanStages(fleet, kModels, goal))) {
      CHECK(decoding >= 2);
      CHECK(decoding <= 3);
      total += decoding;
    }
    CHECK(total == 8);
    CHECK(PlanStages(fleet, kModels, goal).empty());
  }
  SUBCASE("a zone keeps one engine of each stage whatever the share")
  {
    goal.decodeShare = 0.01;
    for (const auto& [zone, decoding] : after(PlanStages(fleet, kModels, goal))) {
      CHECK(decoding == 1);
    }
  }
  SUBCASE("a shortfall within the tolerance costs no order")
  {
    goal.decodeShare = 0.84;
    goal.tolerated = 1;
    CHECK(PlanStages(fleet, kModels, goal).size() == 3);
    fleet.targets.at(core::TargetId("a0")).stage = EngineStage::kPrefill;
    fleet.targets.at(core::TargetId("b0")).stage = EngineStage::kPrefill;
    fleet.targets.at(core::TargetId("c0")).stage = EngineStage::kPrefill;
    goal.decodeShare = 0.7;
    CHECK(PlanStages(fleet, kModels, goal).empty());
  }
  SUBCASE("the youngest engines change, which hold the least")
  {
    fleet.targets.at(core::TargetId("a4")).startedAt = 2'000;
    fleet.targets.at(core::TargetId("a2")).startedAt = 1'000;
    goal.decodeShare = 0.67;
    std::vector<std::string> changed;
    for (const StageChange& change : PlanStages(fleet, kModels, goal)) {
      if (change.target.zone == core::ZoneId("a")) {
        changed.push_back(change.target.id.Text());
      }
    }
    CHECK(changed == std::vector<std::string>{ "a4", "a2" });
  }
  SUBCASE("small batches need more engines that decode")
  {
    CHECK(StartingGoal(128).decodeShare < StartingGoal(64).decodeShare);
    CHECK(StartingGoal(16).decodeShare <= 0.5);
    CHECK(StartingGoal(0).decodeShare <= 0.5);
  }
}

TEST_CASE("stages are planned during a release, but not while the first targets come")
{
  CHECK_FALSE(ToleratedShortfall(100ms, false).has_value());
  CHECK(ToleratedShortfall(kSettledAfter, false) == 0);
  CHECK(ToleratedShortfall(kSettledAfter, true) == 0);
  // One engine of a stage too few may be made up for by the next one that comes; two may not.
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
  goal.tolerated = *ToleratedShortfall(100ms, true);
  CHECK(PlanStages(fleet, kModels, goal).empty());
  add("d3", EngineStage::kDecode);
  add("d4", EngineStage::kDecode);
  CHECK(PlanStages(fleet, kModels, goal).size() >= 2);
}
