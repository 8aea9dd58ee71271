#include "render.hpp"

#include <algorithm>
#include <cstdio>
#include <ctime>

#include <nlohmann/json.hpp>

#include "../common/table.hpp"

namespace plantainslip::report {

namespace {

using nlohmann::ordered_json;

constexpr std::size_t kTextBytes = 64;

std::vector<std::string>
AccountRow(const std::string& aName, const Account& aAccount)
{
  std::vector<std::string> row = { aName, aAccount.zone, std::to_string(aAccount.accepted) };
  for (const std::uint64_t end : aAccount.ends) {
    row.push_back(std::to_string(end));
  }
  row.push_back(std::to_string(aAccount.open));
  row.push_back(std::to_string(aAccount.lost));
  row.push_back(std::to_string(aAccount.endUnknown));
  return row;
}

ordered_json
AccountJson(const Account& aAccount)
{
  ordered_json line = { { "instance", aAccount.instance },
                        { "zone", aAccount.zone },
                        { "accepted", aAccount.accepted } };
  for (std::size_t end = 0; end < observe::kRequestEnds; ++end) {
    line[observe::EndName(static_cast<observe::RequestEnd>(end))] = aAccount.ends[end];
  }
  line["open"] = aAccount.open;
  line["lost"] = aAccount.lost;
  line["end_unknown"] = aAccount.endUnknown;
  return line;
}

std::string
BurnTable(const Report& aReport)
{
  apps::Table table({ "deployment", "zone", "level", "objective", "events" });
  for (const char* name : kWindowNames) {
    table.AddColumn(name);
  }
  for (const LevelBurn& burn : aReport.burns) {
    char objective[kTextBytes];
    (void)std::snprintf(objective, sizeof(objective), "%g", burn.objective);
    std::vector<std::string> row = {
      burn.deployment, burn.zone, burn.level, objective, std::to_string(burn.events)
    };
    for (const WindowBurn& window : burn.windows) {
      row.push_back(FormatBurn(window));
    }
    table.AddRow(std::move(row));
  }
  return table.Text();
}

std::string
AccountTable(const Report& aReport)
{
  apps::Table table({ "instance",
                      "zone",
                      "accepted",
                      "answered",
                      "refused",
                      "failed",
                      "caller gone",
                      "open",
                      "lost",
                      "end unknown" });
  for (const Account& account : aReport.accounts.instances) {
    table.AddRow(AccountRow(account.instance, account));
  }
  table.AddRow(AccountRow("all", aReport.accounts.total));
  return table.Text();
}

} // namespace

Report
MakeReport(const std::vector<InstanceSample>& aSamples, const Objectives& aObjectives)
{
  Report report;
  report.accounts = DrawUpAccounts(aSamples);
  report.burns = ComputeBurn(aSamples, aObjectives);
  report.readings = aSamples.size();
  if (!aSamples.empty()) {
    report.from = aSamples.front().at;
    report.until = aSamples.back().at;
  }
  return report;
}

std::string
FormatBurn(const WindowBurn& aBurn)
{
  if (!aBurn.rate.has_value()) {
    return "-";
  }
  char text[kTextBytes];
  (void)std::snprintf(text, sizeof(text), "%.2f%s", *aBurn.rate, aBurn.whole ? "" : "~");
  return text;
}

std::string
FormatMoment(core::WallTime aMoment)
{
  const std::time_t seconds = core::WallTime::clock::to_time_t(aMoment);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[kTextBytes];
  return { text, std::strftime(text, sizeof(text), "%Y-%m-%d %H:%M:%S UTC", &parts) };
}

std::string
RenderText(const Report& aReport)
{
  std::string text = std::to_string(aReport.readings) + " readings from " +
                     FormatMoment(aReport.from) + " to " + FormatMoment(aReport.until) + "\n\n";
  text += "Service-level burn; 1 uses up the error budget exactly, ~ marks a window that the "
          "readings do not fill\n";
  text += BurnTable(aReport) + "\nAccepted requests and their ends\n" + AccountTable(aReport);
  for (const LevelBurn& burn : aReport.burns) {
    if (burn.alert) {
      text += "\nBURN ALERT: " + burn.deployment + " in " + burn.zone + ": " + burn.level + "\n";
    }
  }
  for (const std::string& difference : aReport.accounts.differences) {
    text += "\nNOT ACCOUNTED FOR: " + difference + "\n";
  }
  if (aReport.accounts.differences.empty()) {
    text += "\nevery accepted request is accounted for\n";
  }
  return text;
}

std::string
RenderJson(const Report& aReport)
{
  ordered_json answer = { { "readings", aReport.readings },
                          { "from", FormatMoment(aReport.from) },
                          { "until", FormatMoment(aReport.until) },
                          { "burn", ordered_json::array() },
                          { "accounts", ordered_json::array() } };
  for (const LevelBurn& burn : aReport.burns) {
    ordered_json line = { { "deployment", burn.deployment }, { "zone", burn.zone },
                          { "level", burn.level },           { "objective", burn.objective },
                          { "events", burn.events },         { "alert", burn.alert } };
    for (std::size_t window = 0; window < kWindows.size(); ++window) {
      const WindowBurn& value = burn.windows[window];
      line["windows"].push_back(
        { { "seconds", kWindows[window].count() },
          { "rate", value.rate.has_value() ? ordered_json(*value.rate) : ordered_json() },
          { "whole", value.whole } });
    }
    answer["burn"].push_back(std::move(line));
  }
  for (const Account& account : aReport.accounts.instances) {
    answer["accounts"].push_back(AccountJson(account));
  }
  answer["total"] = AccountJson(aReport.accounts.total);
  answer["differences"] = aReport.accounts.differences;
  return answer.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

} // namespace plantainslip::report
