#include "memory_store.hpp"

#include <plantainslip/platform/errors.hpp>

namespace plantainslip::fakes {

namespace errors = platform::errors;

MemoryStore::MemoryStore(const core::Clock& aClock)
  : clock(aClock)
{
}

void
MemoryStore::SetDown(bool aDown)
{
  const std::scoped_lock lock(this->mutex);
  this->down = aDown;
  this->changed.notify_all();
}

void
MemoryStore::PlanFaults(std::deque<StoreFault> aFaults)
{
  const std::scoped_lock lock(this->mutex);
  this->faults = std::move(aFaults);
}

std::uint64_t
MemoryStore::Calls() const
{
  const std::scoped_lock lock(this->mutex);
  return this->calls;
}

std::uint64_t
MemoryStore::Writes() const
{
  const std::scoped_lock lock(this->mutex);
  return this->writes;
}

StoreFault
MemoryStore::NextFault()
{
  ++this->calls;
  if (this->down) {
    return StoreFault::kLostRequest;
  }
  if (this->faults.empty()) {
    return StoreFault::kNone;
  }
  const StoreFault fault = this->faults.front();
  this->faults.pop_front();
  return fault;
}

template<typename Result, typename Effect>
Result
MemoryStore::Perform(bool aWrites, Effect aEffect)
{
  const std::scoped_lock lock(this->mutex);
  const StoreFault fault = this->NextFault();
  if (fault == StoreFault::kLostRequest) {
    return core::MakeError(this->down || !aWrites ? errors::kUnavailable : errors::kOutcomeUnknown,
                           "the request was lost");
  }
  Result result = aEffect();
  if (fault == StoreFault::kLostAnswer) {
    return core::MakeError(aWrites ? errors::kOutcomeUnknown : errors::kUnavailable,
                           "the answer was lost");
  }
  return result;
}

absl::StatusOr<std::optional<platform::StoredValue>>
MemoryStore::Get(const std::string& aKey)
{
  using Result = absl::StatusOr<std::optional<platform::StoredValue>>;
  return this->Perform<Result>(false, [&]() -> Result {
    const auto found = this->values.find(aKey);
    if (found == this->values.end()) {
      return std::optional<platform::StoredValue>();
    }
    return std::optional<platform::StoredValue>(found->second);
  });
}

absl::StatusOr<std::vector<platform::KeyedValue>>
MemoryStore::List(const std::string& aPrefix)
{
  using Result = absl::StatusOr<std::vector<platform::KeyedValue>>;
  return this->Perform<Result>(false, [&]() -> Result {
    std::vector<platform::KeyedValue> found;
    for (auto at = this->values.lower_bound(aPrefix);
         at != this->values.end() && at->first.starts_with(aPrefix);
         ++at) {
      found.push_back({ at->first, at->second });
    }
    return found;
  });
}

absl::StatusOr<core::Revision>
MemoryStore::CompareAndSwap(const std::string& aKey,
                            core::Revision aExpected,
                            const std::string& aValue)
{
  using Result = absl::StatusOr<core::Revision>;
  if (aValue.size() > platform::kLargestValueBytes) {
    return core::MakeError(errors::kValueTooLarge, aKey);
  }
  return this->Perform<Result>(true, [&]() -> Result {
    const auto found = this->values.find(aKey);
    const core::Revision present =
      found == this->values.end() ? core::Revision() : found->second.revision;
    if (present != aExpected) {
      return core::MakeError(errors::kRevisionConflict, aKey);
    }
    ++this->writes;
    this->values[aKey] = { present.Next(), aValue };
    this->changed.notify_all();
    return present.Next();
  });
}

absl::StatusOr<std::optional<platform::StoredValue>>
MemoryStore::Watch(const std::string& aKey,
                   core::Revision aAfter,
                   std::chrono::milliseconds aTimeout)
{
  std::unique_lock lock(this->mutex);
  if (this->NextFault() != StoreFault::kNone) {
    return core::MakeError(errors::kUnavailable, aKey);
  }
  const auto isNewer = [&] {
    const auto found = this->values.find(aKey);
    return this->down || (found != this->values.end() && found->second.revision > aAfter);
  };
  if (!this->changed.wait_for(lock, aTimeout, isNewer)) {
    return std::optional<platform::StoredValue>();
  }
  if (this->down) {
    return core::MakeError(errors::kUnavailable, aKey);
  }
  return std::optional<platform::StoredValue>(this->values.at(aKey));
}

bool
MemoryStore::IsHeld(const Lease& aLease) const
{
  return aLease.held && this->clock.Now() < aLease.endsAt;
}

absl::StatusOr<platform::LeaseGrant>
MemoryStore::AcquireLease(const std::string& aName,
                          const std::string& aHolder,
                          std::chrono::milliseconds aDuration)
{
  using Result = absl::StatusOr<platform::LeaseGrant>;
  return this->Perform<Result>(true, [&]() -> Result {
    Lease& lease = this->leases[aName];
    if (this->IsHeld(lease)) {
      return core::MakeError(errors::kLeaseHeld, aName);
    }
    ++this->writes;
    this->lastToken = this->lastToken.Next();
    lease = { this->lastToken, aHolder, this->clock.Now() + aDuration, true };
    return platform::LeaseGrant{ lease.token, aDuration };
  });
}

absl::StatusOr<platform::LeaseGrant>
MemoryStore::RenewLease(const std::string& aName,
                        core::FencingToken aToken,
                        std::chrono::milliseconds aDuration)
{
  using Result = absl::StatusOr<platform::LeaseGrant>;
  return this->Perform<Result>(true, [&]() -> Result {
    Lease& lease = this->leases[aName];
    if (!this->IsHeld(lease) || lease.token != aToken) {
      return core::MakeError(errors::kLeaseHeld, aName);
    }
    ++this->writes;
    lease.endsAt = this->clock.Now() + aDuration;
    return platform::LeaseGrant{ lease.token, aDuration };
  });
}

absl::Status
MemoryStore::ReleaseLease(const std::string& aName, core::FencingToken aToken)
{
  return this->Perform<absl::Status>(true, [&]() -> absl::Status {
    Lease& lease = this->leases[aName];
    if (lease.token == aToken) {
      ++this->writes;
      lease.held = false;
    }
    return absl::OkStatus();
  });
}

} // namespace plantainslip::fakes
