// Operators' command line: every subcommand is one call, or a few, of entry instances.

#include <nlohmann/json.hpp>

#include "../common/command_line.hpp"
#include "../common/setting_checks.hpp"
#include "config_commands.hpp"
#include "fleet_commands.hpp"

namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using apps::CommandLine;
using ctl::Settings;

constexpr int kMostTimeoutSeconds = 3600;

using Command = int (*)(const Settings&);

/// A subcommand and what carries it out.
struct Entry
{
  CLI::App* parser;
  Command command;
};

std::string
CheckObject(const std::string& aText)
{
  const bool isObject = nlohmann::json::parse(aText, nullptr, false).is_object();
  return isObject ? std::string() : "'" + aText + "' is not a JSON object";
}

void
AddTimeout(CLI::App& aCommand, Settings& aSettings)
{
  CommandLine::AddTo(
    aCommand, "timeout", aSettings.timeoutSeconds, "Longest wait; seconds", "Waiting")
    ->check(CLI::Range(0, kMostTimeoutSeconds));
}

CLI::App*
AddPatch(CLI::App& aConfig, Settings& aSettings)
{
  CLI::App* patch = aConfig.add_subcommand(
    "patch", "Submit a patch against a version and wait until it is in force");
  const auto add = [&](const std::string& aName, auto& aValue, const std::string& aDescription) {
    return CommandLine::AddTo(*patch, aName, aValue, aDescription, "Patch");
  };
  add("base", aSettings.base, "Version that the patch was made against")->required();
  add("author", aSettings.author, "Who answers for the patch")->required();
  add("change", aSettings.change, "JSON merge patch (RFC 7386)")->required()->check(&CheckObject);
  add("patch", aSettings.patch, "Identifier of a patch that is submitted again");
  CommandLine::AddSwitchTo(
    *patch, "no-wait", aSettings.noWait, "Do not wait until the patch is in force", "Waiting");
  AddTimeout(*patch, aSettings);
  return patch;
}

std::vector<Entry>
AddConfigCommands(CLI::App& aParser, Settings& aSettings)
{
  CLI::App* config = aParser.add_subcommand("config", "Read and change the configuration");
  config->require_subcommand(1);
  CLI::App* show = config->add_subcommand("show", "Print the accepted configuration");
  CLI::App* history = config->add_subcommand("history", "Print the newest patches");
  CLI::App* wait = config->add_subcommand("wait", "Wait until a version is in force everywhere");
  CommandLine::AddTo(
    *wait, "config-version", aSettings.version, "Version; 0 is the newest", "Waiting");
  AddTimeout(*wait, aSettings);
  return { { show, &ctl::ShowConfiguration },
           { history, &ctl::ShowHistory },
           { AddPatch(*config, aSettings), &ctl::SubmitPatch },
           { wait, &ctl::WaitForVersion } };
}

std::vector<Entry>
AddFleetCommands(CLI::App& aParser, Settings& aSettings)
{
  CLI::App* targets = aParser.add_subcommand("targets", "Print the engines and plain services");
  CLI::App* instances = aParser.add_subcommand(
    "instances", "Print the entry instances and the version that each has in force");
  CLI::App* orders = aParser.add_subcommand("orders", "Print the newest order to each engine");
  CLI::App* drain =
    aParser.add_subcommand("drain", "Take work away from a target before it is replaced");
  CommandLine::AddTo(*drain, "target", aSettings.target, "Name of the target", "Drain")
    ->required()
    ->check(&apps::CheckName);
  return { { targets, &ctl::ShowTargets },
           { instances, &ctl::ShowInstances },
           { orders, &ctl::ShowOrders },
           { drain, &ctl::Drain } };
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Settings settings;
  CommandLine line("plantainslip-ctl", "Operators' command line.");
  line.Add("entry", settings.entry, "Address of any entry instance", "Network")
    ->check(&apps::CheckAddress);
  line.AddSecret("operator-key", settings.operatorKey, "Key that proves the operator", "Security");
  line.AddSwitch("json", settings.asJson, "Print JSON for programs", "Output");
  line.Parser().require_subcommand(1);
  line.Parser().fallthrough();
  line.Parser().footer("Exit codes: 0 done, 1 failed, 2 wrong settings, 3 version conflict, "
                       "4 unreachable, 5 not authorized, 6 not in force in time.");
  std::vector<Entry> commands = AddConfigCommands(line.Parser(), settings);
  for (const Entry& entry : AddFleetCommands(line.Parser(), settings)) {
    commands.push_back(entry);
  }
  if (const auto exitCode = line.Parse(aCount, aArguments); exitCode.has_value()) {
    return *exitCode;
  }
  for (const Entry& entry : commands) {
    if (entry.parser->parsed()) {
      return entry.command(settings);
    }
  }
  return apps::kExitBadSettings;
}
