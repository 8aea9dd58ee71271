#include "observed_store.hpp"

#include <algorithm>

#include <plantainslip/serving/errors.hpp>

namespace plantainslip::serving {

void
ObservedStore::Report(const absl::Status& aStatus, core::MonotonicTime aDueAt) const
{
  if (aStatus.ok() || core::IsError(aStatus, errors::kHistoryGone)) {
    this->observer.onAnswered();
  } else if (core::IsError(aStatus, errors::kStoreUnavailable) ||
             core::IsError(aStatus, errors::kStoreOutcomeUnknown)) {
    this->observer.onUnanswered(std::min(aDueAt, this->clock.Now()));
  }
  // A conflict may be known without a call.
}

Task<absl::StatusOr<StoreItems>>
ObservedStore::List(std::string aPrefix, Freshness aFreshness)
{
  const core::MonotonicTime sentAt = this->clock.Now();
  auto items = co_await this->store.List(std::move(aPrefix), aFreshness);
  if (!items.ok() || aFreshness == Freshness::kNewest) {
    this->Report(items.status(), sentAt);
  }
  co_return items;
}

Task<absl::StatusOr<StoreItems>>
ObservedStore::Watch(std::string aPrefix, StorePosition aAfter, std::chrono::milliseconds aWait)
{
  const core::MonotonicTime dueAt = this->clock.Now() + aWait;
  auto items = co_await this->store.Watch(std::move(aPrefix), aAfter, aWait);
  this->Report(items.status(), dueAt);
  co_return items;
}

Task<absl::StatusOr<StorePosition>>
ObservedStore::Put(std::string aKey,
                   std::string aValue,
                   Lease aLease,
                   std::optional<core::Revision> aExpected)
{
  const core::MonotonicTime sentAt = this->clock.Now();
  auto written = co_await this->store.Put(std::move(aKey), std::move(aValue), aLease, aExpected);
  this->Report(written.status(), sentAt);
  co_return written;
}

Task<absl::StatusOr<Lease>>
ObservedStore::Grant(std::chrono::milliseconds aDuration)
{
  const core::MonotonicTime sentAt = this->clock.Now();
  auto lease = co_await this->store.Grant(aDuration);
  this->Report(lease.status(), sentAt);
  co_return lease;
}

Task<absl::Status>
ObservedStore::Renew(Lease aLease)
{
  const core::MonotonicTime sentAt = this->clock.Now();
  absl::Status renewed = co_await this->store.Renew(aLease);
  this->Report(renewed, sentAt);
  co_return renewed;
}

} // namespace plantainslip::serving
