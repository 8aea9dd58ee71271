#include <doctest/doctest.h>

#include <csignal>

#include <harness/history.hpp>
#include <harness/small_fleet.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

// A controller is paused (SIGSTOP) between its last lease check and sending an order. It continues
// after its successor has settled that order and sent another one. The engine ignores fencing
// tokens, so only the term timer can prevent the late order. The checker uses only the engine's own
// record of received orders.

namespace {

constexpr int kExitBySignal = 128;

json
MakeConfiguration(const std::string& aVersion)
{
  return { { "deployments", { { "reader", { { "model", "m" }, { "version", aVersion } } } } },
           { "targets",
             { { "engine-1", { { "deployment", "reader" }, { "checks_fencing", false } } } } } };
}

void
AwaitVersion(const harness::ChildProcess& aEngine, const std::string& aVersion)
{
  harness::Await("the engine has loaded version " + aVersion, [&] {
    const auto reply = harness::Send(aEngine, "GET", "/v1/report");
    const json report = json::parse(reply.body, nullptr, false);
    return report.is_object() && report.value("version", "") == aVersion &&
           !report.value("changing", true);
  });
}

json
ReceivedOrders(const harness::ChildProcess& aEngine)
{
  return json::parse(harness::Send(aEngine, "GET", "/v1/orders").body, nullptr, false);
}

void
AddReceivedOrders(const harness::ChildProcess& aEngine, harness::History& aHistory)
{
  for (const json& order : ReceivedOrders(aEngine)) {
    aHistory.Add(harness::OrderEvent{ "engine-1",
                                      order.at("order"),
                                      order.at("token"),
                                      order.at("accepted"),
                                      order.at("running") });
  }
}

} // namespace

TEST_CASE("a controller that is paused beyond the end of its lease sends no late order")
{
  harness::SmallFleet fleet;
  auto& entry = fleet.AddEntry("entry-1", "a");
  auto& engine = fleet.AddEngine("engine-1", "a", { "--checks-fencing", "0" });
  REQUIRE(harness::SmallFleet::Patch(entry, 0, MakeConfiguration("1")) == 200);
  const auto startPausingController = [&](const std::string& aTimer) {
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
  const auto startSuccessorAndChangeVersion = [&] {
    fleet.AddController("successor", "a", { "--lease-ms", "2000" });
    AwaitVersion(engine, "1");
    REQUIRE(harness::SmallFleet::Patch(entry, 1, MakeConfiguration("2")) == 200);
    AwaitVersion(engine, "2");
  };

  SUBCASE("the term timer kills it before it continues")
  {
    const auto paused = startPausingController("1");
    paused->AwaitStopped();
    startSuccessorAndChangeVersion();
    paused->Signal(SIGCONT);
    CHECK(paused->WaitForExit() == kExitBySignal + SIGALRM);
    harness::History history;
    AddReceivedOrders(engine, history);
    CHECK(harness::Describe(harness::CheckAuthority(history)) == "");
    CHECK(harness::Describe(harness::CheckOrders(history)) == "");
  }
  SUBCASE("the checker finds the late order if the term timer is switched off")
  {
    const auto paused = startPausingController("0");
    paused->AwaitStopped();
    startSuccessorAndChangeVersion();
    const std::size_t before = ReceivedOrders(engine).size();
    paused->Signal(SIGCONT);
    harness::Await("the late order arrives",
                   [&] { return ReceivedOrders(engine).size() > before; });
    harness::History history;
    AddReceivedOrders(engine, history);
    CHECK(harness::Describe(harness::CheckAuthority(history)) != "");
  }
}
