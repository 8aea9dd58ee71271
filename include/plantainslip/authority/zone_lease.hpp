#pragma once

#include <chrono>
#include <optional>
#include <string>

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
  /// @brief Part of the duration that is left unused, for clocks that run at different rates.
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
  ZoneLease(platform::Store& aStore, const core::Clock& aClock, ZoneLeaseOptions aOptions);

  /// @brief Takes the lease if it is free, prolongs it if it is held.
  void Keep();

  /// @brief Gives the fencing token while the lease certainly holds; nothing otherwise.
  std::optional<core::FencingToken> Token() const;

  /// @brief Gives the lease back.
  void Release();

private:
  std::string Name() const;
  void Adopt(const absl::StatusOr<platform::LeaseGrant>& aGrant, core::MonotonicTime aSentAt);

  platform::Store& store;
  const core::Clock& clock;
  ZoneLeaseOptions options;
  std::optional<core::FencingToken> token;
  core::MonotonicTime endsAt;
};

} // namespace plantainslip::authority
