#include <doctest/doctest.h>

#include <csignal>

#include <harness/program_run.hpp>
#include <harness/small_fleet.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr const char* kFirstChange =
  R"({"deployments":{"reader":{"model":"m","version":"1"}},"targets":{"engine-1":{"deployment":"reader"}}})";

bool
Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

harness::ProgramRun
Ctl(const harness::ChildProcess& aEntry,
    std::vector<std::string> aArguments,
    const std::string& aKey = harness::kOperatorKey)
{
  const std::vector<std::string> common = {
    "--entry", aEntry.ListeningAddress().Text(), "--operator-key", aKey
  };
  aArguments.insert(aArguments.begin(), common.begin(), common.end());
  return harness::RunProgram("apps/plantainslip-ctl", aArguments);
}

} // namespace

TEST_CASE("operators drive a fleet from the command line")
{
  harness::SmallFleet fleet;
  auto& first = fleet.AddEntry("entry-1", "a");
  auto& second = fleet.AddEntry("entry-2", "b");
  fleet.AddController("entry-1", "a");
  fleet.AddEngine("engine-1", "a");
  const std::vector<std::string> patch = { "config",   "patch", "--base",   "0",
                                           "--author", "jo",    "--change", kFirstChange };
  harness::Await("both instances are listed", [&] {
    const auto listed = Ctl(first, { "instances", "--json" });
    const json lines = json::parse(listed.output, nullptr, false);
    return lines.is_array() && lines.size() == 2;
  });

  SUBCASE("a patch tells its diff, number and author, and who has it in force")
  {
    const auto submitted = Ctl(first, patch);
    CHECK(submitted.exitCode == 0);
    CHECK(Has(submitted.output, "+ /deployments/reader/model \"m\"\n"));
    CHECK(Has(submitted.output, "accepted as version 1"));
    CHECK(Has(submitted.output, "by jo"));
    CHECK(Has(submitted.output, "entry-2   b"));
    CHECK_FALSE(Has(submitted.output, "not yet"));

    CHECK(Has(Ctl(second, { "config", "show" }).output, "version 1\n"));
    CHECK(Has(Ctl(second, { "config", "history" }).output, "jo"));
    CHECK(Ctl(second, { "config", "wait", "--config-version", "1" }).exitCode == 0);

    const auto conflict = Ctl(first, patch);
    CHECK(conflict.exitCode == 3);
    CHECK(Has(conflict.output, "version_conflict"));
  }

  SUBCASE("targets and orders are told as tables and as JSON")
  {
    REQUIRE(Ctl(first, patch).exitCode == 0);
    harness::Await("the order to load the model is journaled", [&] {
      const auto orders = Ctl(first, { "orders" });
      return Has(orders.output, "load_model") && Has(orders.output, "engine-1");
    });
    CHECK(Has(Ctl(first, { "targets" }).output, "engine-1"));
    const json targets = json::parse(Ctl(first, { "--json", "targets" }).output);
    CHECK(targets[0]["name"] == "engine-1");
  }

  SUBCASE("a version that is not in force in time has its own exit code")
  {
    const auto waited =
      Ctl(first, { "config", "wait", "--config-version", "9", "--timeout", "0", "--json" });
    CHECK(waited.exitCode == 6);
    const json result = json::parse(waited.output);
    CHECK(result["in_force_everywhere"] == false);
    CHECK(result["instances"].size() == 2);
    CHECK(result["instances"][0]["state"] == "not yet");
  }

  SUBCASE("an instance that does not answer is named")
  {
    second.Signal(SIGKILL);
    second.WaitForExit();
    const auto waited = Ctl(first, { "config", "wait", "--config-version", "0", "--timeout", "0" });
    CHECK(waited.exitCode == 6);
    CHECK(Has(waited.output, "no answer"));
  }

  SUBCASE("a wrong key and an instance that is gone have their own exit codes")
  {
    CHECK(Ctl(first, { "targets" }, "another-key").exitCode == 5);
    first.Signal(SIGKILL);
    first.WaitForExit();
    CHECK(Ctl(first, { "targets" }).exitCode == 4);
  }
}
