#include "config_commands.hpp"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iostream>
#include <thread>

#include <plantainslip/core/random.hpp>

#include "../common/command_line.hpp"
#include "../common/table.hpp"
#include "document_diff.hpp"

namespace plantainslip::ctl {

namespace {

using nlohmann::json;

constexpr const char* kConfigurationPath = "/v1/operator/configuration";
constexpr std::chrono::milliseconds kPollInterval(100);
constexpr std::int64_t kMillisecondsASecond = 1000;
constexpr std::size_t kTimeBytes = 40;

std::string
FormatMilliseconds(std::int64_t aMilliseconds)
{
  const std::time_t seconds = aMilliseconds / kMillisecondsASecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[kTimeBytes];
  return { text, std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts) };
}

bool
HasInForce(const InstanceVersion& aInstance, std::uint64_t aVersion)
{
  return aInstance.answered && aInstance.version >= aVersion;
}

// An instance that is leaving, or that cannot be read, is told but only the latter is waited for.
bool
IsInForceEverywhere(const std::vector<InstanceVersion>& aInstances, std::uint64_t aVersion)
{
  return std::all_of(aInstances.begin(), aInstances.end(), [&](const InstanceVersion& aInstance) {
    return aInstance.leaving || HasInForce(aInstance, aVersion);
  });
}

std::string
StateOf(const InstanceVersion& aInstance, std::uint64_t aVersion)
{
  if (HasInForce(aInstance, aVersion)) {
    return "in force";
  }
  if (aInstance.leaving) {
    return "leaving";
  }
  return aInstance.answered ? "not yet" : "no answer";
}

void
PrintInstances(const Settings& aSettings,
               std::uint64_t aVersion,
               const std::vector<InstanceVersion>& aInstances)
{
  json lines = json::array();
  apps::Table table({ "instance", "zone", "address", "version", "state" });
  for (const InstanceVersion& instance : aInstances) {
    const std::string version = instance.answered ? std::to_string(instance.version) : "-";
    const std::string state = StateOf(instance, aVersion);
    table.AddRow({ instance.name, instance.zone, instance.address, version, state });
    lines.push_back({ { "name", instance.name },
                      { "zone", instance.zone },
                      { "address", instance.address },
                      { "version", instance.answered ? json(instance.version) : json() },
                      { "state", state } });
  }
  if (aSettings.asJson) {
    const bool everywhere = IsInForceEverywhere(aInstances, aVersion);
    std::cout << json{
      { "version", aVersion }, { "in_force_everywhere", everywhere }, { "instances", lines }
    } << "\n";
  } else {
    std::cout << table.Text();
  }
}

// The list is read anew each time, since instances come and go meanwhile.
int
Wait(const Settings& aSettings, std::uint64_t aVersion)
{
  const auto end =
    std::chrono::steady_clock::now() + std::chrono::seconds(aSettings.timeoutSeconds);
  for (;;) {
    json fleet;
    if (const int exitCode = Read(aSettings, "/v1/operator/fleet", fleet);
        exitCode != apps::kExitDone) {
      return exitCode;
    }
    const auto instances = AskVersions(aSettings, fleet.value("instances", json::array()));
    const bool everywhere = !instances.empty() && IsInForceEverywhere(instances, aVersion);
    if (everywhere || std::chrono::steady_clock::now() >= end) {
      PrintInstances(aSettings, aVersion, instances);
      return everywhere ? apps::kExitDone : kExitNotInForce;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

// What the patch changes is told before it is sent; a program reads JSON and needs no such text.
int
TellChange(const Settings& aSettings, const json& aChange)
{
  json record;
  if (const int exitCode = Read(aSettings, kConfigurationPath, record);
      exitCode != apps::kExitDone) {
    return exitCode;
  }
  if (!aSettings.asJson && record.at("version") == aSettings.base) {
    std::cout << DescribeChange(record.at("document"), aChange);
  }
  return apps::kExitDone;
}

} // namespace

int
ShowConfiguration(const Settings& aSettings)
{
  json record;
  if (const int exitCode = Read(aSettings, kConfigurationPath, record);
      exitCode != apps::kExitDone) {
    return exitCode;
  }
  if (aSettings.asJson) {
    std::cout << record << "\n";
  } else {
    std::cout << "version " << record.at("version") << "\n"
              << record.at("document").dump(2) << "\n";
  }
  return apps::kExitDone;
}

int
ShowHistory(const Settings& aSettings)
{
  json record;
  if (const int exitCode = Read(aSettings, kConfigurationPath, record);
      exitCode != apps::kExitDone) {
    return exitCode;
  }
  if (aSettings.asJson) {
    std::cout << record.at("history") << "\n";
    return apps::kExitDone;
  }
  apps::Table table({ "version", "accepted", "author", "patch", "change" });
  for (const json& line : record.at("history")) {
    table.AddRow({ line.at("version").dump(),
                   FormatMilliseconds(line.at("accepted_at_ms").get<std::int64_t>()),
                   line.at("author").get<std::string>(),
                   line.at("patch").get<std::string>(),
                   line.at("change").dump() });
  }
  std::cout << table.Text();
  return apps::kExitDone;
}

int
SubmitPatch(const Settings& aSettings)
{
  const json change = json::parse(aSettings.change, nullptr, false);
  if (const int exitCode = TellChange(aSettings, change); exitCode != apps::kExitDone) {
    return exitCode;
  }
  const std::string patch = aSettings.patch.empty() ? core::MakeUniqueName() : aSettings.patch;
  const json body = { { "patch", patch },
                      { "base", aSettings.base },
                      { "author", aSettings.author },
                      { "change", change } };
  const auto reply = Call(
    aSettings, *net::Address::Parse(aSettings.entry), "POST", "/v1/operator/patches", body.dump());
  if (const int exitCode = ExitCodeOf(reply); exitCode != apps::kExitDone) {
    std::cerr << "patch " << patch << " can be submitted again with --patch " << patch << "\n";
    return exitCode;
  }
  const std::uint64_t version = json::parse(reply->body).at("version").get<std::uint64_t>();
  if (!aSettings.asJson) {
    std::cout << "accepted as version " << version << ", patch " << patch << " by "
              << aSettings.author << "\n";
  }
  if (aSettings.noWait) {
    if (aSettings.asJson) {
      std::cout << json{ { "version", version }, { "patch", patch } } << "\n";
    }
    return apps::kExitDone;
  }
  return Wait(aSettings, version);
}

int
WaitForVersion(const Settings& aSettings)
{
  std::uint64_t version = aSettings.version;
  if (version == 0) {
    json record;
    if (const int exitCode = Read(aSettings, kConfigurationPath, record);
        exitCode != apps::kExitDone) {
      return exitCode;
    }
    version = record.at("version").get<std::uint64_t>();
  }
  return Wait(aSettings, version);
}

} // namespace plantainslip::ctl
