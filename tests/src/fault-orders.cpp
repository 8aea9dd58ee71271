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
constexpr std::uint16_t kFirstEngine = 201;
constexpr std::uint16_t kSecondEngine = 202;
constexpr std::uint64_t kPairSeed = 5;
constexpr std::size_t kPairCells = 800;
constexpr int kStepsUnderFaults = 14;
constexpr int kStepsToTheEnd = 60;
constexpr int kStepsInPause = 16;
constexpr std::chrono::milliseconds kStepTime{ 500 };

class MemoryList final : public platform::InstanceList
{
public:
  std::vector<platform::ListedInstance> listed;

  absl::StatusOr<std::vector<platform::ListedInstance>> Read() override { return this->listed; }
};

platform::ListedInstance
Listed(const std::string& aName, platform::ListedKind aKind, std::uint16_t aPort)
{
  platform::ListedInstance instance;
  instance.name = aName;
  instance.zone = core::ZoneId("a");
  instance.kind = aKind;
  instance.address = { "127.0.0.1", aPort };
  instance.peerAddress = instance.address;
  return instance;
}

// One zone: a store, two engines, and an entry instance that always tries to have work at both.
struct Zone
{
  Zone(core::ManualClock& aClock, bool aChecksFencing)
    : clock(aClock)
    , store(aClock)
    , engines(aClock)
    , marks(inFlight)
    , checksFencing(aChecksFencing)
  {
    this->list.listed = { Listed("x1", platform::ListedKind::kEntry, kEntryPort),
                          Listed("e1", platform::ListedKind::kEngine, kFirstEngine),
                          Listed("e2", platform::ListedKind::kEngine, kSecondEngine) };
    for (const std::uint16_t port : { kFirstEngine, kSecondEngine }) {
      fakes::MemoryEngine& engine = this->engines.At(port);
      engine.checksFencing = aChecksFencing;
      engine.report.model = "m";
      engine.report.version = "1";
    }
    this->marks.Learn({});
    this->WantVersion("1");
  }

  void WantVersion(const std::string& aVersion)
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
    this->wanted = aVersion;
  }

  // Work that is under way ends, and new work begins wherever no mark forbids it.
  void Work()
  {
    for (const auto& [name, port] :
         { std::pair("e1", kFirstEngine), std::pair("e2", kSecondEngine) }) {
      const core::TargetId target(name);
      if (this->inFlight.Count(target) > 0) {
        this->engines.EndWork(port);
        this->inFlight.Remove(target, this->clock.Now());
      }
      this->inFlight.Add(target, this->clock.Now());
      if (!this->marks.MayBegin(target) || !this->engines.BeginWork(port)) {
        this->inFlight.Remove(target, this->clock.Now());
      }
    }
  }

  bool IsAsWanted()
  {
    return this->engines.At(kFirstEngine).report.version == this->wanted &&
           this->engines.At(kSecondEngine).report.version == this->wanted &&
           this->marks.Draining().empty();
  }

  core::ManualClock& clock;
  fakes::MemoryStore store;
  fakes::MemoryEngines engines;
  MemoryList list;
  routing::InFlight inFlight;
  authority::DrainMarks marks;
  bool checksFencing;
  std::uint64_t patches = 0;
  std::string wanted;
};

// One controller process; the ports that the process under test uses are faulty.
struct Process
{
  Process(Zone& aZone, const std::string& aName, harness::FaultInjector* aInjector = nullptr)
    : zone(aZone)
    , peers(aInjector)
    , timer(aZone.clock)
  {
    this->peers.Answer(kEntryPort, authority::kDrainMarkKind, [&aZone](const std::string& aBody) {
      return authority::AnswerDrainMark(aZone.marks, aBody);
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
      this->zone.Work();
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

// Reads nothing but the record of one engine.
void
CheckRecord(const fakes::MemoryEngine& aEngine, std::vector<std::string>& aViolations)
{
  core::FencingToken highest;
  std::vector<std::string> begun;
  for (const fakes::OrderArrival& arrival : aEngine.arrivals) {
    const std::string name = arrival.order.order.Text();
    if (arrival.duringAnother) {
      aViolations.push_back("conflicting order " + name);
    }
    if (arrival.effective && arrival.order.token < highest) {
      aViolations.push_back("order without authority had an effect: " + name);
    }
    if (arrival.effective && arrival.running > 0) {
      aViolations.push_back("order cut work: " + name);
    }
    const auto earlier = std::find(begun.begin(), begun.end(), name);
    if (arrival.effective && earlier != begun.end() && std::next(earlier) != begun.end()) {
      aViolations.push_back("settled order had an effect again: " + name);
    }
    if (arrival.effective) {
      begun.push_back(name);
    }
    highest = std::max(highest, arrival.order.token);
  }
}

std::vector<std::string>
CheckZone(Zone& aZone)
{
  std::vector<std::string> violations;
  CheckRecord(aZone.engines.At(kFirstEngine), violations);
  CheckRecord(aZone.engines.At(kSecondEngine), violations);
  if (!aZone.IsAsWanted()) {
    violations.emplace_back("the engines never became as wanted, or a mark was left behind");
  }
  return violations;
}

struct Variant
{
  bool checksFencing = true;
  bool hasTimer = false;
  std::function<void(Zone&)> prepare = [](Zone&) {};
};

// A controller changes both engines' version under faults; while it stands still a second one acts,
// on a configuration that goes on changing. In the end a third brings everything to its end state.
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
      second.Run(kStepsInPause);
      zone.WantVersion(std::to_string(3 + pauses++));
      second.Run(kStepsInPause);
      if (aVariant.hasTimer) {
        first.timer.Resume();
      }
    });
    try {
      zone.Work();
      zone.WantVersion("2");
      first.Run(kStepsUnderFaults);
    } catch (const harness::SimulatedCrash&) {
      // A successor goes on below.
    }
    aInjector.Finish();
    Process third(zone, "third");
    third.Run(kStepsToTheEnd);
    return CheckZone(zone);
  };
}

} // namespace

TEST_CASE("orders under every fault at every step")
{
  SUBCASE("to engines that check fencing tokens, with no timer to end the controller")
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
  SUBCASE("the checker finds the late order if nothing ends the controller")
  {
    const auto result = harness::RunFaultMatrix("orders, tokens ignored, timer switched off",
                                                ChangeVersion({ false, false }));
    CHECK_FALSE(result.red.empty());
  }
  SUBCASE("two faults, both kinds of engine")
  {
    for (const bool checks : { true, false }) {
      const auto result =
        harness::RunFaultPairs("orders", kPairSeed, kPairCells, ChangeVersion({ checks, !checks }));
      CHECK(result.red.empty());
    }
  }
  SUBCASE("while an engine starts anew in the middle of its change")
  {
    const auto crash = [](Zone& aZone) { aZone.engines.At(kFirstEngine).crashInChange = true; };
    for (const bool checks : { true, false }) {
      const auto result = harness::RunFaultMatrix("orders, an engine crashes",
                                                  ChangeVersion({ checks, !checks, crash }));
      CHECK(result.red.empty());
    }
  }
  SUBCASE("while an engine takes orders without carrying them out")
  {
    const auto ignore = [](Zone& aZone) { aZone.engines.At(kSecondEngine).ordersToIgnore = 2; };
    for (const bool checks : { true, false }) {
      const auto result = harness::RunFaultMatrix("orders, an engine ignores some",
                                                  ChangeVersion({ checks, !checks, ignore }));
      CHECK(result.red.empty());
    }
  }
}

TEST_CASE("a zone cut from the platform plans no changes and goes on where the journal stands")
{
  core::ManualClock clock;
  Zone zone(clock, false);
  Process controller(zone, "only");
  controller.Run(kStepsUnderFaults);
  REQUIRE(zone.IsAsWanted());
  zone.Work();
  zone.WantVersion("2");
  SUBCASE("before the drain")
  {
    zone.store.SetDown(true);
  }
  SUBCASE("in the middle of the drain")
  {
    controller.controller->Step();
    REQUIRE(zone.marks.Draining().size() == 1);
    zone.store.SetDown(true);
  }
  for (int minute = 0; minute < 5; ++minute) {
    controller.Run(120);
    // The engine that is not draining goes on working.
    CHECK(zone.inFlight.Count(core::TargetId("e2")) == 1);
  }
  CHECK(zone.engines.At(kFirstEngine).arrivals.empty());
  CHECK(zone.engines.At(kSecondEngine).arrivals.empty());
  zone.store.SetDown(false);
  controller.Run(kStepsToTheEnd);
  CHECK(CheckZone(zone).empty());
}

TEST_CASE("a withdrawn engine's order is settled, and one that replaces it gets what is wanted")
{
  core::ManualClock clock;
  Zone zone(clock, true);
  Process controller(zone, "only");
  controller.Run(kStepsUnderFaults);
  zone.WantVersion("2");
  const auto whole = zone.list.listed;
  SUBCASE("withdrawn in the drain")
  {
    controller.controller->Step();
  }
  SUBCASE("withdrawn in the change")
  {
    while (zone.engines.At(kFirstEngine).arrivals.empty()) {
      controller.Run(1);
    }
  }
  zone.list.listed = { whole[0], whole[2] };
  controller.Run(kStepsUnderFaults);
  CHECK(zone.marks.Draining().empty());
  // The work that the entry instance has there goes over to the engine that replaces it.
  fakes::MemoryEngine replacement;
  replacement.report.running = zone.inFlight.Count(core::TargetId("e1"));
  zone.engines.At(kFirstEngine) = replacement;
  zone.list.listed = whole;
  controller.Run(kStepsToTheEnd);
  CHECK(CheckZone(zone).empty());
}

TEST_CASE("an entry instance that is listed and silent holds up the change and no traffic")
{
  core::ManualClock clock;
  Zone zone(clock, true);
  Process controller(zone, "only");
  controller.Run(kStepsUnderFaults);
  zone.WantVersion("2");
  zone.list.listed.push_back(Listed("x2", platform::ListedKind::kEntry, kEntryPort + 1));
  controller.Run(kStepsToTheEnd);
  CHECK(zone.engines.At(kFirstEngine).arrivals.empty());
  CHECK(zone.inFlight.Count(core::TargetId("e2")) == 1);
  zone.list.listed.pop_back();
  controller.Run(kStepsToTheEnd);
  CHECK(CheckZone(zone).empty());
}
