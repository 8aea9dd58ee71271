#include <doctest/doctest.h>

#include <algorithm>

#include <fakes/memory_store.hpp>
#include <harness/fault_matrix.hpp>
#include <harness/faulty_store.hpp>

#include <plantainslip/config/commands/submit_patch.hpp>
#include <plantainslip/config/errors.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

namespace {

config::PatchSubmission
MakePatch(const std::string& aId)
{
  config::PatchSubmission patch;
  patch.patch = core::PatchId(aId);
  patch.author = "jo";
  patch.change = R"({"services":{"payments":{"repeatable":false}}})";
  return patch;
}

bool
IsInHistory(fakes::MemoryStore& aStore, const std::string& aPatch)
{
  const auto stored = aStore.Get(config::kConfigurationKey);
  if (!stored->has_value()) {
    return false;
  }
  const auto record = config::ParseRecord((*stored)->value);
  return std::any_of(record->history.begin(), record->history.end(), [&](const auto& aEntry) {
    return aEntry.patch.Text() == aPatch;
  });
}

// Two operators submit patches based on the same version. Compares the result that the first one
// gets with the stored history.
std::vector<std::string>
RaceTwoPatches(core::ManualClock& aClock, harness::FaultInjector& aInjector)
{
  fakes::MemoryStore store(aClock);
  harness::FaultyStore faulty(store, aInjector);
  aInjector.OnPause([&] { config::SubmitPatch(store, MakePatch("second"), aClock).IgnoreError(); });
  std::vector<std::string> violations;
  try {
    const auto result = config::SubmitPatch(faulty, MakePatch("first"), aClock);
    const bool accepted = IsInHistory(store, "first");
    if (result.ok() && !accepted) {
      violations.emplace_back("reported as accepted, but not in the history");
    }
    const bool rejected = core::IsError(result.status(), config::errors::kVersionConflict) ||
                          core::IsError(result.status(), config::errors::kStoreUnavailable);
    if (rejected && accepted) {
      violations.emplace_back("reported as rejected, but in the history");
    }
  } catch (const harness::SimulatedCrash&) {
    // The process crashed before it returned a result, so there is nothing to compare.
  }
  aInjector.Finish();
  const auto repeated = config::SubmitPatch(faulty, MakePatch("first"), aClock);
  if (repeated.ok() != IsInHistory(store, "first")) {
    violations.emplace_back("the result of submitting again does not match the history");
  }
  return violations;
}

} // namespace

TEST_CASE("the result of submitting a patch matches the history under every fault at every step")
{
  CHECK(harness::RunFaultMatrix("patch", &RaceTwoPatches).red.empty());
  CHECK(harness::RunFaultPairs("patch", 1, 200, &RaceTwoPatches).red.empty());
}
