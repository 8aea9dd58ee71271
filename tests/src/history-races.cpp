#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include <fakes/memory_store.hpp>
#include <harness/history.hpp>

#include <plantainslip/config/commands/submit_patch.hpp>
#include <plantainslip/config/errors.hpp>
#include <plantainslip/control/view_builder.hpp>
#include <plantainslip/core/random.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

namespace {

constexpr int kOperators = 6;
constexpr int kPatchesEach = 40;
constexpr std::size_t kFaults = 400;

std::uint64_t
PresentVersion(platform::Store& aStore)
{
  const auto stored = aStore.Get(config::kConfigurationKey);
  if (!stored.ok() || !stored->has_value()) {
    return 0;
  }
  return config::ParseRecord((*stored)->value)->version.Number();
}

void
SubmitPatches(platform::Store& aStore, const std::string& aOperator, harness::History& aHistory)
{
  const core::SystemClock clock;
  for (int number = 0; number < kPatchesEach; ++number) {
    config::PatchSubmission patch;
    patch.patch = core::PatchId(aOperator + "-" + std::to_string(number));
    patch.base = core::ConfigVersion(PresentVersion(aStore));
    patch.author = aOperator;
    patch.change = R"({"weights":{"goodput":1}})";
    const auto told = config::SubmitPatch(aStore, patch, clock);
    harness::PatchEvent event;
    event.patch = patch.patch.Text();
    event.refused = core::IsError(told.status(), config::errors::kVersionConflict) ||
                    core::IsError(told.status(), config::errors::kStoreUnavailable);
    if (told.ok()) {
      const auto entry = std::find_if(
        told->history.begin(), told->history.end(), [&](const config::HistoryEntry& aEntry) {
          return aEntry.patch == patch.patch;
        });
      event.accepted = entry->version.Number();
    }
    aHistory.Add(event);
  }
}

// An instance that reads whatever the store gives it and keeps the newest.
void
AdoptWhileRunning(platform::Store& aStore,
                  const std::atomic<bool>& aDone,
                  harness::History& aHistory)
{
  control::ViewBuilder builder;
  while (!aDone) {
    const auto stored = aStore.Get(config::kConfigurationKey);
    if (stored.ok() && stored->has_value()) {
      const auto record = config::ParseRecord((*stored)->value);
      builder.AdoptConfiguration(std::make_shared<const config::Configuration>(
        *config::ParseConfiguration(record->version, record->document)));
    }
    aHistory.Add(harness::VersionEvent{ "instance", builder.Version().Number() });
    std::this_thread::yield();
  }
}

std::deque<fakes::StoreFault>
RandomFaults(std::uint64_t aSeed)
{
  core::RandomSource random(aSeed);
  std::deque<fakes::StoreFault> faults;
  for (std::size_t call = 0; call < kFaults; ++call) {
    const auto draw = random.Below(10);
    faults.push_back(draw == 0   ? fakes::StoreFault::kLostRequest
                     : draw == 1 ? fakes::StoreFault::kLostAnswer
                                 : fakes::StoreFault::kNone);
  }
  return faults;
}

} // namespace

TEST_CASE("operators who race each other are told the truth while the store loses calls")
{
  const core::SystemClock clock;
  fakes::MemoryStore store(clock);
  store.PlanFaults(RandomFaults(7));
  harness::History history;
  std::vector<std::thread> operators;
  operators.reserve(kOperators);
  for (int number = 0; number < kOperators; ++number) {
    operators.emplace_back(
      [&, number] { SubmitPatches(store, "operator-" + std::to_string(number), history); });
  }
  std::atomic<bool> done = false;
  std::thread instance([&] { AdoptWhileRunning(store, done, history); });
  for (std::thread& each : operators) {
    each.join();
  }
  done = true;
  instance.join();
  store.PlanFaults({});
  const auto record = config::ParseRecord((*store.Get(config::kConfigurationKey))->value);
  for (const config::HistoryEntry& entry : record->history) {
    history.acceptedPatches[entry.patch.Text()] = entry.version.Number();
  }
  CHECK(history.patches.size() == kOperators * kPatchesEach);
  CHECK(harness::Describe(harness::CheckPatches(history)) == "");
  CHECK(harness::Describe(harness::CheckVersionsNeverRevert(history)) == "");
}
