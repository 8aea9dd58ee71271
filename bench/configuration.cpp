// Configuration: time from a patch's acceptance until it is in force at every instance, and the
// store's calls, with real entry processes on loopback. One run prints the table; no randomness of
// its own.

#include <algorithm>
#include <cstdio>
#include <thread>
#include <vector>

#include <harness/small_fleet.hpp>

namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kPatches = 10;
constexpr std::chrono::seconds kQuiet(20);
constexpr std::chrono::seconds kSettle(10);

std::uint64_t
CountCalls(harness::SmallFleet& aFleet)
{
  const auto reply = harness::Send(aFleet.Platform(), "GET", "/v1/counts");
  return json::parse(reply.body).at("calls").get<std::uint64_t>();
}

void
PrintRow(std::size_t aInstances, std::size_t aZones)
{
  harness::SmallFleet fleet;
  std::vector<harness::ChildProcess*> entries;
  for (std::size_t number = 0; number < aInstances; ++number) {
    const std::string zone = "zone-" + std::to_string(number % aZones);
    entries.push_back(&fleet.AddEntry(
      "entry-" + std::to_string(number), zone, { "--threads", "4", "--peer-threads", "4" }));
  }
  std::this_thread::sleep_for(kSettle);
  std::vector<milliseconds> times;
  for (int patch = 0; patch < kPatches; ++patch) {
    const auto base = static_cast<std::uint64_t>(patch);
    const int status = harness::SmallFleet::Patch(
      *entries.front(), base, { { "weights", { { "goodput", patch + 1 } } } });
    const auto accepted = std::chrono::steady_clock::now();
    if (status != 200) {
      std::printf("a patch was not accepted: %d\n", status);
      return;
    }
    for (const harness::ChildProcess* entry : entries) {
      harness::SmallFleet::AwaitVersion(*entry, base + 1);
    }
    times.push_back(
      std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - accepted));
  }
  std::sort(times.begin(), times.end());
  const std::uint64_t before = CountCalls(fleet);
  std::this_thread::sleep_for(kQuiet);
  const double rate = static_cast<double>(CountCalls(fleet) - before) /
                      static_cast<double>(std::chrono::seconds(kQuiet).count());
  std::printf("%9zu %6zu %15lld %14lld %20.2f\n",
              aInstances,
              aZones,
              static_cast<long long>(times[times.size() / 2].count()),
              static_cast<long long>(times.back().count()),
              rate);
}

} // namespace

int
main()
{
  std::printf("%d patches a row; the time holds asking every instance in turn\n", kPatches);
  std::printf("instances  zones  median ms (all)  worst ms (all)  store calls/s quiet\n");
  PrintRow(3, 1);
  PrintRow(9, 3);
  PrintRow(30, 1);
  PrintRow(59, 1);
  return 0;
}
