#pragma once

#include <functional>

#include <plantainslip/duties/lease_state.hpp>

#include "async_store.hpp"

namespace plantainslip::serving {

/// @brief Returns the time of CLOCK_BOOTTIME, which also runs while the machine is suspended.
duties::BootTime
ReadBootTime();

/// @brief Claims, renews and gives up the fleet's lease in the store. Used on the control thread.
class LeaseKeeper
{
public:
  using OnChange = std::function<void()>;

  /// @param aOnChange  called after the lease was acquired or lost
  LeaseKeeper(AsyncStore& aStore,
              core::InstanceId aSelf,
              const duties::LeaseRules& aRules,
              OnChange aOnChange);

  /// @brief Renews the lease if it is held, otherwise claims it if it is free.
  /// @param aMayClaim  false while another instance is known to hold it
  Task<void> Step(bool aMayClaim);

  bool IsHeld() const { return this->state.IsHeld(); }
  bool IsSafe() const { return this->state.IsSafe(ReadBootTime()); }
  bool MayCall() const { return this->state.MayCall(ReadBootTime()); }
  core::FencingToken Token() const { return this->state.Token(); }

  /// @brief Ends holding the lease.
  void StepDown(const std::string& aReason);

  /// @brief Ends holding the lease and does not claim it for a time.
  void GiveUp(const std::string& aReason, std::chrono::milliseconds aAbsence);

  /// @brief Neither claims nor renews the lease any more.
  void Retire();

private:
  Task<void> Claim();
  Task<void> ReadBack();
  Task<void> Renew(Lease aLease);
  Task<absl::StatusOr<std::optional<duties::SeenKey>>> ReadKey(Freshness aFreshness);
  void LogAcquired();
  void LogLost(const std::string& aReason) const;

  AsyncStore& store;
  core::InstanceId self;
  duties::LeaseRules rules;
  duties::LeaseState state;
  OnChange onChange;
};

} // namespace plantainslip::serving
