#include <doctest/doctest.h>

#include <cmath>
#include <deque>
#include <queue>
#include <random>

#include <plantainslip/serving/idle_reuse.hpp>
#include <plantainslip/serving/placement.hpp>

using namespace plantainslip;          // NOLINT(google-build-using-namespace)
using namespace plantainslip::serving; // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

const core::ServiceName kService("models");

core::ZoneId
ZoneOf(std::size_t aIndex)
{
  return core::ZoneId("zone" + std::to_string(aIndex % 4));
}

/// @brief Connections of one instance: a target keeps each open for a time after its last use.
class FakeConnections : public ConnectionView
{
public:
  explicit FakeConnections(const core::MonotonicTime& aNow)
    : now(aNow)
  {
  }

  bool HasIdle(const net::Address& aAddress, milliseconds aMaxIdle) const override
  {
    const auto found = this->idle.find(aAddress);
    return found != this->idle.end() && !found->second.empty() &&
           this->now - found->second.back() <= aMaxIdle;
  }
  double ConnectMs() const override { return 3.0; }

  /// @brief Returns whether a new connection was needed.
  bool Take(const net::Address& aAddress, milliseconds aMaxIdle)
  {
    const bool reusable = this->HasIdle(aAddress, aMaxIdle);
    auto& connections = this->idle[aAddress];
    if (reusable) {
      connections.pop_back();
    }
    return !reusable;
  }
  void Return(const net::Address& aAddress) { this->idle[aAddress].push_back(this->now); }

private:
  const core::MonotonicTime& now;
  std::map<net::Address, std::deque<core::MonotonicTime>> idle;
};

/// @brief Streams of many instances at decode engines; loads are reported with a delay.
struct StreamLoad
{
  static constexpr std::size_t kInstances = 24;
  static constexpr std::size_t kEngines = 32;
  static constexpr std::size_t kSlots = 32;
  static constexpr double kRequestsPerMs = 0.1;
  static constexpr double kStreamMs = 1'500.0;

  struct Instance
  {
    LoadTracker loads;
    std::unique_ptr<FakeConnections> connections;
  };
  struct End
  {
    core::MonotonicTime at;
    std::size_t instance = 0;
    core::TargetId engine;
    bool operator>(const End& aOther) const { return this->at > aOther.at; }
  };

  double openedPerRequest = 0.0;
  double peakRequests = 0.0;
  double otherZoneShare = 0.0;

  void Play(bool aUsesConnections, milliseconds aMaxIdle)
  {
    core::MonotonicTime now{};
    FleetSnapshot fleet;
    for (std::size_t index = 0; index < kEngines; ++index) {
      Target engine;
      engine.id = core::TargetId("engine-" + std::to_string(index));
      engine.service = kService;
      engine.address = { "10.0.0.1", static_cast<std::uint16_t>(index + 1) };
      engine.zone = ZoneOf(index);
      engine.stage = EngineStage::kDecode;
      engine.slots = kSlots;
      fleet.targets.emplace(engine.id, engine);
    }
    std::vector<Instance> instances(kInstances);
    for (Instance& instance : instances) {
      instance.connections = std::make_unique<FakeConnections>(now);
    }
    const TargetHealth health;
    const PrefillModel prefill;
    const TargetNotices notices;
    const TargetLimits limits;
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> uniform(1e-9, 1.0);
    const auto exponential = [&](double aMean) { return -std::log(uniform(random)) * aMean; };
    std::priority_queue<End, std::vector<End>, std::greater<>> ends;
    std::map<core::TargetId, double> requests;
    std::size_t sent = 0;
    std::size_t opened = 0;
    std::size_t otherZone = 0;
    // The first seconds, in which all connections are new, are not counted.
    constexpr int kFirstCounted = 10'000;
    for (int step = 0; step < 40'000; ++step) {
      now += 1ms;
      while (!ends.empty() && ends.top().at <= now) {
        const End end = ends.top();
        ends.pop();
        instances[end.instance].loads.Remove(end.engine, { 1.0, {} });
        instances[end.instance].connections->Return(fleet.targets.at(end.engine).address);
        requests[end.engine] -= 1.0;
      }
      if (step % 300 == 0) {
        this->Report(instances, now);
      }
      if (uniform(random) > kRequestsPerMs) {
        continue;
      }
      const std::size_t index = random() % kInstances;
      Instance& instance = instances[index];
      PlacementView view{ fleet,   instance.loads, health,        prefill,
                          notices, limits,         ZoneOf(index), now };
      view.maxIdle = aMaxIdle;
      if (aUsesConnections) {
        view.connections = instance.connections.get();
        view.affinityKey = index + 1;
      }
      const auto engine = ChooseDecode(view, kService, ZoneOf(index), {});
      const bool isNew = instance.connections->Take(engine->address, aMaxIdle);
      if (step >= kFirstCounted) {
        ++sent;
        opened += isNew ? 1U : 0U;
        otherZone += engine->zone == ZoneOf(index) ? 0U : 1U;
      }
      instance.loads.Add(engine->id, { 1.0, {} });
      requests[engine->id] += 1.0;
      this->peakRequests = std::max(this->peakRequests, requests[engine->id]);
      ends.push({ now + milliseconds(static_cast<std::int64_t>(exponential(kStreamMs))),
                  index,
                  engine->id });
    }
    this->openedPerRequest = static_cast<double>(opened) / static_cast<double>(sent);
    this->otherZoneShare = static_cast<double>(otherZone) / static_cast<double>(sent);
  }

  static void Report(std::vector<Instance>& aInstances, core::MonotonicTime aNow)
  {
    for (std::size_t from = 0; from < aInstances.size(); ++from) {
      const LoadTable loads = aInstances[from].loads.OwnLoads();
      for (std::size_t to = 0; to < aInstances.size(); ++to) {
        if (to != from) {
          const core::InstanceId sender("instance-" + std::to_string(from));
          aInstances[to].loads.SetPeerReport(sender, loads, aNow);
        }
      }
    }
  }
};

} // namespace

// Guards against a spread of streams that leaves each connection idle until it cannot be reused.
TEST_CASE("streams reuse connections without crowding engines")
{
  StreamLoad before;
  before.Play(false, 1s);
  StreamLoad after;
  after.Play(true, 9s);
  MESSAGE("connections per request " << before.openedPerRequest << " -> "
                                     << after.openedPerRequest);
  MESSAGE("peak requests of an engine " << before.peakRequests << " -> " << after.peakRequests);
  MESSAGE("share in another zone " << before.otherZoneShare << " -> " << after.otherZoneShare);
  // The goal: one new connection for ten requests, with targets that keep idle ones for 10 s.
  CHECK(after.openedPerRequest < 0.1);
  CHECK(after.peakRequests < StreamLoad::kSlots);
}

// Guards against reuse after an idle time at which connections were lost.
TEST_CASE("the idle time of connections for requests that run once is learnt")
{
  IdleReuse reuse;
  CHECK(reuse.Limit(kService) == IdleReuse::kInitialLimit);
  const auto survive = [&](milliseconds aIdle) {
    for (int proof = 0; proof < IdleReuse::kProofs; ++proof) {
      reuse.Record(kService, aIdle, false);
    }
  };
  survive(1'400ms);
  CHECK(reuse.Limit(kService) == 1s);
  for (int round = 0; round < 10; ++round) {
    survive(5s);
  }
  CHECK(reuse.Limit(kService) > 3s);
  CHECK(reuse.Limit(kService) <= 5s);
  reuse.Record(kService, 3s, true);
  CHECK(reuse.Limit(kService) == 1'500ms);
  reuse.Record(kService, 100ms, true);
  CHECK(reuse.Limit(kService) == 1s);
  CHECK(reuse.Limit(core::ServiceName("other")) == IdleReuse::kInitialLimit);
}
