#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>

#include <harness/program_run.hpp>
#include <harness/small_fleet.hpp>

#include <plantainslip/core/random.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

// A file that is removed when the test ends.
class ScenarioFile
{
public:
  explicit ScenarioFile(const std::string& aExpected)
    : path("/tmp/plantainslip-scenario-" + core::MakeUniqueName())
  {
    const json phase = { { "name", "short" },
                         { "seconds", 0.5 },
                         { "requests_per_second", 40 },
                         { "prompt_tokens", { 5, 20 } },
                         { "output_tokens", { 1, 8 } } };
    std::ofstream(this->path) << json{ { "deployment", "reader" },
                                       { "expected", { aExpected } },
                                       { "phases", { phase } } };
  }
  ~ScenarioFile() { (void)std::remove(this->path.c_str()); }
  ScenarioFile(const ScenarioFile&) = delete;
  ScenarioFile& operator=(const ScenarioFile&) = delete;

  const std::string& Path() const { return this->path; }

private:
  std::string path;
};

} // namespace

TEST_CASE("the load driver checks every answer of a fleet")
{
  harness::SmallFleet fleet;
  auto& first = fleet.AddEntry("entry-1", "a");
  auto& second = fleet.AddEntry("entry-2", "a");
  fleet.AddController("entry-1", "a");
  fleet.AddEngine("engine-1", "a");
  const json configuration = { { "deployments",
                                 { { "reader", { { "model", "m" }, { "version", "1" } } } } },
                               { "targets", { { "engine-1", { { "deployment", "reader" } } } } } };
  REQUIRE(harness::SmallFleet::Patch(first, 0, configuration) == 200);
  const json request = {
    { "model", "reader" }, { "prompt", "p" }, { "max_tokens", 2 }, { "stream", true }
  };
  for (const auto* entry : { &first, &second }) {
    harness::Await("the fleet serves", [&] { return harness::Complete(*entry, request).whole; });
  }
  const std::string entries =
    first.ListeningAddress().Text() + "," + second.ListeningAddress().Text();

  SUBCASE("right answers give exit code 0 and are all counted")
  {
    const ScenarioFile scenario("m@1");
    const auto load = harness::RunProgram(
      "apps/plantainslip-load",
      { "--entries", entries, "--scenario", scenario.Path(), "--json", "--seed", "3" });
    CHECK(load.exitCode == 0);
    const json result = json::parse(load.output);
    CHECK(result["requests"].get<int>() > 0);
    CHECK(result["ends"]["right"] == result["requests"]);
  }

  SUBCASE("wrong answers give exit code 1 and a loud line")
  {
    const ScenarioFile scenario("another@1");
    const auto load = harness::RunProgram("apps/plantainslip-load",
                                          { "--entries", entries, "--scenario", scenario.Path() });
    CHECK(load.exitCode == 1);
    CHECK(load.output.find("WRONG ANSWERS") != std::string::npos);
  }
}
