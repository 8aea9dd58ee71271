#include <doctest/doctest.h>

#include <map>
#include <thread>

#include <nlohmann/json.hpp>

#include "fakes/platform_calls.hpp"
#include "harness/wire_fleet.hpp"

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using harness::WireFleet;
using nlohmann::json;

namespace {

// Returns the reported requests by workspace; fails if a window has two different reports.
std::map<std::string, std::uint64_t>
Reported(const fakes::PlatformCallsFake& aPlatform)
{
  std::map<std::uint64_t, std::string> bodies;
  for (const fakes::ReceivedCall& call : aPlatform.Calls()) {
    const json report = json::parse(call.body);
    const auto body = bodies.emplace(report["window"].get<std::uint64_t>(), call.body).first;
    CHECK(body->second == call.body);
  }
  std::map<std::string, std::uint64_t> sums;
  for (const auto& [window, body] : bodies) {
    const json report = json::parse(body);
    for (const auto& [workspace, count] : report["counts"].items()) {
      sums[workspace] += count.get<std::uint64_t>();
    }
  }
  return sums;
}

} // namespace

// Guards against requests that no report has, or that two reports have.
TEST_CASE("requests at several instances are reported once, by workspace")
{
  WireFleet fleet;
  serving::asio::io_context context{ 1 };
  auto work = serving::asio::make_work_guard(context);
  fakes::PlatformCallsFake platform(context);
  std::jthread thread([&] { context.run(); });
  fleet.AddTarget("i-s0", "desk", "");
  fleet.AddTarget("i-p0", "models", "prefill");
  fleet.AddTarget("i-d0", "models", "decode");
  fleet.SetWorkspaces(json::array({ { { "name", "acme" }, { "keys", { "key-1" } } },
                                    { { "name", "other" }, { "keys", { "key-2" } } } }));
  fleet.AddRoute("open", { { "public", true } });
  fleet.Configure(3);
  fleet.ReportUsageTo(platform.Address());
  std::vector<net::Address> instances;
  for (int number = 0; number < 2; ++number) {
    fleet.StartGateway();
    instances.push_back(fleet.Callers());
  }
  harness::Await("the first report", [&] { return !platform.Calls().empty(); });
  const std::string acme = "Authorization: Bearer key-1\r\n";
  const std::string other = "Authorization: Bearer key-2\r\n";
  for (int number = 0; number < 6; ++number) {
    const net::Address& callers = instances[static_cast<std::size_t>(number) % 2];
    const std::string id = std::to_string(number);
    CHECK(fleet.CallAt(callers, "GET", "/look/x", "a" + id, acme).status == 200);
    CHECK(fleet.CallAt(callers, "GET", "/open/x", "b" + id, acme).status == 200);
    const std::string completion = other + WireFleet::CompletionHeaders();
    CHECK(fleet.CallAt(callers, "POST", "/quote/x", "c" + id, completion, "p").status == 200);
  }
  const std::map<std::string, std::uint64_t> expected = { { "acme", 6 }, { "other", 6 } };
  harness::Await("all requests to be reported", [&] { return Reported(platform) == expected; });
  serving::asio::post(context, [&] { platform.Close(); });
  work.reset();
}
