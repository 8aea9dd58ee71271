#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <plantainslip/serving/stage_demand.hpp>
#include <plantainslip/serving/stage_plan.hpp>

using namespace plantainslip;          // NOLINT(google-build-using-namespace)
using namespace plantainslip::serving; // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

const core::ServiceName kModels("models");
const core::InstanceId kOne("one");
const core::InstanceId kTwo("two");
constexpr StageChangeCosts kCosts;

EngineLimits
Limits()
{
  EngineLimits limits;
  limits.slots = 64;
  limits.cacheTokens = 500'000;
  limits.bytesPerToken = 35'000;
  limits.linkMbps = 740'000.0;
  limits.stageChangeDuration = 3s;
  return limits;
}

// Prompts of 5,000 tokens at 60 tokens per millisecond, and short answers.
StageDemand
LongPrompts(double aPromptsPerSecond)
{
  StageDemand demand;
  demand.promptsPerSecond = aPromptsPerSecond;
  demand.meanPrefillMs = 83.0;
  demand.busyPrefillEngines = aPromptsPerSecond * 0.083;
  demand.meanSlackMs = 500.0;
  demand.openStreams = aPromptsPerSecond * 0.1;
  demand.streamTokens = demand.openStreams * 5'000.0;
  demand.handoverTokensPerSecond = aPromptsPerSecond * 5'000.0;
  return demand;
}

// Short prompts, and answers that take four seconds.
StageDemand
LongAnswers(double aPromptsPerSecond)
{
  StageDemand demand = LongPrompts(aPromptsPerSecond);
  demand.meanPrefillMs = 8.0;
  demand.busyPrefillEngines = aPromptsPerSecond * 0.008;
  demand.openStreams = aPromptsPerSecond * 4.0;
  demand.streamTokens = demand.openStreams * 500.0;
  demand.handoverTokensPerSecond = aPromptsPerSecond * 500.0;
  return demand;
}

DemandTotals
Counted(double aPrompts)
{
  DemandTotals totals;
  totals.prompts = aPrompts;
  totals.prefillMs = aPrompts * 10.0;
  totals.streamMs = aPrompts / 2.0;
  return totals;
}

} // namespace

TEST_CASE("the split of the engines follows the measured lateness")
{
  const StageSplit half{ 9, 9 };
  StageDemand lateInPrefill = LongPrompts(80.0);
  lateInPrefill.prefillLateShare = 0.2;
  StageDemand lateInDecode = LongAnswers(60.0);
  lateInDecode.decodeLateShare = 0.2;
  SUBCASE("long prompts with short answers get more prefilling engines")
  {
    const StageSplit planned = PlanStageSplit(lateInPrefill, Limits(), half, 1, kCosts);
    CHECK(planned.prefill > 9);
    CHECK(planned.prefill + planned.decode == 18);
  }
  SUBCASE("long answers get more decoding engines, and the way back is found")
  {
    const StageSplit few{ 14, 4 };
    const StageSplit planned = PlanStageSplit(lateInDecode, Limits(), few, 1, kCosts);
    CHECK(planned.decode > 6);
    CHECK(PlanStageSplit(lateInPrefill, Limits(), planned, 1, kCosts).decode < planned.decode);
  }
  SUBCASE("nothing changes while no prompt is late, or while the others would become late")
  {
    CHECK(PlanStageSplit(LongPrompts(80.0), Limits(), half, 1, kCosts).decode == 9);
    CHECK(PlanStageSplit(LongAnswers(60.0), Limits(), half, 1, kCosts).decode == 9);
    StageDemand full = LongAnswers(100.0);
    full.prefillLateShare = 0.2;
    CHECK(PlanStageSplit(full, Limits(), half, 1, kCosts).decode == 9);
  }
  SUBCASE("a change that costs more than it gains is not made")
  {
    StageChangeCosts dear;
    dear.requestsPerOrder = 1e6;
    CHECK(PlanStageSplit(lateInPrefill, Limits(), half, 1, dear).decode == 9);
    EngineLimits slow = Limits();
    slow.stageChangeDuration = 1'000s;
    CHECK(PlanStageSplit(lateInPrefill, slow, half, 1, kCosts).decode == 9);
  }
  SUBCASE("each zone can keep a decoding engine")
  {
    StageDemand demand = LongPrompts(400.0);
    demand.prefillLateShare = 0.9;
    CHECK(PlanStageSplit(demand, Limits(), half, 3, kCosts).decode >= 3);
  }
}

TEST_CASE("small batches, small memory and slow links bind a split like busy engines")
{
  const StageSplit half{ 9, 9 };
  const StageDemand answers = LongAnswers(20.0);
  EngineLimits narrow = Limits();
  narrow.slots = 8;
  EngineLimits small = Limits();
  small.cacheTokens = 5'000;
  EngineLimits slow = Limits();
  slow.linkMbps = 15'000.0;
  EngineLimits unknown = Limits();
  unknown.linkMbps = 0.0;
  CHECK(TheoreticalLateShares(answers, Limits(), half).decode < 0.01);
  CHECK(TheoreticalLateShares(answers, narrow, half).decode > 0.5);
  CHECK(TheoreticalLateShares(answers, small, half).decode > 0.5);
  const StageDemand prompts = LongPrompts(100.0);
  CHECK(TheoreticalLateShares(prompts, Limits(), half).transfer < 0.01);
  CHECK(TheoreticalLateShares(prompts, slow, half).transfer > 0.1);
  CHECK(TheoreticalLateShares(prompts, unknown, half).transfer == 0.0);
}

TEST_CASE("a planned split is never expected to make more requests late than the present one")
{
  CHECK(rc::check([] {
    const auto number = [](int aLeast, int aMost) {
      return static_cast<double>(*rc::gen::inRange(aLeast, aMost + 1));
    };
    StageDemand demand;
    demand.promptsPerSecond = number(1, 5'000);
    demand.meanPrefillMs = number(1, 2'000);
    demand.busyPrefillEngines = demand.promptsPerSecond * demand.meanPrefillMs / 1'000.0;
    demand.meanSlackMs = number(0, 2'000);
    demand.openStreams = number(0, 20'000);
    demand.streamTokens = demand.openStreams * number(100, 50'000);
    demand.handoverTokensPerSecond = demand.promptsPerSecond * number(100, 50'000);
    demand.prefillLateShare = number(0, 100) / 100.0;
    demand.decodeLateShare = number(0, 100) / 100.0;
    EngineLimits limits = Limits();
    limits.slots = *rc::gen::inRange<std::uint64_t>(1, 257);
    const auto engines = *rc::gen::inRange<std::size_t>(2, 300);
    const auto decode = *rc::gen::inRange<std::size_t>(1, engines);
    const StageSplit current{ engines - decode, decode };
    const StageSplit planned = PlanStageSplit(demand, limits, current, 1, kCosts);
    RC_ASSERT(planned.prefill >= 1U);
    RC_ASSERT(planned.decode >= 1U);
    RC_ASSERT(planned.prefill + planned.decode == engines);
    RC_ASSERT(ExtrapolatedLateShare(demand, limits, current, planned) <=
              ExtrapolatedLateShare(demand, limits, current, current));
  }));
}

TEST_CASE("the goal for a service")
{
  FleetSnapshot fleet;
  for (int engine = 0; engine < 12; ++engine) {
    Target target;
    target.id = core::TargetId("e" + std::to_string(engine));
    target.service = kModels;
    target.zone = core::ZoneId(engine % 2 == 0 ? "a" : "b");
    target.stage = engine < 6 ? EngineStage::kPrefill : EngineStage::kDecode;
    fleet.targets.emplace(target.id, target);
  }
  Service service;
  service.name = kModels;
  service.engine = Limits();
  SUBCASE("follows from the batch slots while neither demand nor share is known")
  {
    const StageGoal goal = ChooseStageGoal(fleet, service, std::nullopt, std::nullopt, kCosts);
    CHECK(goal.decodeShare == InitialDecodeShare(64));
    CHECK(InitialDecodeShare(128) < InitialDecodeShare(64));
    CHECK(InitialDecodeShare(16) <= 0.5);
    CHECK(InitialDecodeShare(0) <= 0.5);
  }
  SUBCASE("is the configured share while the demand is unknown")
  {
    const StageGoal goal = ChooseStageGoal(fleet, service, std::nullopt, 0.3, kCosts);
    CHECK(goal.decodeShare == 0.3);
    CHECK_FALSE(goal.onlyMissingStages);
  }
  SUBCASE("is the present split while no change pays")
  {
    const StageGoal goal = ChooseStageGoal(fleet, service, LongPrompts(5.0), 0.3, kCosts);
    CHECK(goal.onlyMissingStages);
    CHECK(PlanStages(fleet, kModels, goal).empty());
  }
  SUBCASE("leaves a decoding engine in each zone under any demand")
  {
    StageDemand demand = LongPrompts(60.0);
    demand.openStreams = 1.0;
    demand.streamTokens = 5'000.0;
    demand.handoverTokensPerSecond = 0.0;
    demand.prefillLateShare = 0.9;
    const StageGoal goal = ChooseStageGoal(fleet, service, demand, 0.3, kCosts);
    CHECK(goal.decodeShare == doctest::Approx(2.0 / 12.0));
    CHECK(PlanStages(fleet, kModels, goal).size() == 4);
  }
}

// Guards against a fleet that is scaled in and left with the wrong stages: targets are given up
// without regard to their stage, and new ones may all arrive in the same one.
TEST_CASE(
  "a fleet that is scaled keeps both stages in each zone and the split that its demand needs")
{
  Service service;
  service.name = kModels;
  service.engine = Limits();
  service.engine->slots = 12;
  service.scaling = ScalingLimits{};
  FleetSnapshot fleet;
  const auto add = [&](const char* aZone, EngineStage aStage, int aCount) {
    for (int engine = 0; engine < aCount; ++engine) {
      Target target;
      target.id = core::TargetId("e" + std::to_string(fleet.targets.size()));
      target.service = kModels;
      target.zone = core::ZoneId(aZone);
      target.stage = aStage;
      target.startedAt = fleet.targets.size();
      fleet.targets.emplace(target.id, target);
    }
  };
  const auto plan = [&](const StageDemand& aDemand) {
    return PlanStages(
      fleet, kModels, ChooseStageGoal(fleet, service, aDemand, std::nullopt, kCosts));
  };
  const auto apply = [&](const std::vector<StageChange>& aChanges) {
    for (const StageChange& change : aChanges) {
      fleet.targets.at(change.target.id).stage = change.stage;
    }
  };
  StageDemand demand;
  demand.promptsPerSecond = 150.0;
  demand.busyPrefillEngines = 12.0;
  demand.openStreams = 50.0;
  SUBCASE("after 140 engines became 50 and most of those left are in one stage")
  {
    bool decodeLeft = false;
    SUBCASE("prefill") {}
    SUBCASE("decode")
    {
      decodeLeft = true;
    }
    for (const char* zone : { "a", "b", "c", "d" }) {
      add(zone, decodeLeft ? EngineStage::kDecode : EngineStage::kPrefill, 11);
      add(zone, decodeLeft ? EngineStage::kPrefill : EngineStage::kDecode, 1);
    }
    apply(plan(demand));
    const StageSplit split = CountStages(fleet, kModels);
    const StageNeed need = NeededEngines(demand, *service.engine);
    CHECK(std::abs(static_cast<double>(split.decode) - 48.0 * need.decode / need.Total()) <= 2.0);
    for (const double swing : { 0.85, 1.0, 1.15 }) {
      StageDemand swung = demand;
      swung.busyPrefillEngines *= swing;
      swung.openStreams *= 2.0 - swing;
      CHECK(plan(swung).empty());
    }
  }
  SUBCASE("in zones with one or two engines")
  {
    demand.busyPrefillEngines = 0.5;
    demand.openStreams = 2.0;
    add("a", EngineStage::kPrefill, 1);
    add("b", EngineStage::kPrefill, 2);
    add("c", EngineStage::kDecode, 3);
    add("d", EngineStage::kPrefill, 1);
    add("d", EngineStage::kDecode, 1);
    std::prev(fleet.targets.end())->second.leaving = true;
    const auto changes = plan(demand);
    apply(changes);
    CHECK(changes.size() >= 2);
    for (const StageChange& change : changes) {
      CHECK((change.target.zone == core::ZoneId("b") || change.target.zone == core::ZoneId("c")));
    }
    CHECK(plan(demand).empty());
  }
}

TEST_CASE("the demand of all instances is summed")
{
  FleetDemand fleet;
  DemandTable one{ { kModels, Counted(10.0) } };
  DemandTable two{ { kModels, Counted(4.0) } };
  fleet.SetReport(kOne, one);
  fleet.SetReport(kTwo, two);
  SUBCASE("from the first report of each on, whatever reports are lost in between")
  {
    one[kModels].prompts = 25.0;
    fleet.SetReport(kOne, one);
    two[kModels].prompts = 5.0;
    fleet.SetReport(kTwo, two);
    CHECK(fleet.Totals().at(kModels).prompts == 16.0);
  }
  SUBCASE("by the zones of the instances, too")
  {
    one[kModels].prompts = 25.0;
    fleet.SetReport(kOne, one, core::ZoneId("a"));
    two[kModels].prompts = 5.0;
    fleet.SetReport(kTwo, two, core::ZoneId("b"));
    CHECK(fleet.ZoneTotals().at(core::ZoneId("a")).at(kModels).prompts == 15.0);
    CHECK(fleet.ZoneTotals().at(core::ZoneId("b")).at(kModels).prompts == 1.0);
  }
  SUBCASE("and an instance that has just started knows of traffic before its start")
  {
    CHECK(fleet.HasTraffic());
    FleetDemand idle;
    idle.SetReport(kOne, { { kModels, DemandTotals{} } });
    CHECK_FALSE(idle.HasTraffic());
  }
  SUBCASE("and an instance that was restarted counts from zero again")
  {
    one[kModels] = Counted(3.0);
    fleet.SetReport(kOne, one);
    CHECK(fleet.Totals().at(kModels).prompts == 3.0);
  }
  SUBCASE("and the work of an instance that is gone stays counted")
  {
    one[kModels].prompts = 12.0;
    fleet.SetReport(kOne, one);
    fleet.RemoveUnknown([](const core::InstanceId& aId) { return aId == kTwo; });
    CHECK(fleet.Totals().at(kModels).prompts == 2.0);
  }
}

TEST_CASE("the present demand is estimated from what an instance counts")
{
  DemandMeter meter;
  DemandEstimator estimator;
  core::MonotonicTime now{};
  const auto observe = [&](std::chrono::milliseconds aDuration, int aPromptsPerSecond) {
    constexpr auto kStep = 100ms;
    for (auto passed = 0ms; passed < aDuration; passed += kStep) {
      for (int prompt = 0; prompt < aPromptsPerSecond / 10; ++prompt) {
        meter.AddPrompt(kModels, 50.0, 400ms);
        meter.BeginStream(kModels, 8'000, true, now);
      }
      now += kStep;
      for (int prompt = 0; prompt < aPromptsPerSecond / 10; ++prompt) {
        meter.EndStream(kModels, 8'000, now);
        meter.AddLate(kModels, 0.1, 0.2);
      }
      const DemandTable totals = meter.Totals(now);
      const auto found = totals.find(kModels);
      estimator.Update(found == totals.end() ? DemandTotals{} : found->second, now);
    }
  };
  observe(5s, 0);
  SUBCASE("there is none before traffic has been seen for some time")
  {
    CHECK_FALSE(estimator.Current().has_value());
    observe(3s, 40);
    CHECK_FALSE(estimator.Current().has_value());
  }
  observe(7s, 40);
  REQUIRE(estimator.Current().has_value());
  SUBCASE("it is unbiased from the first estimate on")
  {
    const StageDemand demand = *estimator.Current();
    CHECK(demand.promptsPerSecond == doctest::Approx(40.0).epsilon(0.1));
    CHECK(demand.busyPrefillEngines == doctest::Approx(2.0).epsilon(0.1));
    CHECK(demand.meanPrefillMs == doctest::Approx(50.0));
    CHECK(demand.meanSlackMs == doctest::Approx(400.0));
    CHECK(demand.openStreams == doctest::Approx(4.0).epsilon(0.1));
    CHECK(demand.streamTokens == doctest::Approx(32'000.0).epsilon(0.1));
    CHECK(demand.handoverTokensPerSecond == doctest::Approx(320'000.0).epsilon(0.1));
    CHECK(demand.prefillLateShare == doctest::Approx(0.1).epsilon(0.1));
    CHECK(demand.decodeLateShare == doctest::Approx(0.2).epsilon(0.1));
  }
  SUBCASE("it follows a change within a few time constants")
  {
    observe(3 * DemandEstimator::kTimeConstant, 120);
    CHECK(estimator.Current()->promptsPerSecond == doctest::Approx(116.0).epsilon(0.05));
  }
}
