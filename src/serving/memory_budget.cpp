#include <plantainslip/serving/memory_budget.hpp>

namespace plantainslip::serving {

namespace {

/// One part in so many of the budget is reserved for accounts that hold little.
constexpr std::uint64_t kReservedPart = 8;
/// Bytes that count as progress, so that a peer that sends single bytes makes none.
constexpr std::uint64_t kProgressBytes = 16'384;
/// Added to the time without progress, so that among accounts that progress the largest is chosen.
constexpr double kMinStallSeconds = 0.1;

} // namespace

MemoryBudget::Account::Account(MemoryBudget& aBudget, std::function<void()> aOnEvicted)
  : budget(aBudget)
  , onEvicted(std::move(aOnEvicted))
{
  this->budget.accounts.push_back(*this);
}

MemoryBudget::Account::~Account()
{
  this->budget.used -= this->held;
}

double
MemoryBudget::Account::Cost(std::uint64_t aBytes, core::MonotonicTime aNow) const
{
  const std::chrono::duration<double> stalled = aNow - this->progressAt;
  return static_cast<double>(aBytes) * (kMinStallSeconds + stalled.count());
}

void
MemoryBudget::Account::Evict()
{
  this->budget.used -= this->held;
  this->held = 0;
  this->evicted = true;
  this->onEvicted();
}

bool
MemoryBudget::Account::Resize(std::uint64_t aBytes)
{
  if (aBytes > this->held) {
    if (this->evicted) {
      return false;
    }
    while (!this->budget.Fits(aBytes - this->held, aBytes)) {
      const core::MonotonicTime now = this->budget.clock.Now();
      Account* const victim = this->budget.FindVictim(now);
      const bool yieldsItself = this->evictable && victim != nullptr &&
                                this->Cost(aBytes, now) >= victim->Cost(victim->held, now);
      if (victim == nullptr || victim == this || yieldsItself) {
        return false;
      }
      victim->Evict();
    }
  }
  this->Hold(aBytes);
  return true;
}

void
MemoryBudget::Account::Hold(std::uint64_t aBytes)
{
  this->budget.used += aBytes;
  this->budget.used -= this->held;
  this->held = aBytes;
}

void
MemoryBudget::Account::RecordProgress(std::uint64_t aBytes)
{
  this->progressed += aBytes;
  if (this->budget.IsLimited() && this->progressed >= kProgressBytes) {
    this->progressed = 0;
    this->progressAt = this->budget.clock.Now();
  }
}

void
MemoryBudget::Account::SetEvictable(bool aEvictable)
{
  if (aEvictable && !this->evictable && this->budget.IsLimited()) {
    this->progressed = 0;
    this->progressAt = this->budget.clock.Now();
  }
  this->evictable = aEvictable;
}

bool
MemoryBudget::Fits(std::uint64_t aAdded, std::uint64_t aTotal) const
{
  const std::uint64_t reserved = aTotal <= kOrdinaryBytes ? 0 : this->capacity / kReservedPart;
  return !this->IsLimited() || this->used + aAdded + reserved <= this->capacity;
}

MemoryBudget::Account*
MemoryBudget::FindVictim(core::MonotonicTime aNow)
{
  Account* victim = nullptr;
  for (Account& account : this->accounts) {
    if (account.evictable && account.held > 0 &&
        (victim == nullptr ||
         account.Cost(account.held, aNow) > victim->Cost(victim->held, aNow))) {
      victim = &account;
    }
  }
  return victim;
}

} // namespace plantainslip::serving
