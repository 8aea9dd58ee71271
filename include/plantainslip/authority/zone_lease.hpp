#pragma once

#include <chrono>
#include <optional>
#include <string>

#include <plantainslip/authority/term_timer.hpp>
#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/platform/store.hpp>

namespace plantainslip::authority {

/// @brief Settings of the lease that makes one controller of a zone its holder.
struct ZoneLeaseOptions
{
  core::ZoneId zone;
  core::InstanceId holder;
  std::chrono::milliseconds duration = std::chrono::seconds(5);
  /// @brief Part of the duration that is left unused, for clocks that run at different rates. The
  ///        process ends one margin before the lease does, and stands down one margin earlier.
  std::chrono::milliseconds margin = std::chrono::milliseconds(500);
};

/// @brief The lease of one availability zone, as one controller sees it.
/// @note Not safe to share between threads. Constant time beside the store's calls.
class ZoneLease
{
public:
  /// @brief Connects the lease to the store; nothing is held yet.
  /// @param aStore  has to outlive the lease
  /// @param aClock  has to outlive the lease
  /// @param aTimer  ends the process with the lease; has to outlive it
  ZoneLease(platform::Store& aStore,
            const core::Clock& aClock,
            TermTimer& aTimer,
            ZoneLeaseOptions aOptions);

  /// @brief Takes the lease if it is free, prolongs it if a third of it is used up. Makes at most
  ///        one call of the store, and none before one is due.
  void Keep();

  /// @brief Sets how many controllers of the zone there may be. Those that stand by call the store
  ///        the more rarely the more there are, so that their calls do not grow with the fleet.
  void SetContenders(std::size_t aContenders) { this->contenders = aContenders; }

  /// @brief Gives the fencing token while the lease certainly holds; nothing otherwise.
  std::optional<core::FencingToken> Token() const;

  /// @brief Gives the lease back.
  void Release();

private:
  std::string Name() const;
  void Adopt(const absl::StatusOr<platform::LeaseGrant>& aGrant, core::MonotonicTime aSentAt);
  void StandDown();
  std::chrono::milliseconds StandbyInterval() const;

  platform::Store& store;
  const core::Clock& clock;
  TermTimer& timer;
  ZoneLeaseOptions options;
  std::optional<core::FencingToken> token;
  core::MonotonicTime endsAt;
  core::MonotonicTime nextCallAt;
  std::size_t contenders = 1;
};

} // namespace plantainslip::authority
