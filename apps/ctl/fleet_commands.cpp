#include "fleet_commands.hpp"

#include <iostream>

#include "../common/command_line.hpp"
#include "../common/table.hpp"

namespace plantainslip::ctl {

namespace {

using nlohmann::json;

// Gives a field as a table shows it: texts as they are, and a dash for what is not known.
std::string
Show(const json& aLine, const std::string& aName)
{
  const auto found = aLine.find(aName);
  if (found == aLine.end() || found->is_null()) {
    return "-";
  }
  if (found->is_boolean()) {
    return found->get<bool>() ? "yes" : "no";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

int
PrintTable(const json& aLines, const std::vector<std::string>& aFields)
{
  apps::Table table(aFields);
  for (const json& line : aLines) {
    std::vector<std::string> row;
    row.reserve(aFields.size());
    for (const std::string& field : aFields) {
      row.push_back(Show(line, field));
    }
    table.AddRow(std::move(row));
  }
  std::cout << table.Text();
  return apps::kExitDone;
}

int
PrintList(const Settings& aSettings, const json& aLines, const std::vector<std::string>& aFields)
{
  if (aSettings.asJson) {
    std::cout << aLines << "\n";
    return apps::kExitDone;
  }
  return PrintTable(aLines, aFields);
}

} // namespace

int
ShowTargets(const Settings& aSettings)
{
  json fleet;
  if (const int exitCode = Read(aSettings, "/v1/operator/fleet", fleet);
      exitCode != apps::kExitDone) {
    return exitCode;
  }
  return PrintList(aSettings,
                   fleet.at("targets"),
                   { "name",
                     "zone",
                     "kind",
                     "serves",
                     "role",
                     "model",
                     "version",
                     "running",
                     "queued",
                     "changing",
                     "leaving",
                     "address" });
}

int
ShowInstances(const Settings& aSettings)
{
  json fleet;
  if (const int exitCode = Read(aSettings, "/v1/operator/fleet", fleet);
      exitCode != apps::kExitDone) {
    return exitCode;
  }
  json lines = json::array();
  for (const InstanceVersion& instance : AskVersions(aSettings, fleet.at("instances"))) {
    lines.push_back({ { "name", instance.name },
                      { "zone", instance.zone },
                      { "address", instance.address },
                      { "answers", instance.answered },
                      { "version", instance.answered ? json(instance.version) : json() },
                      { "leaving", instance.leaving } });
  }
  return PrintList(
    aSettings, lines, { "name", "zone", "address", "answers", "version", "leaving" });
}

int
ShowOrders(const Settings& aSettings)
{
  json answer;
  if (const int exitCode = Read(aSettings, "/v1/operator/orders", answer);
      exitCode != apps::kExitDone) {
    return exitCode;
  }
  return PrintList(
    aSettings,
    answer.at("orders"),
    { "target", "phase", "kind", "role", "model", "version", "adapter", "token", "order" });
}

int
Drain(const Settings& aSettings)
{
  const json body = { { "target", aSettings.target } };
  const auto reply = Call(
    aSettings, *net::Address::Parse(aSettings.entry), "POST", "/v1/operator/drains", body.dump());
  const int exitCode = ExitCodeOf(reply);
  if (exitCode == apps::kExitDone) {
    std::cout << reply->body << "\n";
  }
  return exitCode;
}

} // namespace plantainslip::ctl
