#include <doctest/doctest.h>

#include <harness/small_fleet.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

TEST_CASE(
  "a workspace over its limit is refused as not run at every entry instance, others are not")
{
  harness::SmallFleet fleet;
  auto& first = fleet.AddEntry("entry-1", "a");
  auto& second = fleet.AddEntry("entry-2", "a");
  fleet.AddController("entry-1", "a");
  fleet.AddEngine("engine-1", "a");
  const json configuration = {
    { "deployments", { { "reader", { { "model", "m" }, { "version", "1" } } } } },
    { "targets", { { "engine-1", { { "deployment", "reader" } } } } },
    // So slow that no further request is let in while the test runs.
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
  for (const harness::ChildProcess* entry : { &first, &second }) {
    harness::Await("engines serve", [&] { return ask(*entry, "choir").status == 200; });
    CHECK(ask(*entry, "school").status == 200);
    const auto refused = ask(*entry, "school");
    CHECK(refused.status == 429);
    CHECK(json::parse(refused.body)["outcome"] == "not_run");
    CHECK(ask(*entry, "choir").status == 200);
  }
}
