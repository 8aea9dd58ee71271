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
Patch(const std::string& aId)
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

// Two operators submit against the same version; what each was told is held against the history.
std::vector<std::string>
RaceTwoPatches(core::ManualClock& aClock, harness::FaultInjector& aInjector)
{
  fakes::MemoryStore store(aClock);
  harness::FaultyStore faulty(store, aInjector);
  aInjector.OnPause([&] { config::SubmitPatch(store, Patch("second"), aClock).IgnoreError(); });
  std::vector<std::string> violations;
  try {
    const auto told = config::SubmitPatch(faulty, Patch("first"), aClock);
    const bool accepted = IsInHistory(store, "first");
    if (told.ok() && !accepted) {
      violations.emplace_back("accepted, but not in the history");
    }
    const bool refused = core::IsError(told.status(), config::errors::kVersionConflict) ||
                         core::IsError(told.status(), config::errors::kStoreUnavailable);
    if (refused && accepted) {
      violations.emplace_back("refused, but in the history");
    }
  } catch (const harness::SimulatedCrash&) {
    // The operator was told nothing, so nothing can be untrue.
  }
  aInjector.Finish();
  const auto again = config::SubmitPatch(faulty, Patch("first"), aClock);
  if (again.ok() != IsInHistory(store, "first")) {
    violations.emplace_back("submitting again does not tell the truth");
  }
  return violations;
}

} // namespace

TEST_CASE("an operator is told the truth about a patch under every fault at every step")
{
  CHECK(harness::RunFaultMatrix("patch", &RaceTwoPatches).red.empty());
  CHECK(harness::RunFaultPairs("patch", 1, 200, &RaceTwoPatches).red.empty());
}
