#include <doctest/doctest.h>

#include <csignal>

#include <harness/program_run.hpp>
#include <harness/small_fleet.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

int
Report(const std::vector<std::string>& aFlags, std::string& aOutput)
{
  const auto run = harness::RunProgram("apps/plantainslip-report", aFlags);
  aOutput = run.output;
  return run.exitCode;
}

} // namespace

TEST_CASE("the report accounts for every request that a fleet accepted")
{
  harness::SmallFleet fleet;
  auto& entry = fleet.AddEntry("entry-1", "a");
  fleet.AddController("entry-1", "a");
  fleet.AddEngine("engine-1", "a");
  const json configuration = { { "deployments",
                                 { { "reader", { { "model", "m" }, { "version", "1" } } } } },
                               { "targets", { { "engine-1", { { "deployment", "reader" } } } } } };
  REQUIRE(harness::SmallFleet::Patch(entry, 0, configuration) == 200);
  const json request = {
    { "model", "reader" }, { "prompt", "p" }, { "max_tokens", 2 }, { "stream", true }
  };
  harness::Await("the fleet serves", [&] { return harness::Complete(entry, request).whole; });
  harness::Send(entry, "POST", "/v1/completions", { { "model", 1 } });
  const std::string address = entry.ListeningAddress().Text();
  std::string output;

  SUBCASE("answered and refused requests are counted, and nothing differs")
  {
    CHECK(Report({ "--entries", address, "--duration", "0", "--json" }, output) == 0);
    const json report = json::parse(output);
    CHECK(report["differences"].empty());
    CHECK(report["total"]["answered"].get<int>() >= 1);
    CHECK(report["total"]["refused"].get<int>() >= 1);
    CHECK(report["burn"][0]["zone"] == "a");
  }

  SUBCASE("an instance that was killed is a loud line and exit code 1")
  {
    entry.Signal(SIGKILL);
    entry.WaitForExit();
    CHECK(Report({ "--entries", address, "--duration", "0" }, output) == 1);
    CHECK(output.find("NOT ACCOUNTED FOR") != std::string::npos);
  }
}
