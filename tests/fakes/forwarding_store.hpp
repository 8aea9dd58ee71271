#pragma once

#include <plantainslip/platform/store.hpp>

namespace plantainslip::fakes {

/// @brief Hands every call on to another store, so that a test changes only the calls it is about.
class ForwardingStore : public platform::Store
{
public:
  /// @param aStore  gets the calls; has to outlive this object
  explicit ForwardingStore(platform::Store& aStore)
    : store(aStore)
  {
  }

  absl::StatusOr<std::optional<platform::StoredValue>> Get(const std::string& aKey) override
  {
    return this->store.Get(aKey);
  }
  absl::StatusOr<std::vector<platform::KeyedValue>> List(const std::string& aPrefix) override
  {
    return this->store.List(aPrefix);
  }
  absl::StatusOr<core::Revision> CompareAndSwap(const std::string& aKey,
                                                core::Revision aExpected,
                                                const std::string& aValue) override
  {
    return this->store.CompareAndSwap(aKey, aExpected, aValue);
  }
  absl::StatusOr<std::optional<platform::StoredValue>>
  Watch(const std::string& aKey, core::Revision aAfter, std::chrono::milliseconds aTimeout) override
  {
    return this->store.Watch(aKey, aAfter, aTimeout);
  }
  absl::StatusOr<platform::LeaseGrant> AcquireLease(const std::string& aName,
                                                    const std::string& aHolder,
                                                    std::chrono::milliseconds aDuration) override
  {
    return this->store.AcquireLease(aName, aHolder, aDuration);
  }
  absl::StatusOr<platform::LeaseGrant> RenewLease(const std::string& aName,
                                                  core::FencingToken aToken,
                                                  std::chrono::milliseconds aDuration) override
  {
    return this->store.RenewLease(aName, aToken, aDuration);
  }
  absl::Status ReleaseLease(const std::string& aName, core::FencingToken aToken) override
  {
    return this->store.ReleaseLease(aName, aToken);
  }

protected:
  platform::Store& store;
};

} // namespace plantainslip::fakes
