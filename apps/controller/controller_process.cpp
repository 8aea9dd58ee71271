#include "controller_process.hpp"

#include <plantainslip/core/log.hpp>
#include <plantainslip/platform/http_platform.hpp>
#include <plantainslip/roles/demand_roles.hpp>

#include "../common/setting_checks.hpp"
#include "../common/stop_signal.hpp"

namespace plantainslip::apps {

namespace {

constexpr std::chrono::milliseconds kPlatformTimeout = std::chrono::seconds(1);
constexpr std::chrono::milliseconds kLeaseMargin{ 500 };
constexpr int kLeasePartsPerMargin = 10;
constexpr std::size_t kThreads = 32;
constexpr int kStepsInLease = 3;

authority::ControllerOptions
ToOptions(const ControllerSettings& aSettings)
{
  authority::ControllerOptions options;
  options.lease.zone = core::ZoneId(aSettings.zone);
  options.lease.holder = core::InstanceId(aSettings.instance);
  options.lease.duration = std::chrono::milliseconds(aSettings.leaseMs);
  options.lease.margin = std::min(kLeaseMargin, options.lease.duration / kLeasePartsPerMargin);
  options.takeoverDelay = std::chrono::milliseconds(aSettings.takeOverMs);
  options.maxConcurrentLoads = static_cast<std::size_t>(aSettings.loadsAtOnce);
  options.threads = kThreads;
  return options;
}

roles::DemandRolesOptions
ToRoleOptions(const ControllerSettings& aSettings)
{
  roles::DemandRolesOptions options;
  options.planner.capacity = { static_cast<double>(aSettings.prefillTokensPerSecond),
                               static_cast<double>(aSettings.decodeTokensPerSecond) };
  options.planner.changeTime = std::chrono::seconds(aSettings.roleChangeSeconds);
  options.threads = kThreads;
  return options;
}

void
AddPlannerFlags(CommandLine& aLine, ControllerSettings& aSettings)
{
  aLine
    .Add("prefill-capacity",
         aSettings.prefillTokensPerSecond,
         "Prompt tokens a second of an engine that only works on prompts",
         "Roles")
    ->check(CLI::Range(1, 100'000'000));
  aLine
    .Add("decode-capacity",
         aSettings.decodeTokensPerSecond,
         "Tokens generated a second by an engine that only generates",
         "Roles")
    ->check(CLI::Range(1, 100'000'000));
  aLine
    .Add("role-change-seconds",
         aSettings.roleChangeSeconds,
         "Time for which a change of role takes an engine away; seconds",
         "Roles")
    ->check(CLI::Range(1, 3'600));
}

} // namespace

void
AddControllerFlags(CommandLine& aLine, ControllerSettings& aSettings)
{
  aLine.Add("instance", aSettings.instance, "Name of this instance", "Identity")
    ->required()
    ->check(&CheckName);
  aLine.Add("zone", aSettings.zone, "Availability zone of this instance", "Identity")
    ->required()
    ->check(&CheckName);
  aLine.Add("platform", aSettings.platform, "Address of the platform's services", "Network")
    ->required()
    ->check(&CheckAddress);
  aLine.AddSecret("peer-key",
                  aSettings.peerKey,
                  "Key that peers prove themselves with; the entry instances' own",
                  "Security");
  aLine.Add("interval-ms", aSettings.intervalMs, "Time between two steps; milliseconds", "Control")
    ->check(CLI::Range(10, 60'000));
  aLine.Add("lease-ms", aSettings.leaseMs, "Duration of the zone's lease; milliseconds", "Control")
    ->check(CLI::Range(1'000, 600'000));
  aLine
    .Add("take-over-ms",
         aSettings.takeOverMs,
         "Time from a term's beginning to the first order to an engine that ignores fencing "
         "tokens; milliseconds, more than the 2 s for which an order may be under way",
         "Control")
    ->check(CLI::Range(2'100, 600'000));
  aLine
    .Add("loads-at-once",
         aSettings.loadsAtOnce,
         "Most engines of the zone that load from the weight store at once",
         "Control")
    ->check(CLI::Range(1, 1'000));
  AddPlannerFlags(aLine, aSettings);
  // A lease is renewed between steps, so it has to last over a step that failed and the next.
  aLine.OnCheck([&aSettings]() -> std::string {
    if (aSettings.leaseMs >= kStepsInLease * aSettings.intervalMs) {
      return {};
    }
    return "--lease-ms: " + std::to_string(aSettings.leaseMs) + " is less than three times " +
           "--interval-ms, " + std::to_string(aSettings.intervalMs);
  });
}

int
RunController(const ControllerSettings& aSettings,
              targets::EngineClient& aEngines,
              const core::Clock& aClock,
              authority::TermTimer& aTimer)
{
  const net::Address platformAddress = *net::Address::Parse(aSettings.platform);
  const auto store = platform::MakeHttpStore(platformAddress, kPlatformTimeout);
  const auto list = platform::MakeHttpInstanceList(platformAddress, kPlatformTimeout);
  const auto peerClient = peers::MakeHttp2PeerClient(aSettings.peerKey.Reveal());
  roles::DemandRoles planner(*peerClient, aClock, ToRoleOptions(aSettings));
  authority::Controller controller(
    { *store, *list, aEngines, *peerClient, aClock, aTimer, &planner }, ToOptions(aSettings));
  core::Log(core::LogLevel::kInfo, "started");
  do {
    controller.Step();
  } while (!WaitForStopSignal(aSettings.intervalMs));
  controller.Stop();
  core::Log(core::LogLevel::kInfo, "stopped");
  return kExitDone;
}

} // namespace plantainslip::apps
