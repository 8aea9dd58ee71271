#include <doctest/doctest.h>

#include <deque>

#include <plantainslip/serving/errors.hpp>
#include <plantainslip/serving/peer_message.hpp>

#include "duty_wire.hpp"
#include "spawn.hpp"
#include "usage_duty.hpp"

using namespace plantainslip;        // NOLINT(google-build-using-namespace)
using namespace plantainslip::usage; // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;
using serving::CallOutcome;

namespace {

const WindowRules kRules{ 5s, 10s };
const core::WorkspaceId kAcme("acme");
const core::WorkspaceId kOther("other");

/// @brief Clock of one machine, whose time of day is off.
class SkewedClock final : public core::Clock
{
public:
  SkewedClock(const core::Clock& aClock, milliseconds aSkew)
    : clock(aClock)
    , skew(aSkew)
  {
  }
  core::MonotonicTime Now() const override { return this->clock.Now(); }
  core::WallTime WallNow() const override { return this->clock.WallNow() + this->skew; }

  const core::Clock& clock;
  milliseconds skew;
};

/// @brief Agents that pass each other datagrams without delay.
struct Network
{
  void Add(const std::string& aId, milliseconds aSkew = 0ms)
  {
    const core::InstanceId id(aId);
    this->clocks[id] = std::make_unique<SkewedClock>(this->clock, aSkew);
    this->agents[id] =
      std::make_unique<UsageAgent>(*this->clocks[id], kRules, Member{ id, core::ZoneId("z") });
  }

  void Deliver(std::vector<UsageAgent::Outgoing> aOutgoing)
  {
    std::deque<UsageAgent::Outgoing> queue(aOutgoing.begin(), aOutgoing.end());
    while (!queue.empty()) {
      const UsageAgent::Outgoing next = queue.front();
      queue.pop_front();
      const auto agent = this->agents.find(next.to);
      if (agent != this->agents.end()) {
        const auto replies = agent->second->Receive(*DecodeUsageMessage(next.bytes));
        queue.insert(queue.end(), replies.begin(), replies.end());
      }
    }
  }

  // Lets time pass in ticks of all agents.
  void Pass(std::chrono::seconds aDuration)
  {
    for (auto passed = 0s; passed < aDuration; passed += 1s) {
      this->clock.Advance(1s);
      for (const auto& [id, agent] : this->agents) {
        std::vector<Member> peers;
        for (const auto& [other, unused] : this->agents) {
          if (other != id) {
            peers.push_back({ other, core::ZoneId("z") });
          }
        }
        this->Deliver(agent->Tick(peers, this->holder));
      }
    }
  }

  // Starts at a window's beginning and lets the agents agree on the time.
  void Settle() { this->Pass(5s); }

  UsageAgent& At(const std::string& aId) { return *this->agents.at(core::InstanceId(aId)); }

  core::ManualClock clock;
  std::map<core::InstanceId, std::unique_ptr<SkewedClock>> clocks;
  std::map<core::InstanceId, std::unique_ptr<UsageAgent>> agents;
  std::optional<core::InstanceId> holder = core::InstanceId("a");
};

std::uint64_t
SumOf(const std::vector<ClosedWindow>& aWindows, const core::WorkspaceId& aWorkspace)
{
  std::uint64_t sum = 0;
  for (const ClosedWindow& window : aWindows) {
    const auto found = window.counts->find(aWorkspace);
    sum += found == window.counts->end() ? 0 : found->second;
  }
  return sum;
}

/// @brief Store in memory whose calls can fail.
class ReportStore final : public serving::AsyncStore
{
public:
  serving::Task<absl::StatusOr<serving::StoreItems>> List(std::string aPrefix,
                                                          serving::Freshness) override
  {
    if (this->isDown) {
      co_return core::MakeError(serving::errors::kStoreUnavailable, aPrefix);
    }
    serving::StoreItems listed;
    listed.upTo = { this->era, core::Revision(1) };
    for (const auto& [key, value] : this->values) {
      if (key.starts_with(aPrefix)) {
        listed.items.push_back({ key, value, listed.upTo });
      }
    }
    co_return listed;
  }
  serving::Task<absl::StatusOr<serving::StoreItems>> Watch(std::string aPrefix,
                                                           serving::StorePosition,
                                                           milliseconds) override
  {
    co_return core::MakeError(serving::errors::kStoreUnavailable, aPrefix);
  }
  serving::Task<absl::StatusOr<serving::StorePosition>> Put(
    std::string aKey,
    std::string aValue,
    serving::Lease,
    std::optional<core::Revision> aExpected) override
  {
    CHECK(aExpected == core::Revision(0));
    if (this->isDown || this->values.contains(aKey)) {
      co_return core::MakeError(
        this->isDown ? serving::errors::kStoreUnavailable : serving::errors::kStoreConflict, aKey);
    }
    this->values[aKey] = aValue;
    if (this->losesAnswers) {
      co_return core::MakeError(serving::errors::kStoreOutcomeUnknown, aKey);
    }
    co_return serving::StorePosition{ this->era, core::Revision(2) };
  }
  serving::Task<absl::StatusOr<serving::Lease>> Grant(milliseconds aDuration) override
  {
    CHECK(aDuration == 60s);
    co_return serving::Lease{ this->era, serving::LeaseId(1) };
  }
  serving::Task<absl::Status> Renew(serving::Lease) override { co_return absl::OkStatus(); }

  std::map<std::string, std::string> values;
  serving::StoreEra era{ 1 };
  bool isDown = false;
  bool losesAnswers = false;
};

/// @brief Records calls and answers them with given outcomes, then with kDone.
class RecordedCalls final : public serving::DutyCalls
{
public:
  bool MayCall() const override { return true; }
  serving::Task<CallOutcome> Call(std::string, std::string, serving::PlatformCall aCall) override
  {
    this->bodies.push_back(aCall.body);
    CallOutcome outcome = CallOutcome::kDone;
    if (!this->outcomes.empty()) {
      outcome = this->outcomes.front();
      this->outcomes.pop_front();
    }
    co_return outcome;
  }

  std::vector<std::string> bodies;
  std::deque<CallOutcome> outcomes;
};

/// @brief A lease holder's duty with its surroundings.
struct Holder
{
  explicit Holder(ReportStore& aStore)
    : duty(aStore, codec, metrics, clock, kRules, [this](const Progress& aProgress) {
      this->progress = aProgress;
    })
  {
  }

  void Perform(std::uint64_t aWindow, std::uint64_t aCount, Progress aKnown = {})
  {
    serving::UsageInput input;
    input.now = kRules.End(Window(aWindow)) + 2s;
    input.ready = { { Window(aWindow),
                      std::make_shared<const Counts>(Counts{ { kAcme, aCount } }) } };
    aKnown.doneBefore = std::max(aKnown.doneBefore, this->progress.doneBefore);
    input.progress = aKnown;
    this->duty.SetInput(input);
    serving::asio::io_context context;
    serving::Spawn(context, "perform", [this] { return this->duty.Perform(this->calls, {}); });
    context.run();
  }

  wire::DutyWire codec;
  serving::PathMetrics metrics;
  core::ManualClock clock;
  Progress progress;
  RecordedCalls calls;
  serving::UsageDuty duty;
};

} // namespace

TEST_CASE("a window's counts are final once it is complete")
{
  UsageCounter counter;
  counter.Add(Window(4), kAcme);
  counter.Complete(Window(5));
  counter.Add(Window(4), kAcme);
  CHECK(counter.All().at(Window(4)).at(kAcme) == 1);
  CHECK(counter.All().at(Window(5)).at(kAcme) == 1);
  counter.Drop(Window(5));
  CHECK(counter.All().size() == 1);
}

// Guards against requests that a machine with a wrong clock counts in another window.
TEST_CASE("the time of day follows the median of the instances' clocks")
{
  Network network;
  network.Add("a", 4s);
  network.Add("b");
  network.Add("c");
  network.Add("d", -7s);
  network.Add("e");
  network.Settle();
  const auto now =
    std::chrono::duration_cast<milliseconds>(network.clock.WallNow().time_since_epoch());
  for (const auto& entry : network.agents) {
    CHECK_MESSAGE(entry.second->Now() == now, entry.first.Text());
  }
  network.clocks.at(core::InstanceId("b"))->skew = 9s;
  CHECK(network.At("b").Now() == now);
}

TEST_CASE("a usage message is split into packets and is no peer message")
{
  CountsMessage message;
  message.process = { core::InstanceId("a"), 7 };
  message.sender = core::InstanceId("a");
  message.completeBefore = Window(9);
  for (int number = 0; number < 300; ++number) {
    message.counts[Window(8)][core::WorkspaceId("workspace-" + std::to_string(number))] = 3;
  }
  message.totals[Window(8)] = 900;
  const auto datagrams = EncodeCounts(message);
  CHECK(datagrams.size() > 3);
  UsageCollector collector(kRules);
  const FleetTime now = kRules.Begin(Window(10));
  const std::vector<core::InstanceId> live = { message.sender };
  for (const std::string& bytes : datagrams) {
    CHECK(bytes.size() < 1'400);
    CHECK_FALSE(serving::DecodePeerMessage(bytes).ok());
    CHECK_FALSE(DecodeUsageMessage(bytes.substr(0, bytes.size() / 2)).ok());
    auto part = DecodeUsageMessage(bytes);
    REQUIRE(part.ok());
    part->counts->uptime = 60s;
    collector.SetDone(Window(8));
    // Guards against a report that lacks the parts that have not arrived yet.
    CHECK(collector.Close(now, live).empty());
    collector.Merge(*part->counts, now);
  }
  const auto closed = collector.Close(now, live);
  REQUIRE(closed.size() == 1);
  CHECK(*closed.front().counts == message.counts[Window(8)]);
  CHECK_FALSE(DecodeUsageMessage("uc1").ok());
  CHECK_FALSE(DecodeUsageMessage("").ok());
}

TEST_CASE("a window is closed when all live instances are complete, at the latest in time")
{
  Network network;
  for (const char* id : { "a", "b", "c", "d" }) {
    network.Add(id);
  }
  network.Settle();
  const FleetTime begin = network.At("a").Now();
  const Window window = kRules.At(begin);
  network.At("a").Count(kAcme);
  network.At("d").Count(kAcme);
  network.At("d").Count(kOther);
  SUBCASE("with all instances")
  {
    network.Pass(7s);
    const auto closed = network.At("a").CloseWindows();
    REQUIRE_FALSE(closed.empty());
    CHECK(closed.back().window == window);
    CHECK(closed.back().missingInstances == 0);
    CHECK(SumOf(closed, kAcme) == 2);
    CHECK(SumOf(closed, kOther) == 1);
  }
  SUBCASE("an ended instance's counts stay, and a restart adds to them")
  {
    network.Pass(2s);
    network.agents.erase(core::InstanceId("d"));
    network.Add("d");
    network.Pass(2s);
    network.At("d").Count(kAcme);
    network.Pass(6s);
    CHECK(SumOf(network.At("a").CloseWindows(), kAcme) == 3);
  }
  SUBCASE("a new holder has the counts that ended instances have left")
  {
    network.Pass(2s);
    network.agents.erase(core::InstanceId("a"));
    network.agents.erase(core::InstanceId("d"));
    network.holder = core::InstanceId("c");
    network.Add("late");
    network.Pass(8s);
    CHECK(SumOf(network.At("c").CloseWindows(), kAcme) == 2);
  }
  CHECK(JudgeWindow(kRules, window, kRules.End(window) - 1ms, 0) == WindowState::kOpen);
  CHECK(JudgeWindow(kRules, window, kRules.End(window), 0) == WindowState::kReady);
  CHECK(JudgeWindow(kRules, window, kRules.End(window) + 6'999ms, 1) == WindowState::kOpen);
  CHECK(JudgeWindow(kRules, window, kRules.End(window) + 7s, 1) == WindowState::kReady);
  CHECK(JudgeWindow(kRules, window, kRules.End(window) + 41s, 0) == WindowState::kExpired);
}

TEST_CASE("the holder and two standby collectors are chosen, in several zones")
{
  const std::vector<Member> members = { { core::InstanceId("a"), core::ZoneId("1") },
                                        { core::InstanceId("b"), core::ZoneId("1") },
                                        { core::InstanceId("c"), core::ZoneId("2") },
                                        { core::InstanceId("d"), core::ZoneId("3") } };
  const auto ids = [](const std::vector<std::string>& aTexts) {
    std::vector<core::InstanceId> read;
    read.reserve(aTexts.size());
    for (const std::string& text : aTexts) {
      read.emplace_back(text);
    }
    return read;
  };
  CHECK(ChooseCollectors(members, core::InstanceId("d")) == ids({ "d", "a", "c" }));
  CHECK(ChooseCollectors(members, std::nullopt) == ids({ "a", "c" }));
  CHECK(ChooseCollectors(members, core::InstanceId("gone")) == ids({ "a", "c" }));
}

// Guards against two reports with different counts for one window.
TEST_CASE("a window's report is repeated exactly or not at all")
{
  ReportStore store;
  Holder first(store);
  Holder second(store);
  SUBCASE("by the same holder, after a call without an answer")
  {
    first.calls.outcomes = { CallOutcome::kUnknown, CallOutcome::kThrottled };
    first.Perform(7, 3);
    first.Perform(7, 4);
    first.Perform(7, 5);
    first.Perform(7, 6);
    REQUIRE(first.calls.bodies.size() == 3);
    CHECK(first.calls.bodies[0] == first.calls.bodies[1]);
    CHECK(first.calls.bodies[0] == first.calls.bodies[2]);
    CHECK(first.progress.doneBefore == Window(8));
  }
  SUBCASE("by the next holder")
  {
    first.calls.outcomes = { CallOutcome::kUnknown };
    first.Perform(7, 3);
    second.Perform(7, 4);
    REQUIRE(second.calls.bodies.size() == 1);
    CHECK(second.calls.bodies[0] == first.calls.bodies[0]);
  }
  SUBCASE("after a write without an answer it is read back")
  {
    store.losesAnswers = true;
    first.Perform(7, 3);
    second.Perform(7, 4);
    CHECK(first.calls.bodies.size() == 1);
    CHECK(first.calls.bodies == second.calls.bodies);
  }
  SUBCASE("without the store nothing is sent")
  {
    store.isDown = true;
    first.Perform(7, 3);
    CHECK(first.calls.bodies.empty());
    store.isDown = false;
    first.Perform(7, 3);
    CHECK(first.calls.bodies.size() == 1);
  }
  SUBCASE("a report that the store has lost is not made again by another holder")
  {
    first.Perform(7, 3);
    store.values.clear();
    store.era = serving::StoreEra(2);
    Progress known = first.progress;
    known.doneBefore = Window(7);
    second.Perform(7, 4, known);
    CHECK(second.calls.bodies.empty());
    second.Perform(8, 4, known);
    CHECK(second.calls.bodies.size() == 1);
  }
  SUBCASE("of two reports that the store's copies allowed, neither is repeated")
  {
    first.calls.outcomes = { CallOutcome::kUnknown };
    first.Perform(7, 3);
    first.duty.OnLeaseLost();
    store.values["plantainslip/usage/7"] = "another";
    first.Perform(7, 3);
    CHECK(first.calls.bodies.size() == 1);
  }
}
