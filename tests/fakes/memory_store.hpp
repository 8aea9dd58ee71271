#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/platform/store.hpp>

namespace plantainslip::fakes {

/// @brief What befalls one call of the fake store.
enum class StoreFault
{
  kNone,
  /// @brief The call does not reach the store.
  kLostRequest,
  /// @brief The call takes effect and its answer is lost.
  kLostAnswer,
};

/// @brief The platform's store in memory, with faults that a test can order.
class MemoryStore final : public platform::Store
{
public:
  /// @brief Makes an empty store.
  /// @param aClock  time by which leases lapse; has to outlive the store
  explicit MemoryStore(const core::Clock& aClock);

  /// @brief Takes the store down, or brings it back.
  void SetDown(bool aDown);
  /// @brief Orders faults for the next calls, one each.
  void PlanFaults(std::deque<StoreFault> aFaults);
  /// @brief Gives how many calls were made, faulty ones included.
  std::uint64_t Calls() const;
  /// @brief Gives how many writes took effect.
  std::uint64_t Writes() const;

  absl::StatusOr<std::optional<platform::StoredValue>> Get(const std::string& aKey) override;
  absl::StatusOr<std::vector<platform::KeyedValue>> List(const std::string& aPrefix) override;
  absl::StatusOr<core::Revision> CompareAndSwap(const std::string& aKey,
                                                core::Revision aExpected,
                                                const std::string& aValue) override;
  absl::StatusOr<std::optional<platform::StoredValue>> Watch(
    const std::string& aKey,
    core::Revision aAfter,
    std::chrono::milliseconds aTimeout) override;
  absl::StatusOr<platform::LeaseGrant> AcquireLease(const std::string& aName,
                                                    const std::string& aHolder,
                                                    std::chrono::milliseconds aDuration) override;
  absl::StatusOr<platform::LeaseGrant> RenewLease(const std::string& aName,
                                                  core::FencingToken aToken,
                                                  std::chrono::milliseconds aDuration) override;
  absl::Status ReleaseLease(const std::string& aName, core::FencingToken aToken) override;

private:
  struct Lease
  {
    core::FencingToken token;
    std::string holder;
    core::MonotonicTime endsAt;
    bool held = false;
  };

  StoreFault NextFault();
  template<typename Result, typename Effect>
  Result Perform(bool aWrites, Effect aEffect);
  bool IsHeld(const Lease& aLease) const;

  const core::Clock& clock;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, platform::StoredValue> values;
  std::map<std::string, Lease> leases;
  std::deque<StoreFault> faults;
  core::FencingToken lastToken;
  std::uint64_t calls = 0;
  std::uint64_t writes = 0;
  bool down = false;
};

} // namespace plantainslip::fakes
