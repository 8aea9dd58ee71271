// Report: reads the instances' metrics for a while and tells the service-level burn.

#include <fstream>
#include <iostream>
#include <sstream>

#include "../common/command_line.hpp"
#include "../common/parallel.hpp"
#include "../common/setting_checks.hpp"
#include "../common/stop_signal.hpp"
#include "render.hpp"

namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)

constexpr std::size_t kParallelReadings = 16;
constexpr int kMillisecondsASecond = 1000;
constexpr int kMostSeconds = 86'400;

struct Settings
{
  std::vector<std::string> entries;
  int intervalSeconds = 5;
  int durationSeconds = 10;
  std::string samples;
  std::string save;
  std::string html;
  bool asJson = false;
  report::Objectives objectives;
};

void
AddFlags(apps::CommandLine& aLine, Settings& aSettings)
{
  aLine
    .Add("entries", aSettings.entries, "Addresses of all entry instances, with commas", "Network")
    ->delimiter(',')
    ->check(&apps::CheckAddress);
  aLine
    .Add("interval", aSettings.intervalSeconds, "Time between two readings; seconds", "Readings")
    ->check(CLI::Range(1, kMostSeconds));
  aLine
    .Add("duration",
         aSettings.durationSeconds,
         "Time over which readings are made; seconds; 0 makes one",
         "Readings")
    ->check(CLI::Range(0, kMostSeconds));
  aLine.Add("samples", aSettings.samples, "File of saved readings that come first", "Readings")
    ->check(CLI::ExistingFile);
  aLine.Add("save", aSettings.save, "File to which new readings are added", "Readings");
  aLine.Add("html", aSettings.html, "File that gets the report as an HTML page", "Output");
  aLine.AddSwitch("json", aSettings.asJson, "Print JSON for programs", "Output");
  const auto addObjective =
    [&](const std::string& aName, double& aValue, const std::string& aDescription) {
      aLine.Add(aName, aValue, aDescription, "Objectives")->check(CLI::Range(0.0, 0.999999));
    };
  report::Objectives& objectives = aSettings.objectives;
  addObjective("answer-objective", objectives.answers, "Share of requests that are answered");
  addObjective(
    "first-token-objective", objectives.firstTokens, "Share of first tokens within 1.1 s");
  addObjective("token-gap-objective", objectives.tokenGaps, "Share of later tokens within 31 ms");
  aLine.OnCheck([&aSettings]() -> std::string {
    const bool nothing = aSettings.entries.empty() && aSettings.samples.empty();
    return nothing ? "--entries or --samples is required" : "";
  });
}

void
MakeReadings(const Settings& aSettings, std::vector<report::InstanceSample>& aSamples)
{
  const core::SystemClock clock;
  const core::WallTime at = clock.WallNow();
  std::vector<report::InstanceSample> round(aSettings.entries.size());
  apps::ForEachInParallel(round.size(), kParallelReadings, [&](std::size_t aNumber) {
    round[aNumber] = report::AskInstance(*net::Address::Parse(aSettings.entries[aNumber]), clock);
  });
  std::ofstream save;
  if (!aSettings.save.empty()) {
    save.open(aSettings.save, std::ios::app);
  }
  for (report::InstanceSample& sample : round) {
    // One moment for the whole round, so that the instances' readings add up.
    sample.at = at;
    if (save.is_open()) {
      save << report::FormatSample(sample) << "\n";
    }
    aSamples.push_back(std::move(sample));
  }
}

void
MakeAllReadings(const Settings& aSettings, std::vector<report::InstanceSample>& aSamples)
{
  if (aSettings.entries.empty()) {
    return;
  }
  MakeReadings(aSettings, aSamples);
  for (int elapsed = 0; elapsed < aSettings.durationSeconds; elapsed += aSettings.intervalSeconds) {
    if (apps::WaitForStopSignal(aSettings.intervalSeconds * kMillisecondsASecond)) {
      return;
    }
    MakeReadings(aSettings, aSamples);
  }
}

int
Print(const Settings& aSettings, const report::Report& aReport)
{
  if (!aSettings.html.empty()) {
    std::ofstream page(aSettings.html);
    page << report::RenderHtml(aReport);
    if (!page.flush()) {
      std::cerr << "--html: '" << aSettings.html << "' cannot be written\n";
      return apps::kExitFailed;
    }
  }
  std::cout << (aSettings.asJson ? report::RenderJson(aReport) + "\n"
                                 : report::RenderText(aReport));
  return aReport.accounts.differences.empty() ? apps::kExitDone : apps::kExitFailed;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Settings settings;
  apps::CommandLine line("plantainslip-report",
                         "Tells service-level burn and the end of every accepted request.");
  AddFlags(line, settings);
  std::vector<report::InstanceSample> samples;
  line.OnCheck([&]() -> std::string {
    if (settings.samples.empty()) {
      return {};
    }
    const std::ifstream file(settings.samples);
    std::ostringstream text;
    text << file.rdbuf();
    auto saved = report::ParseSamples(text.str());
    if (!saved.ok()) {
      return "--samples: " + settings.samples + ": " + std::string(saved.status().message());
    }
    samples = *std::move(saved);
    return {};
  });
  if (const auto exitCode = line.Parse(aCount, aArguments); exitCode.has_value()) {
    return *exitCode;
  }
  apps::BlockStopSignals();
  MakeAllReadings(settings, samples);
  return Print(settings, report::MakeReport(samples, settings.objectives));
}
