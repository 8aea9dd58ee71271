#include <doctest/doctest.h>

#include <csignal>

#include <harness/history.hpp>
#include <harness/small_fleet.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

// A controller is stopped between its last look at the lease and the writing of an order, and goes
// on when its successor has settled that order and given another. The engine ignores fencing
// tokens; the checker reads only the engine's own record.

namespace {

constexpr int kExitBySignal = 128;

json
Configuration(const std::string& aVersion)
{
  return { { "deployments", { { "reader", { { "model", "m" }, { "version", aVersion } } } } },
           { "targets",
             { { "engine-1", { { "deployment", "reader" }, { "checks_fencing", false } } } } } };
}

void
AwaitLoaded(const harness::ChildProcess& aEngine, const std::string& aVersion)
{
  harness::Await("the engine has version " + aVersion, [&] {
    const auto reply = harness::Send(aEngine, "GET", "/v1/report");
    const json report = json::parse(reply.body, nullptr, false);
    return report.is_object() && report.value("version", "") == aVersion &&
           !report.value("changing", true);
  });
}

json
OrdersOf(const harness::ChildProcess& aEngine)
{
  return json::parse(harness::Send(aEngine, "GET", "/v1/orders").body, nullptr, false);
}

void
ReadRecord(const harness::ChildProcess& aEngine, harness::History& aHistory)
{
  for (const json& order : OrdersOf(aEngine)) {
    aHistory.Add(harness::OrderEvent{ "engine-1",
                                      order.at("order"),
                                      order.at("token"),
                                      order.at("accepted"),
                                      order.at("running") });
  }
}

} // namespace

TEST_CASE("a controller stopped past its lease sends no late order")
{
  harness::SmallFleet fleet;
  auto& entry = fleet.AddEntry("entry-1", "a");
  auto& engine = fleet.AddEngine("engine-1", "a", { "--checks-fencing", "0" });
  REQUIRE(harness::SmallFleet::Patch(entry, 0, Configuration("1")) == 200);
  const auto startPausing = [&](const std::string& aTimer) {
    return std::make_unique<harness::ChildProcess>(
      "tests/pausing-controller",
      std::vector<std::string>{ "--instance",
                                "paused",
                                "--zone",
                                "a",
                                "--interval-ms",
                                "50",
                                "--lease-ms",
                                "2000",
                                "--peer-key",
                                harness::kPeerKey,
                                "--timer",
                                aTimer,
                                "--platform",
                                fleet.Platform().ListeningAddress().Text() },
      false);
  };
  const auto takeOver = [&] {
    fleet.AddController("successor", "a", { "--lease-ms", "2000" });
    AwaitLoaded(engine, "1");
    REQUIRE(harness::SmallFleet::Patch(entry, 1, Configuration("2")) == 200);
    AwaitLoaded(engine, "2");
  };

  SUBCASE("the kernel's timer ends it before it runs on")
  {
    const auto paused = startPausing("1");
    paused->AwaitStopped();
    takeOver();
    paused->Signal(SIGCONT);
    CHECK(paused->WaitForExit() == kExitBySignal + SIGALRM);
    harness::History history;
    ReadRecord(engine, history);
    CHECK(harness::Describe(harness::CheckAuthority(history)) == "");
    CHECK(harness::Describe(harness::CheckOrders(history)) == "");
  }
  SUBCASE("with the timer switched off, the checker finds the late order")
  {
    const auto paused = startPausing("0");
    paused->AwaitStopped();
    takeOver();
    const std::size_t before = OrdersOf(engine).size();
    paused->Signal(SIGCONT);
    harness::Await("the late order arrives", [&] { return OrdersOf(engine).size() > before; });
    harness::History history;
    ReadRecord(engine, history);
    CHECK(harness::Describe(harness::CheckAuthority(history)) != "");
  }
}
