#include <doctest/doctest.h>

#include <fakes/memory_store.hpp>

#include <plantainslip/config/commands/submit_patch.hpp>
#include <plantainslip/config/errors.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using fakes::StoreFault;

namespace {

config::PatchSubmission
Patch(const std::string& aId, std::uint64_t aBase)
{
  config::PatchSubmission patch;
  patch.patch = core::PatchId(aId);
  patch.base = core::ConfigVersion(aBase);
  patch.author = "jo";
  patch.change = R"({"services":{"payments":{"repeatable":false}}})";
  return patch;
}

} // namespace

TEST_CASE("a patch is accepted against the version that it was made for")
{
  const core::ManualClock clock;
  fakes::MemoryStore store(clock);

  SUBCASE("the first patch makes version one")
  {
    const auto record = config::SubmitPatch(store, Patch("p1", 0), clock);
    REQUIRE(record.ok());
    CHECK(record->version == core::ConfigVersion(1));
    CHECK(record->history.at(0).author == "jo");
  }

  SUBCASE("a patch that is sent twice counts once")
  {
    REQUIRE(config::SubmitPatch(store, Patch("p1", 0), clock).ok());
    const auto again = config::SubmitPatch(store, Patch("p1", 0), clock);
    REQUIRE(again.ok());
    CHECK(again->version == core::ConfigVersion(1));
  }

  SUBCASE("a patch against an older version is told the present one")
  {
    REQUIRE(config::SubmitPatch(store, Patch("p1", 0), clock).ok());
    const auto refused = config::SubmitPatch(store, Patch("p2", 0), clock);
    CHECK(core::IsError(refused.status(), config::errors::kVersionConflict));
    CHECK(refused.status().message().find("present version is 1") != absl::string_view::npos);
  }

  SUBCASE("a lost answer after the write is resolved by looking")
  {
    store.PlanFaults({ StoreFault::kNone, StoreFault::kLostAnswer });
    const auto record = config::SubmitPatch(store, Patch("p1", 0), clock);
    REQUIRE(record.ok());
    CHECK(record->version == core::ConfigVersion(1));
  }

  SUBCASE("a store that is down refuses the patch and nothing is written")
  {
    store.SetDown(true);
    const auto refused = config::SubmitPatch(store, Patch("p1", 0), clock);
    CHECK(core::IsError(refused.status(), config::errors::kStoreUnavailable));
    CHECK(store.Writes() == 0);
  }

  SUBCASE("a document that breaks the schema is refused with the field's name")
  {
    config::PatchSubmission patch = Patch("p1", 0);
    patch.change = R"({"targets":{"e1":{"deployment":"none"}}})";
    const auto refused = config::SubmitPatch(store, patch, clock);
    CHECK(core::IsError(refused.status(), config::errors::kInvalid));
    CHECK(refused.status().message().find("targets/e1") != absl::string_view::npos);
  }
}
