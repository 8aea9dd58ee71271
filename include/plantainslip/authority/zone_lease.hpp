#pragma once

#include <chrono>
#include <optional>
#include <string>

#include <plantainslip/authority/term_timer.hpp>
#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/platform/store.hpp>

namespace plantainslip::authority {

/// @brief Settings of the lease that elects one controller of a zone.
struct ZoneLeaseOptions
{
  core::ZoneId zone;
  core::InstanceId holder;
  std::chrono::milliseconds duration = std::chrono::seconds(5);
  /// @brief Safety margin for clocks that run at different rates. The process is killed one margin
  ///        before the lease ends, and steps down two margins before.
  std::chrono::milliseconds margin = std::chrono::milliseconds(500);
};

/// @brief One controller's client of the lease of its availability zone.
/// @note Not thread-safe. Constant time apart from store calls.
class ZoneLease
{
public:
  /// @brief Creates the client; the lease is not acquired yet.
  /// @param aStore  has to outlive the lease
  /// @param aClock  has to outlive the lease
  /// @param aTimer  kills the process before the lease ends; has to outlive the lease
  ZoneLease(platform::Store& aStore,
            const core::Clock& aClock,
            TermTimer& aTimer,
            ZoneLeaseOptions aOptions);

  /// @brief Acquires the lease if it is free, or renews it once a third of its duration has passed.
  ///        Steps down if the lease was not renewed in time. Makes at most one store call, and none
  ///        before the next one is due.
  void AcquireOrRenew();

  /// @brief Sets the number of controllers that compete for the lease. The interval between a
  ///        standby's store calls grows with it, so that the total call rate of all standbys does
  ///        not grow with the zone.
  void SetContenderCount(std::size_t aCount) { this->contenderCount = aCount; }

  /// @brief Returns the fencing token while the lease is held, until two margins before its end;
  ///        nothing otherwise.
  std::optional<core::FencingToken> Token() const;

  /// @brief Releases the lease, if it is held.
  void Release();

private:
  std::string Name() const;
  void ApplyResult(const absl::StatusOr<platform::LeaseGrant>& aResult,
                   core::MonotonicTime aSentAt);
  void StepDown();
  std::chrono::milliseconds StandbyInterval() const;

  platform::Store& store;
  const core::Clock& clock;
  TermTimer& timer;
  ZoneLeaseOptions options;
  std::optional<core::FencingToken> token;
  core::MonotonicTime processDeadline;
  core::MonotonicTime nextCallAt;
  std::size_t contenderCount = 1;
};

} // namespace plantainslip::authority
