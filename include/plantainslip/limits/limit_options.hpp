#pragma once

#include <chrono>

namespace plantainslip::limits {

/// @brief Settings for dividing the limit of a workspace over instances.
///
/// A limit is divided into a reserve and one pool per owner. Every instance may use an equal part
/// of the reserve without asking; each owner leases shares of its pool to instances according to
/// their demand. The parts never add up to more than the limit while all instances have the same
/// list of instances.
struct LimitOptions
{
  /// @brief Share of a limit that is divided equally among all listed instances.
  double reserve = 0.1;
  /// @brief Number of owners per workspace; what is not in the reserve is divided equally into
  ///        their pools.
  std::size_t owners = 2;
  /// @brief Time for which unused rate accumulates.
  std::chrono::milliseconds burst = std::chrono::seconds(1);
  /// @brief Interval between two demand reports to the owners.
  std::chrono::milliseconds reportInterval = std::chrono::seconds(1);
  /// @brief Time after which a lease expires without a new grant.
  std::chrono::milliseconds leaseDuration = std::chrono::seconds(4);
  /// @brief Time without requests after which a workspace's state is removed.
  std::chrono::milliseconds idleTimeout = std::chrono::minutes(1);

  /// @brief Returns the share of a limit in the pool of one owner.
  double PoolShare() const { return (1.0 - this->reserve) / static_cast<double>(this->owners); }
};

} // namespace plantainslip::limits
