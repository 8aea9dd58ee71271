#include <doctest/doctest.h>

#include <functional>

#include <fakes/memory_engine.hpp>
#include <fakes/memory_store.hpp>
#include <harness/fault_matrix.hpp>
#include <harness/faulty_engine.hpp>
#include <harness/faulty_store.hpp>

#include <plantainslip/authority/controller.hpp>
#include <plantainslip/authority/drain_messages.hpp>
#include <plantainslip/config/commands/submit_patch.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

namespace {

constexpr std::uint16_t kEntryPort = 100;
constexpr std::uint16_t kFirstEnginePort = 201;
constexpr std::uint16_t kSecondEnginePort = 202;
constexpr std::uint64_t kPairSeed = 5;
constexpr std::size_t kPairCells = 800;
constexpr int kStepsUnderFaults = 14;
constexpr int kStepsToConverge = 60;
constexpr int kStepsDuringPause = 16;
constexpr std::chrono::milliseconds kStepTime{ 500 };

class MemoryList final : public platform::InstanceList
{
public:
  std::vector<platform::ListedInstance> listed;

  absl::StatusOr<std::vector<platform::ListedInstance>> Read() override { return this->listed; }
};

platform::ListedInstance
MakeInstance(const std::string& aName, platform::ListedKind aKind, std::uint16_t aPort)
{
  platform::ListedInstance instance;
  instance.name = aName;
  instance.zone = core::ZoneId("a");
  instance.kind = aKind;
  instance.address = { "127.0.0.1", aPort };
  instance.peerAddress = instance.address;
  return instance;
}

// One zone: a store, two engines, and an entry instance that keeps trying to send attempts to both.
struct Zone
{
  Zone(core::ManualClock& aClock, bool aChecksFencing)
    : clock(aClock)
    , store(aClock)
    , engines(aClock)
    , marks(inFlight)
    , checksFencing(aChecksFencing)
  {
    this->list.listed = { MakeInstance("x1", platform::ListedKind::kEntry, kEntryPort),
                          MakeInstance("e1", platform::ListedKind::kEngine, kFirstEnginePort),
                          MakeInstance("e2", platform::ListedKind::kEngine, kSecondEnginePort) };
    for (const std::uint16_t port : { kFirstEnginePort, kSecondEnginePort }) {
      fakes::MemoryEngine& engine = this->engines.At(port);
      engine.checksFencing = aChecksFencing;
      engine.report.model = "m";
      engine.report.version = "1";
    }
    this->marks.Initialize({});
    this->SetVersion("1");
  }

  void SetVersion(const std::string& aVersion)
  {
    const std::string rule = std::string(R"({"deployment":"d","checks_fencing":)") +
                             (this->checksFencing ? "true}" : "false}");
    config::PatchSubmission patch;
    patch.patch = core::PatchId("to-version-" + aVersion);
    patch.base = core::ConfigVersion(this->patches++);
    patch.author = "jo";
    patch.change = R"({"deployments":{"d":{"model":"m","version":")" + aVersion +
                   R"("}},"targets":{"e1":)" + rule + R"(,"e2":)" + rule + "}}";
    REQUIRE(config::SubmitPatch(this->store, patch, this->clock).ok());
    this->desiredVersion = aVersion;
  }

  // Ends the attempts in flight and starts a new one at each engine that is not draining.
  void AdvanceWork()
  {
    for (const auto& [name, port] :
         { std::pair("e1", kFirstEnginePort), std::pair("e2", kSecondEnginePort) }) {
      const core::TargetId target(name);
      if (this->inFlight.Count(target) > 0) {
        this->engines.EndWork(port);
        this->inFlight.Remove(target, this->clock.Now());
      }
      this->inFlight.Add(target, this->clock.Now());
      if (!this->marks.MayStartAttempt(target) || !this->engines.BeginWork(port)) {
        this->inFlight.Remove(target, this->clock.Now());
      }
    }
  }

  bool HasConverged()
  {
    return this->engines.At(kFirstEnginePort).report.version == this->desiredVersion &&
           this->engines.At(kSecondEnginePort).report.version == this->desiredVersion &&
           this->marks.DrainingTargets().empty();
  }

  core::ManualClock& clock;
  fakes::MemoryStore store;
  fakes::MemoryEngines engines;
  MemoryList list;
  routing::InFlight inFlight;
  authority::DrainMarks marks;
  bool checksFencing;
  std::uint64_t patches = 0;
  std::string desiredVersion;
};

// One controller process. With a fault injector, its store, engine client and peer client are
// faulty.
struct Process
{
  Process(Zone& aZone, const std::string& aName, harness::FaultInjector* aInjector = nullptr)
    : zone(aZone)
    , peers(aInjector)
    , timer(aZone.clock)
  {
    this->peers.Answer(
      kEntryPort, authority::kSetDrainMarksKind, [&aZone](const std::string& aBody) {
        return authority::HandleSetDrainMarks(aZone.marks, aBody);
      });
    platform::Store* store = &aZone.store;
    targets::EngineClient* engines = &aZone.engines;
    if (aInjector != nullptr) {
      this->faultyStore.emplace(aZone.store, *aInjector);
      this->faultyEngines.emplace(aZone.engines, *aInjector);
      store = &*this->faultyStore;
      engines = &*this->faultyEngines;
    }
    authority::ControllerOptions options;
    options.lease.zone = core::ZoneId("a");
    options.lease.holder = core::InstanceId(aName);
    this->controller.emplace(
      authority::ControllerPorts{
        *store, aZone.list, *engines, this->peers, aZone.clock, this->timer },
      options);
  }

  void Run(int aSteps)
  {
    for (int step = 0; step < aSteps; ++step) {
      this->controller->Step();
      this->zone.AdvanceWork();
      this->zone.clock.Advance(kStepTime);
    }
  }

  Zone& zone;
  harness::MemoryPeers peers;
  harness::SimulatedTermTimer timer;
  std::optional<harness::FaultyStore> faultyStore;
  std::optional<harness::FaultyEngines> faultyEngines;
  std::optional<authority::Controller> controller;
};

// Checks the orders that one engine received, using only the engine's own record of them.
void
CheckArrivals(const fakes::MemoryEngine& aEngine, std::vector<std::string>& aViolations)
{
  core::FencingToken highest;
  std::vector<std::string> startedOrders;
  for (const fakes::OrderArrival& arrival : aEngine.arrivals) {
    const std::string name = arrival.order.order.Text();
    if (arrival.duringAnother) {
      aViolations.push_back("conflicting order " + name);
    }
    if (arrival.effective && arrival.order.token < highest) {
      aViolations.push_back("order with an outdated fencing token had an effect: " + name);
    }
    if (arrival.effective && arrival.running > 0) {
      aViolations.push_back("order interrupted running work: " + name);
    }
    const auto earlier = std::find(startedOrders.begin(), startedOrders.end(), name);
    if (arrival.effective && earlier != startedOrders.end() &&
        std::next(earlier) != startedOrders.end()) {
      aViolations.push_back("settled order had an effect again: " + name);
    }
    if (arrival.effective) {
      startedOrders.push_back(name);
    }
    highest = std::max(highest, arrival.order.token);
  }
}

std::vector<std::string>
CheckZone(Zone& aZone)
{
  std::vector<std::string> violations;
  CheckArrivals(aZone.engines.At(kFirstEnginePort), violations);
  CheckArrivals(aZone.engines.At(kSecondEnginePort), violations);
  if (!aZone.HasConverged()) {
    violations.emplace_back(
      "an engine did not reach its configured version, or a drain mark was not lifted");
  }
  return violations;
}

struct Variant
{
  bool checksFencing = true;
  bool hasTimer = false;
  std::function<void(Zone&)> prepare = [](Zone&) {};
};

// A first controller changes the version of both engines under faults. While it is paused, a second
// one takes over and the configuration changes again. Finally a third one runs without faults, and
// the zone has to reach its configured state.
harness::Scenario
ChangeVersion(const Variant& aVariant)
{
  return [aVariant](core::ManualClock& aClock, harness::FaultInjector& aInjector) {
    Zone zone(aClock, aVariant.checksFencing);
    aVariant.prepare(zone);
    Process first(zone, "first", &aInjector);
    Process second(zone, "second");
    std::uint64_t pauses = 0;
    aInjector.OnPause([&] {
      second.Run(kStepsDuringPause);
      zone.SetVersion(std::to_string(3 + pauses++));
      second.Run(kStepsDuringPause);
      if (aVariant.hasTimer) {
        first.timer.Resume();
      }
    });
    try {
      zone.AdvanceWork();
      zone.SetVersion("2");
      first.Run(kStepsUnderFaults);
    } catch (const harness::SimulatedCrash&) {
      // The third controller takes over below.
    }
    aInjector.Finish();
    Process third(zone, "third");
    third.Run(kStepsToConverge);
    return CheckZone(zone);
  };
}

} // namespace

TEST_CASE("orders under every fault at every step")
{
  SUBCASE("to engines that check fencing tokens, without the term timer")
  {
    const auto result =
      harness::RunFaultMatrix("orders, tokens checked", ChangeVersion({ true, false }));
    CHECK(result.red.empty());
  }
  SUBCASE("to engines that ignore fencing tokens")
  {
    const auto result =
      harness::RunFaultMatrix("orders, tokens ignored", ChangeVersion({ false, true }));
    CHECK(result.red.empty());
  }
  SUBCASE("the checker finds late orders if the term timer is switched off")
  {
    const auto result = harness::RunFaultMatrix("orders, tokens ignored, timer switched off",
                                                ChangeVersion({ false, false }));
    CHECK_FALSE(result.red.empty());
  }
  SUBCASE("pairs of faults, to engines that check or ignore fencing tokens")
  {
    for (const bool checks : { true, false }) {
      const auto result =
        harness::RunFaultPairs("orders", kPairSeed, kPairCells, ChangeVersion({ checks, !checks }));
      CHECK(result.red.empty());
    }
  }
  SUBCASE("while an engine restarts during its change")
  {
    const auto crash = [](Zone& aZone) { aZone.engines.At(kFirstEnginePort).crashInChange = true; };
    for (const bool checks : { true, false }) {
      const auto result = harness::RunFaultMatrix("orders, an engine crashes",
                                                  ChangeVersion({ checks, !checks, crash }));
      CHECK(result.red.empty());
    }
  }
  SUBCASE("while an engine accepts orders without carrying them out")
  {
    const auto ignore = [](Zone& aZone) { aZone.engines.At(kSecondEnginePort).ordersToIgnore = 2; };
    for (const bool checks : { true, false }) {
      const auto result = harness::RunFaultMatrix("orders, an engine ignores some",
                                                  ChangeVersion({ checks, !checks, ignore }));
      CHECK(result.red.empty());
    }
  }
}

TEST_CASE("a zone without the store starts no changes and resumes from the journal afterwards")
{
  core::ManualClock clock;
  Zone zone(clock, false);
  Process controller(zone, "only");
  controller.Run(kStepsUnderFaults);
  REQUIRE(zone.HasConverged());
  zone.AdvanceWork();
  zone.SetVersion("2");
  SUBCASE("before the drain")
  {
    zone.store.SetDown(true);
  }
  SUBCASE("during the drain")
  {
    controller.controller->Step();
    REQUIRE(zone.marks.DrainingTargets().size() == 1);
    zone.store.SetDown(true);
  }
  for (int minute = 0; minute < 5; ++minute) {
    controller.Run(120);
    // The engine that is not draining keeps serving.
    CHECK(zone.inFlight.Count(core::TargetId("e2")) == 1);
  }
  CHECK(zone.engines.At(kFirstEnginePort).arrivals.empty());
  CHECK(zone.engines.At(kSecondEnginePort).arrivals.empty());
  zone.store.SetDown(false);
  controller.Run(kStepsToConverge);
  CHECK(CheckZone(zone).empty());
}

TEST_CASE(
  "the order of an engine that is no longer listed is settled, and its replacement is configured")
{
  core::ManualClock clock;
  Zone zone(clock, true);
  Process controller(zone, "only");
  controller.Run(kStepsUnderFaults);
  zone.SetVersion("2");
  const auto fullList = zone.list.listed;
  SUBCASE("removed during the drain")
  {
    controller.controller->Step();
  }
  SUBCASE("removed during the change")
  {
    while (zone.engines.At(kFirstEnginePort).arrivals.empty()) {
      controller.Run(1);
    }
  }
  zone.list.listed = { fullList[0], fullList[2] };
  controller.Run(kStepsUnderFaults);
  CHECK(zone.marks.DrainingTargets().empty());
  // The replacement takes over the attempts that the entry instance has in flight there.
  fakes::MemoryEngine replacement;
  replacement.report.running = zone.inFlight.Count(core::TargetId("e1"));
  zone.engines.At(kFirstEnginePort) = replacement;
  zone.list.listed = fullList;
  controller.Run(kStepsToConverge);
  CHECK(CheckZone(zone).empty());
}

TEST_CASE("a listed entry instance that does not respond blocks the change but no traffic")
{
  core::ManualClock clock;
  Zone zone(clock, true);
  Process controller(zone, "only");
  controller.Run(kStepsUnderFaults);
  zone.SetVersion("2");
  zone.list.listed.push_back(MakeInstance("x2", platform::ListedKind::kEntry, kEntryPort + 1));
  controller.Run(kStepsToConverge);
  CHECK(zone.engines.At(kFirstEnginePort).arrivals.empty());
  CHECK(zone.inFlight.Count(core::TargetId("e2")) == 1);
  zone.list.listed.pop_back();
  controller.Run(kStepsToConverge);
  CHECK(CheckZone(zone).empty());
}
