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

using Reading = absl::StatusOr<std::optional<platform::StoredValue>>;

// A store whose next readings lag: they are answered with what was put aside before.
class LaggingStore final : public fakes::ForwardingStore
{
public:
  using ForwardingStore::ForwardingStore;

  // The next readings, from the one that follows `aAfter` more, show the value of now.
  void Freeze(int aReadings, int aAfter)
  {
    this->old = this->store.Get(config::kConfigurationKey);
    this->lagging = aReadings;
    this->fresh = aAfter;
  }

  Reading Get(const std::string& aKey) override
  {
    if (this->fresh > 0) {
      --this->fresh;
    } else if (this->lagging > 0) {
      --this->lagging;
      return this->old;
    }
    return this->store.Get(aKey);
  }

private:
  Reading old = std::optional<platform::StoredValue>();
  int lagging = 0;
  int fresh = 0;
};

config::PatchSubmission
Patch(const std::string& aId, std::uint64_t aBase)
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

TEST_CASE("an operator is not told that an accepted patch was refused")
{
  const core::ManualClock clock;
  fakes::MemoryStore memory(clock);
  LaggingStore store(memory);
  REQUIRE(config::SubmitPatch(store, Patch("p1", 0), clock).ok());

  SUBCASE("when its answer is lost and the look at it lags behind its base")
  {
    store.Freeze(100, 1);
    REQUIRE(config::SubmitPatch(memory, Patch("p2", 1), clock).ok());
    memory.PlanFaults({ StoreFault::kNone, StoreFault::kLostAnswer });
    const auto told = config::SubmitPatch(store, Patch("p3", 2), clock);
    CHECK(core::IsError(told.status(), config::errors::kOutcomeUnknown));
  }

  SUBCASE("when it is submitted again and the first reading lags behind its base")
  {
    store.Freeze(100, 0);
    REQUIRE(config::SubmitPatch(memory, Patch("p2", 1), clock).ok());
    REQUIRE(config::SubmitPatch(memory, Patch("p3", 2), clock).ok());
    CHECK_FALSE(IsConflict(config::SubmitPatch(store, Patch("p3", 2), clock).status()));
  }

  SUBCASE("when it is submitted again and a few readings lag")
  {
    store.Freeze(2, 0);
    REQUIRE(config::SubmitPatch(memory, Patch("p2", 1), clock).ok());
    REQUIRE(config::SubmitPatch(memory, Patch("p3", 2), clock).ok());
    const auto told = config::SubmitPatch(store, Patch("p3", 2), clock);
    REQUIRE(told.ok());
    CHECK(told->version == core::ConfigVersion(3));
  }

  SUBCASE("when so many patches followed that the history no longer holds it")
  {
    for (std::uint64_t version = 1; version < 450; ++version) {
      REQUIRE(
        config::SubmitPatch(store, Patch("q" + std::to_string(version), version), clock).ok());
    }
    CHECK_FALSE(IsConflict(config::SubmitPatch(store, Patch("p1", 0), clock).status()));
  }
}

TEST_CASE("a conflict tells the present version and what was accepted since")
{
  const core::ManualClock clock;
  fakes::MemoryStore store(clock);
  REQUIRE(config::SubmitPatch(store, Patch("p1", 0), clock).ok());
  const auto refused = config::SubmitPatch(store, Patch("p2", 0), clock);
  REQUIRE(IsConflict(refused.status()));
  const std::string text(refused.status().message());
  CHECK(text.find("present version is 1") != std::string::npos);
  CHECK(text.find(R"(1 by jo: {"weights":{"goodput":2}})") != std::string::npos);
}

TEST_CASE("a long history never keeps a patch out")
{
  const core::ManualClock clock;
  fakes::MemoryStore store(clock);
  for (std::uint64_t version = 0; version < 30; ++version) {
    config::PatchSubmission patch = Patch("p" + std::to_string(version), version);
    // A long change that leaves a small document behind.
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

TEST_CASE("a document or a patch that is too large is refused clearly and changes nothing")
{
  const core::ManualClock clock;
  fakes::MemoryStore store(clock);
  config::PatchSubmission patch = Patch("p1", 0);
  patch.change = R"({"limits":{")" + std::string(250'000, 'x') + R"(":{}}})";
  const auto refused = config::SubmitPatch(store, patch, clock);
  CHECK(core::IsError(refused.status(), config::errors::kTooLarge));
  CHECK(store.Writes() == 0);
}

TEST_CASE("a crash between the archive and the patch loses no history")
{
  const core::ManualClock clock;
  fakes::MemoryStore store(clock);
  for (std::uint64_t version = 0; version < 401; ++version) {
    REQUIRE(config::SubmitPatch(store, Patch("p" + std::to_string(version), version), clock).ok());
  }
  // The archive is written, the patch's own write is lost with its process.
  store.PlanFaults({ StoreFault::kNone, StoreFault::kNone, StoreFault::kLostRequest });
  CHECK_FALSE(config::SubmitPatch(store, Patch("lost", 401), clock).ok());
  REQUIRE(config::SubmitPatch(store, Patch("p401", 401), clock).ok());
  const auto history = config::ReadHistory(store);
  REQUIRE(history.ok());
  CHECK(history->size() == 402);
}
