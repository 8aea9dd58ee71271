// What workspaces' limits let through under even and skewed arrivals, with instances lost and zones
// cut, against a static division; and the bytes and memory of 6,400 workspaces. Seed 1.

#include <cstdio>
#include <functional>

#include <harness/limit_fleet.hpp>

#include <plantainslip/core/random.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

namespace {

constexpr std::uint64_t kSeed = 1;
constexpr double kLimit = 100.0;
constexpr std::size_t kZones = 3;
constexpr std::size_t kWorkspaces = 6400;
constexpr std::chrono::milliseconds kStep{ 10 };
constexpr std::chrono::seconds kRamp{ 10 };
constexpr std::chrono::seconds kTime{ 60 };
const core::WorkspaceId kWorkspace("workspace");
const config::WorkspaceLimit kRequests{ kLimit, 0.0 };

struct Scenario
{
  const char* name;
  std::function<std::size_t(core::RandomSource&, std::size_t aInstances, double aSecond)> arrive;
  harness::LimitFleet::Reaches reaches;
};

double
Offer(harness::LimitFleet& aFleet,
      core::RandomSource& aRandom,
      const Scenario& aScenario,
      std::size_t aInstances,
      std::chrono::seconds aTime)
{
  double admitted = 0.0;
  double due = 0.0;
  for (std::chrono::milliseconds at{ 0 }; at < aTime; at += kStep) {
    aFleet.Advance(kStep);
    const double second = std::chrono::duration<double>(at).count();
    due += kLimit * 2.0 * std::chrono::duration<double>(kStep).count();
    for (; due >= 1.0; due -= 1.0) {
      const std::size_t instance = aScenario.arrive(aRandom, aInstances, second);
      admitted += aFleet.Admit(instance, kWorkspace, kRequests, {}) ? 1.0 : 0.0;
    }
  }
  return admitted;
}

void
RunRow(const Scenario& aScenario, std::size_t aInstances, bool aStatic)
{
  limits::LimitOptions options;
  options.reserve = aStatic ? 1.0 : options.reserve;
  options.owners = aStatic ? 1 : options.owners;
  core::RandomSource random(kSeed);
  harness::LimitFleet fleet(aInstances, options);
  const Scenario calm{ "", aScenario.arrive, [](std::size_t, std::size_t) { return true; } };
  fleet.SetReaches(calm.reaches);
  const double before = Offer(fleet, random, calm, aInstances, kRamp);
  fleet.SetReaches(aScenario.reaches);
  const double admitted = Offer(fleet, random, aScenario, aInstances, kTime);
  const double bound = kLimit * 71.0 + static_cast<double>(aInstances + options.owners);
  std::printf("%-28s %9zu  %-8s %14.2f %22.3f\n",
              aScenario.name,
              aInstances,
              aStatic ? "static" : "leased",
              admitted / (kLimit * 60.0),
              (before + admitted) / bound);
}

void
PrintAdmitted()
{
  const auto all = [](std::size_t, std::size_t) { return true; };
  const auto evenly = [](core::RandomSource& aRandom, std::size_t aInstances, double) {
    return aRandom.Below(aInstances);
  };
  const auto atOne = [](core::RandomSource&, std::size_t, double) { return std::size_t{ 3 }; };
  const auto skewed = [](core::RandomSource& aRandom, std::size_t aInstances, double) {
    return aRandom.Below(10) < 8 ? std::size_t{ 3 } : aRandom.Below(aInstances);
  };
  const auto moving = [](core::RandomSource&, std::size_t aInstances, double aSecond) {
    return static_cast<std::size_t>(aSecond / 10.0) * 4 % aInstances;
  };
  // Instances of the last third are lost; the balancer sends nothing there any more.
  const auto survivors = [](core::RandomSource& aRandom, std::size_t aInstances, double) {
    return aRandom.Below(aInstances * 2 / 3);
  };
  const auto zoneCut = [](std::size_t aFrom, std::size_t aTo) {
    return aFrom % kZones == aTo % kZones;
  };
  const Scenario scenarios[] = {
    { "even", evenly, all },
    { "80% at one instance", skewed, all },
    { "all at one instance", atOne, all },
    { "moves every 10 s", moving, all },
    { "a third lost", survivors, nullptr },
    { "all zones cut, even", evenly, zoneCut },
    { "all zones cut, all at one", atOne, zoneCut },
  };
  std::printf("limit 100/s, offered 200/s, 10 s ramp and 60 s measured\n");
  std::printf("%-28s %9s  %-8s %14s %22s\n",
              "arrivals",
              "instances",
              "way",
              "part of limit",
              "all / overshoot bound");
  for (const std::size_t instances : { 9U, 59U, 410U }) {
    for (Scenario scenario : scenarios) {
      if (scenario.reaches == nullptr) {
        scenario.reaches = [instances](std::size_t aFrom, std::size_t aTo) {
          return aFrom < instances * 2 / 3 && aTo < instances * 2 / 3;
        };
      }
      RunRow(scenario, instances, true);
      RunRow(scenario, instances, false);
    }
  }
}

// Every workspace is in use: as many requests a second as workspaces, at random instances.
void
PrintBytes(std::size_t aInstances)
{
  core::RandomSource random(kSeed);
  harness::LimitFleet fleet(aInstances, {});
  const config::WorkspaceLimit limit{ 2.0, 0.0 };
  double admitted = 0.0;
  double asked = 0.0;
  std::uint64_t bytesBefore = 0;
  std::uint64_t messagesBefore = 0;
  for (int step = 0; step < 2000; ++step) {
    if (step == 1000) {
      bytesBefore = fleet.Bytes();
      messagesBefore = fleet.Messages();
      admitted = asked = 0.0;
    }
    fleet.Advance(kStep);
    for (std::size_t request = 0; request < kWorkspaces / 100; ++request) {
      const core::WorkspaceId workspace("workspace-" + std::to_string(random.Below(kWorkspaces)));
      asked += 1.0;
      admitted += fleet.Admit(random.Below(aInstances), workspace, limit, {}) ? 1.0 : 0.0;
    }
  }
  const double seconds = 10.0 * static_cast<double>(aInstances);
  std::size_t leases = 0;
  for (std::size_t instance = 0; instance < aInstances; ++instance) {
    leases = std::max(leases, fleet.LeaseCount(instance));
  }
  std::printf("%9zu %16.2f %16.1f %12zu %12zu %14.3f\n",
              aInstances,
              static_cast<double>(fleet.Bytes() - bytesBefore) / seconds / 1000.0,
              static_cast<double>(fleet.Messages() - messagesBefore) / seconds,
              fleet.Workspaces(0),
              leases,
              admitted / asked);
}

} // namespace

int
main()
{
  std::printf("seed %llu\n", static_cast<unsigned long long>(kSeed));
  PrintAdmitted();
  std::printf(
    "\n6,400 workspaces, each asks for 1/s of its 2/s at random instances; bodies only\n");
  std::printf("%9s %16s %16s %12s %12s %14s\n",
              "instances",
              "kB/s, instance",
              "calls/s, inst.",
              "workspaces",
              "leases",
              "let in");
  for (const std::size_t instances : { 9U, 59U, 410U }) {
    PrintBytes(instances);
  }
  return 0;
}
