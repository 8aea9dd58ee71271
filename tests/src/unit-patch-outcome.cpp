#include <doctest/doctest.h>

#include <deque>

#include <fakes/forwarding_store.hpp>
#include <fakes/memory_store.hpp>

#include <plantainslip/config/commands/submit_patch.hpp>
#include <plantainslip/config/errors.hpp>
#include <plantainslip/config/queries/read_history.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using fakes::StoreFault;

namespace {

using ReadResult = absl::StatusOr<std::optional<platform::StoredValue>>;

// A store that can return stale values of the configuration record.
class LaggingStore final : public fakes::ForwardingStore
{
public:
  using ForwardingStore::ForwardingStore;

  // Saves the current value. After `aFreshReads` more reads, the next `aStaleReads` reads return
  // it.
  void Freeze(int aStaleReads, int aFreshReads)
  {
    this->frozenValue = this->store.Get(config::kConfigurationKey);
    this->staleReads = aStaleReads;
    this->freshReads = aFreshReads;
  }

  ReadResult Get(const std::string& aKey) override
  {
    if (this->freshReads > 0) {
      --this->freshReads;
    } else if (this->staleReads > 0) {
      --this->staleReads;
      return this->frozenValue;
    }
    return this->store.Get(aKey);
  }

private:
  ReadResult frozenValue = std::optional<platform::StoredValue>();
  int staleReads = 0;
  int freshReads = 0;
};

config::PatchSubmission
MakePatch(const std::string& aId, std::uint64_t aBase)
{
  config::PatchSubmission patch;
  patch.patch = core::PatchId(aId);
  patch.base = core::ConfigVersion(aBase);
  patch.author = "jo";
  patch.change = R"({"weights":{"goodput":2}})";
  return patch;
}

bool
IsConflict(const absl::Status& aStatus)
{
  return core::IsError(aStatus, config::errors::kVersionConflict);
}

} // namespace

TEST_CASE("an accepted patch is never reported as rejected")
{
  const core::ManualClock clock;
  fakes::MemoryStore memory(clock);
  LaggingStore store(memory);
  REQUIRE(config::SubmitPatch(store, MakePatch("p1", 0), clock).ok());

  SUBCASE("when the response to the write is lost and later reads are older than its base version")
  {
    store.Freeze(100, 1);
    REQUIRE(config::SubmitPatch(memory, MakePatch("p2", 1), clock).ok());
    memory.PlanFaults({ StoreFault::kNone, StoreFault::kLostAnswer });
    const auto result = config::SubmitPatch(store, MakePatch("p3", 2), clock);
    CHECK(core::IsError(result.status(), config::errors::kOutcomeUnknown));
  }

  SUBCASE("when it is submitted again and all reads are older than its base version")
  {
    store.Freeze(100, 0);
    REQUIRE(config::SubmitPatch(memory, MakePatch("p2", 1), clock).ok());
    REQUIRE(config::SubmitPatch(memory, MakePatch("p3", 2), clock).ok());
    CHECK_FALSE(IsConflict(config::SubmitPatch(store, MakePatch("p3", 2), clock).status()));
  }

  SUBCASE("when it is submitted again and the first reads are stale")
  {
    store.Freeze(2, 0);
    REQUIRE(config::SubmitPatch(memory, MakePatch("p2", 1), clock).ok());
    REQUIRE(config::SubmitPatch(memory, MakePatch("p3", 2), clock).ok());
    const auto result = config::SubmitPatch(store, MakePatch("p3", 2), clock);
    REQUIRE(result.ok());
    CHECK(result->version == core::ConfigVersion(3));
  }

  SUBCASE("when it is submitted again after its history entry was archived")
  {
    for (std::uint64_t version = 1; version < 450; ++version) {
      REQUIRE(
        config::SubmitPatch(store, MakePatch("q" + std::to_string(version), version), clock).ok());
    }
    CHECK_FALSE(IsConflict(config::SubmitPatch(store, MakePatch("p1", 0), clock).status()));
  }
}

TEST_CASE(
  "a conflict error names the current version and the changes accepted since the base version")
{
  const core::ManualClock clock;
  fakes::MemoryStore store(clock);
  REQUIRE(config::SubmitPatch(store, MakePatch("p1", 0), clock).ok());
  const auto refused = config::SubmitPatch(store, MakePatch("p2", 0), clock);
  REQUIRE(IsConflict(refused.status()));
  const std::string text(refused.status().message());
  CHECK(text.find("current version is 1") != std::string::npos);
  CHECK(text.find(R"(1 by jo: {"weights":{"goodput":2}})") != std::string::npos);
}

TEST_CASE("patches are accepted however long the history is")
{
  const core::ManualClock clock;
  fakes::MemoryStore store(clock);
  for (std::uint64_t version = 0; version < 30; ++version) {
    config::PatchSubmission patch = MakePatch("p" + std::to_string(version), version);
    // A large patch that adds little to the document, so that only the history grows.
    const std::string name = "workspace-" + std::string(90'000, 'x');
    patch.change = R"({"limits":{")" + name + R"(":null},"weights":{"goodput":)" +
                   std::to_string(version + 1) + "}}";
    REQUIRE(config::SubmitPatch(store, patch, clock).ok());
  }
  const auto history = config::ReadHistory(store);
  REQUIRE(history.ok());
  REQUIRE(history->size() == 30);
  for (std::uint64_t version = 1; version <= 30; ++version) {
    CHECK((*history)[version - 1].patch.Text() == "p" + std::to_string(version - 1));
  }
}

TEST_CASE("a patch that is too large is rejected with an error of its own and changes nothing")
{
  const core::ManualClock clock;
  fakes::MemoryStore store(clock);
  config::PatchSubmission patch = MakePatch("p1", 0);
  patch.change = R"({"limits":{")" + std::string(250'000, 'x') + R"(":{}}})";
  const auto refused = config::SubmitPatch(store, patch, clock);
  CHECK(core::IsError(refused.status(), config::errors::kTooLarge));
  CHECK(store.Writes() == 0);
}

TEST_CASE("a crash between writing the archive and writing the record loses no history")
{
  const core::ManualClock clock;
  fakes::MemoryStore store(clock);
  for (std::uint64_t version = 0; version < 401; ++version) {
    REQUIRE(
      config::SubmitPatch(store, MakePatch("p" + std::to_string(version), version), clock).ok());
  }
  // The archive is written, but the write of the record is lost, as in a crash.
  store.PlanFaults({ StoreFault::kNone, StoreFault::kNone, StoreFault::kLostRequest });
  CHECK_FALSE(config::SubmitPatch(store, MakePatch("lost", 401), clock).ok());
  REQUIRE(config::SubmitPatch(store, MakePatch("p401", 401), clock).ok());
  const auto history = config::ReadHistory(store);
  REQUIRE(history.ok());
  CHECK(history->size() == 402);
}
