#include <doctest/doctest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

#include <harness/program_run.hpp>

#include <plantainslip/core/random.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using Flags = std::vector<std::string>;

namespace {

constexpr const char* kEntry = "apps/plantainslip-entry";
constexpr const char* kController = "apps/plantainslip-controller";
constexpr const char* kSecret = "a-secret-that-nobody-sees";

const Flags kValid = { "--instance", "i", "--zone", "z", "--platform", "127.0.0.1:1" };

harness::ProgramRun
RunWith(const std::string& aProgram, const Flags& aMore)
{
  Flags flags = kValid;
  flags.insert(flags.end(), aMore.begin(), aMore.end());
  return harness::RunProgram(aProgram, flags);
}

bool
Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

void
CheckNamed(const harness::ProgramRun& aRun, const std::string& aFlag, const std::string& aValue)
{
  CHECK(aRun.exitCode == 2);
  CHECK_MESSAGE(Has(aRun.output, aFlag), aRun.output);
  CHECK_MESSAGE(Has(aRun.output, aValue), aRun.output);
  CHECK_FALSE(Has(aRun.output, "listening"));
}

// An environment variable for one scope; the programs that a test starts inherit it.
class EnvironmentValue
{
public:
  EnvironmentValue(std::string aName, const std::string& aValue)
    : name(std::move(aName))
  {
    setenv(this->name.c_str(), aValue.c_str(), 1);
  }
  ~EnvironmentValue() { unsetenv(this->name.c_str()); }
  EnvironmentValue(const EnvironmentValue&) = delete;
  EnvironmentValue& operator=(const EnvironmentValue&) = delete;

private:
  std::string name;
};

} // namespace

TEST_CASE("the gateway checks its flags before it reads the platform's settings")
{
  const auto run = [](const Flags& aFlags) {
    return harness::RunProgram("apps/plantainslip-gateway", aFlags);
  };
  CheckNamed(run({ "--initial-decode-share", "1" }), "--initial-decode-share", "0.99");
  CheckNamed(run({ "--demand-horizon-s", "0" }), "--demand-horizon-s", "3600");
  CheckNamed(run({ "--requests-per-order", "-1" }), "--requests-per-order", "10000");
  CheckNamed(run({ "--quarantine-after-crashes", "1" }), "--quarantine-after-crashes", "100");
  CheckNamed(run({ "--quarantine-s", "0" }), "--quarantine-s", "3600");
  const EnvironmentValue fromEnvironment("PLANTAINSLIP_DEMAND_HORIZON_S", "4000");
  CheckNamed(run({}), "--demand-horizon-s", "4000");
}

TEST_CASE("a wrong setting is named with its value and range before a port is opened")
{
  CheckNamed(RunWith(kEntry, { "--threads", "0" }), "--threads", "1 to 4096");
  CheckNamed(RunWith(kEntry, { "--threads", "4097" }), "--threads", "4097");
  CheckNamed(RunWith(kEntry, { "--port", "65536" }), "--port", "65536");
  CheckNamed(RunWith(kEntry, { "--host", "300.0.0.1" }), "--host", "300.0.0.1");
  CheckNamed(RunWith(kEntry, { "--log-level", "loud" }), "--log-level", "loud");
  CheckNamed(RunWith(kEntry, { "--port", "7100", "--peer-port", "7100" }), "--peer-port", "7100");
  CheckNamed(RunWith(kEntry, { "--bogus", "1" }), "--bogus", "");
  CheckNamed(
    RunWith(kController, { "--lease-ms", "1000", "--interval-ms", "900" }), "--lease-ms", "1000");
  CheckNamed(
    harness::RunProgram(kEntry, { "--instance", "", "--zone", "z", "--platform", "127.0.0.1:1" }),
    "--instance",
    "''");
  CheckNamed(
    harness::RunProgram(kEntry, { "--instance", "i", "--zone", "z", "--platform", "127.0.0.1" }),
    "--platform",
    "127.0.0.1");
  CheckNamed(harness::RunProgram(kEntry, { "--instance", "i" }), "required", "");
  CheckNamed(harness::RunProgram("apps/plantainslip-report", {}), "--entries", "");
  CheckNamed(harness::RunProgram("apps/plantainslip-load",
                                 { "--entries", "127.0.0.1:1", "--scenario", "/none" }),
             "--scenario",
             "/none");
  CheckNamed(
    harness::RunProgram("apps/plantainslip-ctl",
                        { "config", "patch", "--base", "0", "--author", "a", "--change", "[1]" }),
    "--change",
    "[1]");
}

TEST_CASE("settings from the environment are checked as flags are")
{
  const EnvironmentValue threads("PLANTAINSLIP_THREADS", "99999");
  CheckNamed(RunWith(kEntry, {}), "--threads", "99999");
  CHECK(RunWith(kEntry, { "--threads", "5", "--check-settings" }).exitCode == 0);
}

TEST_CASE("settings can be checked alone")
{
  CHECK(RunWith(kEntry, { "--check-settings" }).exitCode == 0);
  CHECK(RunWith(kController, { "--check-settings" }).exitCode == 0);
}

TEST_CASE("every binary has help and a version, and shows no secret")
{
  const EnvironmentValue secret("PLANTAINSLIP_OPERATOR_KEY", kSecret);
  for (const char* name : { "entry", "controller", "ctl", "load", "report" }) {
    const std::string program = std::string("apps/plantainslip-") + name;
    const auto help = harness::RunProgram(program, { "--help" });
    CHECK(help.exitCode == 0);
    CHECK(Has(help.output, "Env:PLANTAINSLIP_"));
    CHECK_FALSE(Has(help.output, kSecret));
    const auto version = harness::RunProgram(program, { "--version" });
    CHECK(version.exitCode == 0);
    CHECK(Has(version.output, program.substr(5)));
  }
}

TEST_CASE("a secret can come from a file and is never printed")
{
  const std::string path = "/tmp/plantainslip-key-" + core::MakeUniqueName();
  std::ofstream(path) << kSecret << "\n";
  CHECK(RunWith(kEntry, { "--operator-key-file", path, "--check-settings" }).exitCode == 0);
  const auto both =
    RunWith(kEntry, { "--operator-key-file", path, "--operator-key", "another-secret" });
  CheckNamed(both, "--operator-key-file", "only one");
  CHECK_FALSE(Has(both.output, kSecret));
  CHECK_FALSE(Has(both.output, "another-secret"));
  (void)std::remove(path.c_str());
  CheckNamed(RunWith(kEntry, { "--operator-key-file", path }), "--operator-key-file", path);
  const auto blank = RunWith(kEntry, { "--operator-key", "two words" });
  CheckNamed(blank, "--operator-key", "printable");
  CHECK_FALSE(Has(blank.output, "two words"));
}
