// Controller: the flags, the wiring and the loop. No decisions.

#include <plantainslip/authority/controller.hpp>
#include <plantainslip/core/log.hpp>
#include <plantainslip/platform/http_platform.hpp>

#include "../common/command_line.hpp"
#include "../common/setting_checks.hpp"
#include "../common/stop_signal.hpp"

namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)

constexpr std::chrono::milliseconds kPlatformTimeout = std::chrono::seconds(2);
constexpr std::chrono::milliseconds kEngineTimeout = std::chrono::seconds(2);

constexpr int kStepsInLease = 3;

struct Settings
{
  std::string instance;
  std::string zone;
  std::string platform;
  int intervalMs = 500;
  int leaseMs = 5000;
};

void
AddFlags(apps::CommandLine& aLine, Settings& aSettings)
{
  aLine.Add("instance", aSettings.instance, "Name of this instance", "Identity")
    ->required()
    ->check(&apps::CheckName);
  aLine.Add("zone", aSettings.zone, "Availability zone of this instance", "Identity")
    ->required()
    ->check(&apps::CheckName);
  aLine.Add("platform", aSettings.platform, "Address of the platform's services", "Network")
    ->required()
    ->check(&apps::CheckAddress);
  aLine.Add("interval-ms", aSettings.intervalMs, "Time between two steps; milliseconds", "Control")
    ->check(CLI::Range(10, 60'000));
  aLine.Add("lease-ms", aSettings.leaseMs, "Duration of the zone's lease; milliseconds", "Control")
    ->check(CLI::Range(1'000, 600'000));
  // A lease is renewed on each step, so it has to last over a step that failed and the next.
  aLine.OnCheck([&aSettings]() -> std::string {
    if (aSettings.leaseMs >= kStepsInLease * aSettings.intervalMs) {
      return {};
    }
    return "--lease-ms: " + std::to_string(aSettings.leaseMs) + " is less than three times " +
           "--interval-ms, " + std::to_string(aSettings.intervalMs);
  });
}

int
Run(const Settings& aSettings)
{
  const net::Address platformAddress = *net::Address::Parse(aSettings.platform);
  const core::SystemClock clock;
  const auto store = platform::MakeHttpStore(platformAddress, kPlatformTimeout);
  const auto list = platform::MakeHttpInstanceList(platformAddress, kPlatformTimeout);
  const auto engines = targets::MakeHttpEngineClient(kEngineTimeout);
  authority::ZoneLeaseOptions lease;
  lease.zone = core::ZoneId(aSettings.zone);
  lease.holder = core::InstanceId(aSettings.instance);
  lease.duration = std::chrono::milliseconds(aSettings.leaseMs);
  authority::Controller controller({ *store, *list, *engines, clock }, lease);
  core::Log(core::LogLevel::kInfo, "started");
  do {
    controller.Step();
  } while (!apps::WaitForStopSignal(aSettings.intervalMs));
  controller.Stop();
  core::Log(core::LogLevel::kInfo, "stopped");
  return apps::kExitDone;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Settings settings;
  apps::CommandLine line("plantainslip-controller",
                         "Orders the engines of one availability zone while it holds the lease.");
  AddFlags(line, settings);
  if (const auto exitCode = line.Parse(aCount, aArguments); exitCode.has_value()) {
    return *exitCode;
  }
  apps::BlockStopSignals();
  core::InitializeLog({ "plantainslip-controller", settings.instance, settings.zone },
                      line.LogLevel());
  return Run(settings);
}
