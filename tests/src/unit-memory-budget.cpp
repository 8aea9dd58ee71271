#include <doctest/doctest.h>

#include <optional>

#include <plantainslip/serving/machine_shares.hpp>
#include <plantainslip/serving/memory_budget.hpp>

using namespace plantainslip;          // NOLINT(google-build-using-namespace)
using namespace plantainslip::serving; // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kCapacity = 8'000'000;
constexpr std::uint64_t kLarge = 3'000'000;
constexpr std::uint64_t kSmall = 1'000;

} // namespace

// Guards against bytes that stay reserved after their connection has ended.
TEST_CASE("a budget counts the bytes of its accounts until they end")
{
  const core::ManualClock clock;
  MemoryBudget budget(kCapacity, clock);
  {
    MemoryBudget::Account account(budget);
    CHECK(account.Resize(kLarge));
    CHECK(account.Resize(kSmall));
    CHECK(budget.Used() == kSmall);
    account.Hold(2 * kCapacity);
    CHECK(budget.Used() == 2 * kCapacity);
  }
  CHECK(budget.Used() == 0);
}

// Guards against a budget that closes connections which progress, or ones that hold little.
TEST_CASE("a full budget evicts the account that holds most and progresses least")
{
  core::ManualClock clock;
  MemoryBudget budget(kCapacity, clock);
  MemoryBudget::Account stalled(budget);
  MemoryBudget::Account progressing(budget);
  MemoryBudget::Account small(budget);
  for (MemoryBudget::Account* account : { &stalled, &progressing, &small }) {
    account->SetEvictable(true);
  }
  REQUIRE(stalled.Resize(kLarge));
  REQUIRE(progressing.Resize(kLarge));
  REQUIRE(small.Resize(kSmall));
  clock.Advance(2s);
  progressing.RecordProgress(kLarge);
  MemoryBudget::Account added(budget);
  CHECK(added.Resize(kLarge));
  CHECK(stalled.IsEvicted());
  CHECK(stalled.Held() == 0);
  CHECK_FALSE(stalled.Resize(kSmall));
  CHECK_FALSE(progressing.IsEvicted());
  CHECK_FALSE(small.IsEvicted());
}

// Guards against ordinary requests that are refused because large ones have taken all memory.
TEST_CASE("the last part of a budget is for accounts that hold little")
{
  const core::ManualClock clock;
  MemoryBudget budget(kCapacity, clock);
  MemoryBudget::Account large(budget);
  CHECK_FALSE(large.Resize(kCapacity - 1));
  CHECK(large.Resize(kCapacity / 8 * 7));
  MemoryBudget::Account other(budget);
  CHECK_FALSE(other.Resize(MemoryBudget::kOrdinaryBytes + 1));
  CHECK(other.Resize(MemoryBudget::kOrdinaryBytes));
  CHECK_FALSE(large.IsEvicted());
}

// Guards against a new large body that takes the place of another which progresses as well.
TEST_CASE("an account that is no better than the others yields itself")
{
  core::ManualClock clock;
  MemoryBudget budget(kCapacity, clock);
  MemoryBudget::Account first(budget);
  MemoryBudget::Account second(budget);
  first.SetEvictable(true);
  second.SetEvictable(true);
  REQUIRE(first.Resize(kLarge));
  REQUIRE(second.Resize(kLarge));
  CHECK_FALSE(second.Resize(2 * kLarge));
  CHECK(second.Held() == kLarge);
  CHECK_FALSE(first.IsEvicted());
}

TEST_CASE("without a capacity a budget limits nothing")
{
  const core::ManualClock clock;
  MemoryBudget budget(0, clock);
  MemoryBudget::Account account(budget);
  CHECK(account.Resize(kCapacity * kCapacity));
}

// Guards against shares that together exceed what the machine has.
TEST_CASE("a machine's shares leave the descriptors for files and fit its memory")
{
  const auto shares = DivideMachine(120'000'000, 3'075);
  REQUIRE(shares.ok());
  CHECK(shares->callers + shares->targets + 3 * shares->internal <= 3'075 - 200);
  CHECK(shares->trafficBytes + shares->controlBytes <= 60'000'000);
  CHECK(shares->callers > 500);
  const auto none = DivideMachine(0, 0);
  REQUIRE(none.ok());
  CHECK(none->callers == 0);
  CHECK(none->trafficBytes == 0);
  CHECK_FALSE(DivideMachine(10'000'000, 0).ok());
  CHECK_FALSE(DivideMachine(0, 250).ok());
}
