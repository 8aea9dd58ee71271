// Load driver: sends a scenario's requests to entry instances and checks every answer.

#include <atomic>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "../common/command_line.hpp"
#include "../common/setting_checks.hpp"
#include "../common/stop_signal.hpp"
#include "role_watch.hpp"
#include "tally.hpp"

namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)

constexpr std::uint64_t kSeedOfScenario = 0;
constexpr unsigned kMostThreads = 4096;
constexpr std::chrono::milliseconds kLateStart(10);

struct Settings
{
  std::vector<std::string> entries;
  std::string scenario;
  std::uint64_t seed = kSeedOfScenario;
  unsigned threads = 256;
  apps::Secret operatorKey;
  bool asJson = false;
};

void
AddFlags(apps::CommandLine& aLine, Settings& aSettings)
{
  aLine
    .Add("entries",
         aSettings.entries,
         "Addresses of entry instances, with commas; requests go to each in turn",
         "Network")
    ->required()
    ->delimiter(',')
    ->check(&apps::CheckAddress);
  aLine.AddSecret("operator-key",
                  aSettings.operatorKey,
                  "Key that proves an operator, to count role changes; without it nobody counts",
                  "Security");
  aLine.Add("scenario", aSettings.scenario, "File that holds the token mix; JSON", "Traffic")
    ->required()
    ->check(CLI::ExistingFile);
  aLine.Add(
    "seed", aSettings.seed, "Seed of the schedule; 0 takes the scenario's own seed", "Traffic");
  aLine.Add("threads", aSettings.threads, "Most requests that are open at once", "Traffic")
    ->check(CLI::Range(1U, kMostThreads));
  aLine.AddSwitch("json", aSettings.asJson, "Print JSON for programs", "Output");
}

absl::StatusOr<load::Scenario>
ReadScenario(const std::string& aPath)
{
  const std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return load::ParseScenario(text.str());
}

// The schedule of one run and the callers that work through it.
class Run
{
public:
  Run(const load::Scenario& aScenario,
      const std::vector<load::PlannedRequest>& aPlan,
      std::vector<net::Address> aEntries)
    : scenario(aScenario)
    , plan(aPlan)
    , entries(std::move(aEntries))
    , begunAt(clock.Now())
  {
  }

  void WorkThrough(unsigned aThreads)
  {
    std::vector<std::thread> callers;
    callers.reserve(aThreads);
    for (unsigned caller = 0; caller < aThreads; ++caller) {
      callers.emplace_back([this] { this->CallUntilDone(); });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
  }

  const load::Tally& Results() const { return this->tally; }
  std::chrono::nanoseconds Elapsed() const { return this->clock.Now() - this->begunAt; }

private:
  void CallUntilDone()
  {
    for (;;) {
      const std::size_t number = this->next++;
      if (number >= this->plan.size()) {
        return;
      }
      const load::PlannedRequest& request = this->plan[number];
      const core::MonotonicTime plannedAt = this->begunAt + request.at;
      std::this_thread::sleep_until(plannedAt);
      if (this->clock.Now() > plannedAt + kLateStart) {
        this->tally.CountLateStart();
      }
      const net::Address& entry = this->entries[number % this->entries.size()];
      this->tally.Count(request,
                        load::CallEntry(entry, this->scenario, request, plannedAt, this->clock));
    }
  }

  const load::Scenario& scenario;
  const std::vector<load::PlannedRequest>& plan;
  std::vector<net::Address> entries;
  core::SystemClock clock;
  core::MonotonicTime begunAt;
  std::atomic<std::size_t> next = 0;
  load::Tally tally;
};

int
Drive(const Settings& aSettings, const load::Scenario& aScenario)
{
  std::vector<net::Address> entries;
  for (const std::string& entry : aSettings.entries) {
    entries.push_back(*net::Address::Parse(entry));
  }
  const std::uint64_t seed = aSettings.seed == kSeedOfScenario ? aScenario.seed : aSettings.seed;
  const auto plan = load::PlanArrivals(aScenario, seed);
  std::unique_ptr<load::RoleWatch> watch;
  if (!aSettings.operatorKey.Empty()) {
    watch = load::RoleWatch::Start(entries, aSettings.operatorKey.Reveal());
  }
  Run run(aScenario, plan, entries);
  run.WorkThrough(aSettings.threads);
  const auto elapsed = run.Elapsed();
  const std::int64_t roleChanges = watch == nullptr ? -1 : watch->Stop();
  if (aSettings.asJson) {
    std::cout << run.Results().Json(elapsed, roleChanges) << "\n";
  } else {
    std::cout << "seed " << seed << "\n" << run.Results().Table(elapsed, roleChanges);
  }
  return run.Results().AllAnswersRight() ? apps::kExitDone : apps::kExitFailed;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Settings settings;
  apps::CommandLine line("plantainslip-load",
                         "Drives a token-mix scenario at entry instances and checks every answer.");
  AddFlags(line, settings);
  absl::StatusOr<load::Scenario> scenario;
  line.OnCheck([&]() -> std::string {
    scenario = ReadScenario(settings.scenario);
    return scenario.ok()
             ? std::string()
             : "--scenario: " + settings.scenario + ": " + std::string(scenario.status().message());
  });
  if (const auto exitCode = line.Parse(aCount, aArguments); exitCode.has_value()) {
    return *exitCode;
  }
  return Drive(settings, *scenario);
}
