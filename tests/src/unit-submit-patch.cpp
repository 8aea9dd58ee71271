#include <doctest/doctest.h>

#include <fakes/memory_store.hpp>

#include <plantainslip/config/commands/submit_patch.hpp>
#include <plantainslip/config/errors.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using fakes::StoreFault;

namespace {

config::PatchSubmission
MakePatch(const std::string& aId, std::uint64_t aBase)
{
  config::PatchSubmission patch;
  patch.patch = core::PatchId(aId);
  patch.base = core::ConfigVersion(aBase);
  patch.author = "jo";
  patch.change = R"({"services":{"payments":{"repeatable":false}}})";
  return patch;
}

} // namespace

TEST_CASE("a patch is accepted only against the version that it is based on")
{
  const core::ManualClock clock;
  fakes::MemoryStore store(clock);

  SUBCASE("the first patch creates version 1")
  {
    const auto record = config::SubmitPatch(store, MakePatch("p1", 0), clock);
    REQUIRE(record.ok());
    CHECK(record->version == core::ConfigVersion(1));
    CHECK(record->history.at(0).author == "jo");
  }

  SUBCASE("a patch that is submitted twice is applied once")
  {
    REQUIRE(config::SubmitPatch(store, MakePatch("p1", 0), clock).ok());
    const auto repeated = config::SubmitPatch(store, MakePatch("p1", 0), clock);
    REQUIRE(repeated.ok());
    CHECK(repeated->version == core::ConfigVersion(1));
  }

  SUBCASE("the conflict error for an older base version names the current one")
  {
    REQUIRE(config::SubmitPatch(store, MakePatch("p1", 0), clock).ok());
    const auto result = config::SubmitPatch(store, MakePatch("p2", 0), clock);
    CHECK(core::IsError(result.status(), config::errors::kVersionConflict));
    CHECK(result.status().message().find("current version is 1") != absl::string_view::npos);
  }

  SUBCASE("the outcome is read back if the response to the write is lost")
  {
    store.PlanFaults({ StoreFault::kNone, StoreFault::kLostAnswer });
    const auto record = config::SubmitPatch(store, MakePatch("p1", 0), clock);
    REQUIRE(record.ok());
    CHECK(record->version == core::ConfigVersion(1));
  }

  SUBCASE("the patch is rejected and nothing is written while the store is down")
  {
    store.SetDown(true);
    const auto result = config::SubmitPatch(store, MakePatch("p1", 0), clock);
    CHECK(core::IsError(result.status(), config::errors::kStoreUnavailable));
    CHECK(store.Writes() == 0);
  }

  SUBCASE("a patch that violates the schema is rejected with the path of the field")
  {
    config::PatchSubmission patch = MakePatch("p1", 0);
    patch.change = R"({"targets":{"e1":{"deployment":"none"}}})";
    const auto result = config::SubmitPatch(store, patch, clock);
    CHECK(core::IsError(result.status(), config::errors::kInvalid));
    CHECK(result.status().message().find("targets/e1") != absl::string_view::npos);
  }
}
