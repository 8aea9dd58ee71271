#include <doctest/doctest.h>

#include <harness/small_fleet.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

TEST_CASE(
  "every entry instance refuses a workspace over its limit as not run and serves the others")
{
  harness::SmallFleet fleet;
  auto& first = fleet.AddEntry("entry-1", "a");
  auto& second = fleet.AddEntry("entry-2", "a");
  fleet.AddController("entry-1", "a");
  fleet.AddEngine("engine-1", "a");
  const json configuration = {
    { "deployments", { { "reader", { { "model", "m" }, { "version", "1" } } } } },
    { "targets", { { "engine-1", { { "deployment", "reader" } } } } },
    // So low that no further request is admitted during the test.
    { "limits", { { "school", { { "requests_per_second", 0.0001 } } } } }
  };
  REQUIRE(harness::SmallFleet::Patch(first, 0, configuration) == 200);
  const auto ask = [](const harness::ChildProcess& aEntry, const std::string& aWorkspace) {
    return harness::Send(aEntry,
                         "POST",
                         "/v1/completions",
                         { { "model", "reader" },
                           { "prompt", "p" },
                           { "max_tokens", 1 },
                           { "workspace", aWorkspace } });
  };
  // Each instance and each of the two owners may admit one request initially.
  constexpr int kMaxAdmitted = 4;
  int admitted = 0;
  for (const harness::ChildProcess* entry : { &first, &second }) {
    harness::Await("engines serve", [&] { return ask(*entry, "choir").status == 200; });
    int status = 0;
    for (int request = 0; request < 2 * kMaxAdmitted; ++request) {
      const auto reply = ask(*entry, "school");
      status = reply.status;
      if (status == 200) {
        ++admitted;
        continue;
      }
      CHECK(status == 429);
      CHECK(json::parse(reply.body)["outcome"] == "not_run");
    }
    CHECK(status == 429);
    CHECK(ask(*entry, "choir").status == 200);
  }
  CHECK(admitted >= 1);
  CHECK(admitted <= kMaxAdmitted);
}
