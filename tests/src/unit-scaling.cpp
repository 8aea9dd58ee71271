#include <cmath>
#include <deque>
#include <set>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "directory_wire.hpp"
#include "duty_wire.hpp"
#include "scaling_duty.hpp"

using namespace plantainslip;          // NOLINT(google-build-using-namespace)
using namespace plantainslip::serving; // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

const core::ServiceName kModels("models");
constexpr milliseconds kStartup = 4s;
constexpr double kReclaimablePrice = 0.18;

Service
Models()
{
  Service service;
  service.name = kModels;
  service.engine = EngineLimits{};
  service.engine->slots = 12;
  service.engine->cacheTokens = 388'684;
  service.scaling = ScalingLimits{ 1, 70, kStartup, kReclaimablePrice, {} };
  service.scaling->zonePrices = { { core::ZoneId("a"), 0.85 },
                                  { core::ZoneId("b"), 1.2 },
                                  { core::ZoneId("c"), 1.0 },
                                  { core::ZoneId("d"), 1.1 } };
  return service;
}

// Demand that keeps a number of engines busy, three quarters of them with prefilling.
StageDemand
Busy(double aEngines)
{
  StageDemand demand;
  demand.promptsPerSecond = 10.0 * aEngines;
  demand.busyPrefillEngines = 0.75 * aEngines;
  demand.openStreams = 0.25 * aEngines * 12.0;
  return demand;
}

// Platform that carries out orders at once and starts targets after their start-up time.
class Cloud final : public DutyCalls
{
public:
  using Key = std::pair<std::string, bool>;

  struct Group
  {
    std::uint64_t desired = 0;
    std::vector<core::TargetId> serving;
    std::deque<core::MonotonicTime> starting;
  };

  explicit Cloud(const core::Clock& aClock)
    : clock(aClock)
  {
    const Service service = Models();
    for (const auto& [zone, price] : service.scaling->zonePrices) {
      this->groups[{ zone.Text(), false }].desired = 35;
      this->groups[{ zone.Text(), true }].desired = 0;
    }
    this->Fill(0s);
    this->Step();
  }

  bool MayCall() const override { return true; }

  Task<CallOutcome> Call(std::string, std::string, PlatformCall aCall) override
  {
    this->bodies.push_back(aCall.body);
    const auto body = nlohmann::json::parse(aCall.body);
    const Key key{ body["zone"], body.value("useSpot", false) };
    if (this->lostAnswers > 0) {
      --this->lostAnswers;
      co_return CallOutcome::kUnknown;
    }
    Group& group = this->groups.at(key);
    const auto wanted = body["desiredCount"].get<std::uint64_t>();
    if (this->refused.contains(key) && wanted > group.desired) {
      co_return CallOutcome::kRefused;
    }
    this->orders[key].push_back(static_cast<double>(wanted) - static_cast<double>(group.desired));
    group.desired = wanted;
    this->Fill(kStartup);
    co_return CallOutcome::kDone;
  }

  // Starts what is due, and sums the cost of a second.
  void Step()
  {
    for (auto& [key, group] : this->groups) {
      while (!group.starting.empty() && group.starting.front() <= this->clock.Now()) {
        group.starting.pop_front();
        this->Add(key, group);
      }
      const double price = Models().scaling->zonePrices.at(core::ZoneId(key.first));
      this->cost += price * (key.second ? kReclaimablePrice : 1.0) *
                    static_cast<double>(group.serving.size() + group.starting.size());
    }
  }

  // Announces that all reclaimable targets of a zone leave, and has no more there.
  void Reclaim(const std::string& aZone)
  {
    Group& group = this->groups.at({ aZone, true });
    for (const core::TargetId& id : group.serving) {
      this->targets.at(id).leaving = true;
    }
    group = {};
    this->refused.insert({ aZone, true });
  }

  std::uint64_t Serving(const std::string& aZone) const
  {
    return this->groups.at({ aZone, false }).serving.size() +
           this->groups.at({ aZone, true }).serving.size();
  }

  std::uint64_t Desired(bool aReclaimable) const
  {
    std::uint64_t sum = 0;
    for (const auto& [key, group] : this->groups) {
      sum += key.second == aReclaimable ? group.desired : 0;
    }
    return sum;
  }

  std::map<core::TargetId, Target> targets;
  std::map<Key, Group> groups;
  std::map<Key, std::vector<double>> orders;
  std::set<Key> refused;
  std::vector<std::string> bodies;
  int lostAnswers = 0;
  double cost = 0.0;

private:
  void Add(const Key& aKey, Group& aGroup)
  {
    Target target;
    target.id = core::TargetId("t" + std::to_string(++this->lastNumber));
    target.service = kModels;
    target.zone = core::ZoneId(aKey.first);
    target.reclaimable = aKey.second;
    target.stage = this->lastNumber % 2 == 0 ? EngineStage::kPrefill : EngineStage::kDecode;
    this->targets.emplace(target.id, target);
    aGroup.serving.push_back(target.id);
  }

  void Fill(milliseconds aStartup)
  {
    for (auto& [key, group] : this->groups) {
      while (group.serving.size() + group.starting.size() < group.desired) {
        group.starting.push_back(this->clock.Now() + aStartup);
      }
      while (group.serving.size() + group.starting.size() > group.desired) {
        if (!group.starting.empty()) {
          group.starting.pop_back();
          continue;
        }
        this->targets.erase(group.serving.back());
        group.serving.pop_back();
      }
    }
  }

  const core::Clock& clock;
  int lastNumber = 0;
};

struct Fleet
{
  void Run(std::chrono::seconds aDuration)
  {
    for (auto second = 0s; second < aDuration; ++second) {
      this->Perform(this->duty);
      this->clock.Advance(1s);
      this->cloud.Step();
    }
  }

  void Perform(scaling::ScalingDuty& aDuty)
  {
    auto config = std::make_shared<ServingConfig>();
    config->services.emplace(kModels, Models());
    auto snapshot = std::make_shared<FleetSnapshot>();
    snapshot->config = config;
    snapshot->targets = this->cloud.targets;
    DutyInput input;
    input.fleet = snapshot;
    if (this->demand.has_value()) {
      input.demand[kModels] = *this->demand;
    }
    if (!this->zoneDemand.empty()) {
      input.zoneDemand[kModels] = this->zoneDemand;
    }
    input.liveInstances = this->instances;
    input.isConfirmed = this->isConfirmed;
    asio::io_context context;
    asio::co_spawn(context, aDuty.Perform(this->cloud, input), asio::detached);
    context.run();
  }

  core::ManualClock clock;
  Cloud cloud{ this->clock };
  wire::DutyWire codec;
  PathMetrics metrics;
  scaling::ScalingDuty duty{ this->codec, this->metrics, this->clock, {} };
  std::optional<StageDemand> demand;
  ZoneDemand zoneDemand;
  std::map<core::ZoneId, std::size_t> instances{ { core::ZoneId("a"), 21 },
                                                 { core::ZoneId("b"), 21 },
                                                 { core::ZoneId("c"), 21 },
                                                 { core::ZoneId("d"), 21 } };
  bool isConfirmed = true;
};

double
NeededFor(double aBusy)
{
  return NeededEngines(Busy(aBusy), *Models().engine).Total();
}

} // namespace

// Guards the target of this feature: at a load far below the fleet's size, at most half of the cost
// of running all targets all day, of which 20 s pass before the demand is known.
TEST_CASE("a day at low load costs at most half of what all targets cost")
{
  Fleet fleet;
  constexpr auto kUnknown = 20s;
  constexpr auto kDay = 56s;
  const double before = fleet.cloud.cost * static_cast<double>(kDay.count());
  fleet.cloud.cost = 0.0;
  fleet.Run(kUnknown);
  MESSAGE("cost before the demand is known: ", fleet.cloud.cost);
  for (auto second = kUnknown; second < kDay; ++second) {
    const auto last = fleet.cloud.groups;
    fleet.demand = Busy(20.0 + 4.0 * std::sin(static_cast<double>(second.count())));
    fleet.Run(1s);
    for (const auto& [key, group] : fleet.cloud.groups) {
      CHECK(group.desired * 2 >= last.at(key).desired);
    }
    std::uint64_t serving = 0;
    for (const char* zone : { "a", "b", "c", "d" }) {
      serving += fleet.cloud.Serving(zone);
    }
    CHECK(static_cast<double>(serving) >= NeededFor(20.0));
  }
  MESSAGE("cost in seconds of a regular target: ", before, " before, ", fleet.cloud.cost, " now");
  CHECK(fleet.cloud.cost <= before / 2.0);
  CHECK(fleet.cloud.Desired(true) > fleet.cloud.Desired(false));
}

TEST_CASE("a wave of the load does not make the numbers go up and down")
{
  Fleet fleet;
  const auto run = [&](std::chrono::seconds aDuration) {
    for (auto second = 0s; second < aDuration; ++second) {
      constexpr double kPeriodS = 12.0;
      const double phase = static_cast<double>(second.count()) * 2.0 * M_PI / kPeriodS;
      fleet.demand = Busy(20.0 * (1.0 + 0.5 * std::sin(phase)));
      fleet.Run(1s);
    }
  };
  run(60s);
  fleet.cloud.orders.clear();
  run(120s);
  for (const auto& [key, changes] : fleet.cloud.orders) {
    const std::string zone = key.first;
    CAPTURE(zone);
    CHECK(changes.size() <= 1);
  }
}

TEST_CASE("targets that are reclaimed are ordered in other zones at once")
{
  Fleet fleet;
  fleet.demand = Busy(20.0);
  fleet.Run(40s);
  const auto lost = fleet.cloud.groups.at({ "c", true }).desired;
  const auto running = fleet.cloud.Desired(true) + fleet.cloud.Desired(false);
  REQUIRE(lost > 4);
  fleet.cloud.Reclaim("c");
  fleet.cloud.bodies.clear();
  SUBCASE("and not in the zone that has lost them")
  {
    fleet.Run(1s);
    for (const std::string& body : fleet.cloud.bodies) {
      CHECK(body.find("\"zone\":\"c\"") == std::string::npos);
    }
    fleet.cloud.orders.clear();
    fleet.Run(30s);
    CHECK(fleet.cloud.Serving("c") >= 4);
    CHECK(fleet.cloud.orders.empty());
  }
  SUBCASE("and a refusal of one zone is made up by the next one")
  {
    fleet.cloud.refused.insert({ "a", true });
    fleet.Run(1s);
  }
  CHECK(static_cast<double>(fleet.cloud.Desired(true) + fleet.cloud.Desired(false)) >=
        NeededFor(20.0));
  CHECK(fleet.cloud.Desired(true) + fleet.cloud.Desired(false) <= running + lost);
}

TEST_CASE("no target is given up that may be needed or cannot be seen")
{
  Fleet fleet;
  SUBCASE("while the demand is not known, other than by one that serves in its place")
  {
    for (int second = 0; second < 60; ++second) {
      fleet.Run(1s);
      for (const char* zone : { "a", "b", "c", "d" }) {
        CHECK(fleet.cloud.Serving(zone) >= 35);
      }
    }
    CHECK(fleet.cloud.Desired(false) < 70);
  }
  SUBCASE("while the demand is not known and there are no reclaimable ones")
  {
    for (const auto& [key, group] : fleet.cloud.groups) {
      fleet.cloud.refused.insert({ key.first, true });
    }
    fleet.Run(60s);
    CHECK(fleet.cloud.Desired(false) == 140);
  }
  SUBCASE("while the store does not confirm the directory")
  {
    fleet.demand = Busy(5.0);
    fleet.isConfirmed = false;
    fleet.Run(60s);
    CHECK(fleet.cloud.Desired(false) == 140);
  }
  SUBCASE("in a zone whose instances are silent, also if its entries have expired")
  {
    fleet.demand = Busy(5.0);
    fleet.instances.erase(core::ZoneId("d"));
    std::erase_if(fleet.cloud.targets,
                  [](const auto& aEntry) { return aEntry.second.zone == core::ZoneId("d"); });
    fleet.Run(60s);
    CHECK(fleet.cloud.groups.at({ "d", false }).desired == 35);
    CHECK(fleet.cloud.groups.at({ "a", false }).desired < 10);
  }
  SUBCASE("by an order for more targets than the directory has kept")
  {
    fleet.Run(1s);
    std::erase_if(fleet.cloud.targets,
                  [](const auto& aEntry) { return aEntry.second.zone == core::ZoneId("d"); });
    fleet.demand = Busy(20.0);
    fleet.Run(1s);
    CHECK(fleet.cloud.groups.at({ "d", false }).desired == 35);
  }
  SUBCASE("while requests are late for lack of engines")
  {
    fleet.demand = Busy(50.0);
    fleet.demand->prefillLateShare = 0.3;
    fleet.Run(60s);
    CHECK(fleet.cloud.Desired(false) == 140);
  }
}

TEST_CASE("a new holder keeps the numbers of the one before")
{
  Fleet fleet;
  fleet.demand = Busy(20.0);
  fleet.Run(60s);
  fleet.cloud.orders.clear();
  fleet.duty.OnLeaseLost();
  scaling::ScalingDuty other(fleet.codec, fleet.metrics, fleet.clock, {});
  for (int second = 0; second < 30; ++second) {
    fleet.demand = second < 6 ? std::nullopt : std::optional(Busy(20.0));
    fleet.Perform(other);
    fleet.clock.Advance(1s);
    fleet.cloud.Step();
  }
  CHECK(fleet.cloud.orders.empty());
}

TEST_CASE("an order without an answer is repeated before anything else")
{
  Fleet fleet;
  fleet.cloud.lostAnswers = 3;
  fleet.Run(1s);
  REQUIRE(fleet.cloud.bodies.size() >= 3);
  const std::vector<std::string> lost(fleet.cloud.bodies.begin(), fleet.cloud.bodies.begin() + 3);
  fleet.cloud.bodies.clear();
  fleet.demand = Busy(60.0);
  fleet.Run(1s);
  REQUIRE(fleet.cloud.bodies.size() >= 3);
  CHECK(std::vector<std::string>(fleet.cloud.bodies.begin(), fleet.cloud.bodies.begin() + 3) ==
        lost);
}

TEST_CASE("numbers stay within the configured limits and follow the zones' demand")
{
  scaling::ScalingInput input;
  input.limits = *Models().scaling;
  input.engine = Models().engine;
  for (const auto& [zone, price] : input.limits.zonePrices) {
    input.zones[zone].visible = true;
  }
  const core::ZoneId first("a");
  const core::ZoneId second("b");
  scaling::NeedByZone needs{
    { first, 40.0 }, { second, 20.0 }, { core::ZoneId("c"), 20.0 }, { core::ZoneId("d"), 20.0 }
  };
  SUBCASE("a zone has targets for its own demand, and a floor of regular ones")
  {
    const auto counts = scaling::DivideTargets(input, {}, needs);
    CHECK(counts.at(first).Total() >= 2 * counts.at(second).Total() - 1);
    CHECK(counts.at(second) == scaling::ZoneCounts{ 6, 16 });
  }
  SUBCASE("at no demand there is one engine for each stage, or the least number")
  {
    CHECK(scaling::DivideTargets(input, {}, {}).at(first).regular == 2);
    input.limits.minPerZone = 9;
    CHECK(scaling::DivideTargets(input, {}, {}).at(second).Total() == 9);
  }
  SUBCASE("no zone gets more than the greatest number, even if others have none")
  {
    input.limits.maxPerZone = 20;
    input.zones[second].reclaimable.available = false;
    needs[first] = 200.0;
    for (const auto& [zone, counts] : scaling::DivideTargets(input, {}, needs)) {
      CHECK(counts.Total() <= 20);
    }
  }
  SUBCASE("without reclaimable targets all are regular")
  {
    input.limits.reclaimablePrice.reset();
    CHECK(scaling::DivideTargets(input, {}, needs).at(second).reclaimable == 0);
  }
}

TEST_CASE("a zone whose demand grows gets its targets in that zone")
{
  Fleet fleet;
  fleet.demand = Busy(20.0);
  fleet.Run(40s);
  for (const auto& [zone, count] : fleet.instances) {
    fleet.zoneDemand[zone] = Busy(5.0);
  }
  fleet.zoneDemand[core::ZoneId("b")] = Busy(10.0);
  fleet.demand = Busy(25.0);
  fleet.Run(1s);
  const auto desired = [&](const char* aZone) {
    return fleet.cloud.groups.at({ aZone, false }).desired +
           fleet.cloud.groups.at({ aZone, true }).desired;
  };
  CHECK(static_cast<double>(desired("b")) >= NeededFor(10.0));
  CHECK(static_cast<double>(desired("c")) <= NeededFor(10.0) * 0.75);
}

TEST_CASE("an order to scale and the limits that it follows have the platform's format")
{
  const wire::DutyWire codec;
  const core::ZoneId zone("a");
  CHECK(codec.ScaleOrder(kModels, zone, TargetKind::kRegular, 7).path == "/scale");
  CHECK(codec.ScaleOrder(kModels, zone, TargetKind::kRegular, 7).body ==
        R"({"desiredCount":7,"service":"models","zone":"a"})");
  CHECK(codec.ScaleOrder(kModels, zone, TargetKind::kReclaimable, 0).body ==
        R"({"desiredCount":0,"service":"models","useSpot":true,"zone":"a"})");
  CHECK(codec.ReadOutcome(200) == CallOutcome::kDone);
  CHECK(codec.ReadOutcome(409) == CallOutcome::kRefused);
  CHECK(codec.ReadOutcome(429) == CallOutcome::kThrottled);
  const wire::DirectoryWire directory;
  const auto read = [&](const std::string& aScaling) {
    return directory.ReadConfig(R"({"version":1,"routes":[],"services":[{"name":"m","scaling":)" +
                                aScaling + "}]}");
  };
  const auto config = read(R"({"min":1,"max":70,"startupS":4,"spotPrice":0.18,
                               "zonePrices":{"a":0.85}})");
  REQUIRE(config.ok());
  const ScalingLimits& limits = *config->services.at(core::ServiceName("m")).scaling;
  CHECK(limits.maxPerZone == 70);
  CHECK(limits.startupTime == 4s);
  CHECK(limits.zonePrices.at(zone) == 0.85);
  for (const char* invalid : { "7",
                               "{}",
                               R"({"min":3,"max":2})",
                               R"({"min":-1,"max":2})",
                               R"({"min":"1","max":2})",
                               R"({"max":2.5})",
                               R"({"max":2,"startupS":-1})",
                               R"({"max":2,"spotPrice":"low"})",
                               R"({"max":2,"zonePrices":{"a":-0.1}})",
                               R"({"max":2,"zonePrices":[1]})" }) {
    CAPTURE(invalid);
    const auto refused = read(invalid);
    REQUIRE_FALSE(refused.ok());
    CHECK(std::string(refused.status().message()).find("scaling of service m") !=
          std::string::npos);
  }
}
