// Submits a patch against a numbered configuration version, and shows what a second operator who
// looked at the same version gets.

#include <iostream>

#include <fakes/memory_store.hpp>

#include <plantainslip/config/commands/submit_patch.hpp>
#include <plantainslip/config/errors.hpp>

int
main()
{
  using namespace plantainslip; // NOLINT(google-build-using-namespace)

  const core::SystemClock clock;
  fakes::MemoryStore store(clock);
  config::PatchSubmission first;
  first.patch = core::PatchId("first");
  first.author = "jo";
  first.change = R"({"deployments":{"reader":{"model":"reader-7b","version":"1"}}})";
  const auto accepted = config::SubmitPatch(store, first, clock);
  if (!accepted.ok()) {
    return 1;
  }
  std::cout << "accepted as version " << accepted->version.Number() << "\n";

  config::PatchSubmission second = first;
  second.patch = core::PatchId("second");
  const auto refused = config::SubmitPatch(store, second, clock);
  std::cout << refused.status().message() << "\n";
  return core::IsError(refused.status(), config::errors::kVersionConflict) ? 0 : 1;
}
