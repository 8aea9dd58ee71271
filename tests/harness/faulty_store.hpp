#pragma once

#include <string>

#include <plantainslip/platform/errors.hpp>
#include <plantainslip/platform/store.hpp>

#include "fault_matrix.hpp"

namespace plantainslip::harness {

/// @brief The store as one process under test sees it: every call is a step of the fault matrix.
class FaultyStore final : public platform::Store
{
public:
  /// @param aStore  the store that all processes share
  /// @param aInjector  the process's own injector
  FaultyStore(platform::Store& aStore, FaultInjector& aInjector)
    : store(aStore)
    , injector(aInjector)
  {
  }

  absl::StatusOr<std::optional<platform::StoredValue>> Get(const std::string& aKey) override
  {
    using Result = absl::StatusOr<std::optional<platform::StoredValue>>;
    return this->Read<Result>("store.get " + aKey, [&] { return this->store.Get(aKey); });
  }

  absl::StatusOr<std::vector<platform::KeyedValue>> List(const std::string& aPrefix) override
  {
    using Result = absl::StatusOr<std::vector<platform::KeyedValue>>;
    return this->Read<Result>("store.list " + aPrefix, [&] { return this->store.List(aPrefix); });
  }

  absl::StatusOr<core::Revision> CompareAndSwap(const std::string& aKey,
                                                core::Revision aExpected,
                                                const std::string& aValue) override
  {
    using Result = absl::StatusOr<core::Revision>;
    return this->Write<Result>("store.compare_and_swap " + aKey,
                               [&] { return this->store.CompareAndSwap(aKey, aExpected, aValue); });
  }

  absl::StatusOr<std::optional<platform::StoredValue>> Watch(
    const std::string& aKey,
    core::Revision aAfter,
    std::chrono::milliseconds /*aTimeout*/) override
  {
    using Result = absl::StatusOr<std::optional<platform::StoredValue>>;
    return this->Read<Result>("store.watch " + aKey, [&] {
      return this->store.Watch(aKey, aAfter, std::chrono::milliseconds(0));
    });
  }

  absl::StatusOr<platform::LeaseGrant> AcquireLease(const std::string& aName,
                                                    const std::string& aHolder,
                                                    std::chrono::milliseconds aDuration) override
  {
    using Result = absl::StatusOr<platform::LeaseGrant>;
    return this->Write<Result>("store.acquire_lease " + aName,
                               [&] { return this->store.AcquireLease(aName, aHolder, aDuration); });
  }

  absl::StatusOr<platform::LeaseGrant> RenewLease(const std::string& aName,
                                                  core::FencingToken aToken,
                                                  std::chrono::milliseconds aDuration) override
  {
    using Result = absl::StatusOr<platform::LeaseGrant>;
    return this->Write<Result>("store.renew_lease " + aName,
                               [&] { return this->store.RenewLease(aName, aToken, aDuration); });
  }

  absl::Status ReleaseLease(const std::string& aName, core::FencingToken aToken) override
  {
    return this->Write<absl::Status>("store.release_lease " + aName,
                                     [&] { return this->store.ReleaseLease(aName, aToken); });
  }

private:
  template<typename Result>
  Result Read(const std::string& aLabel, const std::function<Result()>& aCall)
  {
    return this->injector.Pass<Result>(aLabel, aCall, [] {
      return Result(core::MakeError(platform::errors::kUnavailable, "lost"));
    });
  }

  // A process cannot tell a lost request from a lost answer.
  template<typename Result>
  Result Write(const std::string& aLabel, const std::function<Result()>& aCall)
  {
    return this->injector.Pass<Result>(aLabel, aCall, [] {
      return Result(core::MakeError(platform::errors::kOutcomeUnknown, "lost"));
    });
  }

  platform::Store& store;
  FaultInjector& injector;
};

} // namespace plantainslip::harness
