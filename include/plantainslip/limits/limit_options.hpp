#pragma once

#include <chrono>

namespace plantainslip::limits {

/// @brief How the limit of a workspace is divided over instances.
///
/// A limit is cut into a reserve and pools. Every instance may use an equal part of the reserve
/// without asking; the pools belong to two instances, their owners, which lease parts of them out
/// by demand. All parts together are never more than the limit while all instances know the same
/// list.
struct LimitOptions
{
  /// @brief Share of a limit that is divided equally over all listed instances.
  double reserve = 0.1;
  /// @brief Owners of each workspace, each with an equal pool of what is not in the reserve.
  std::size_t owners = 2;
  /// @brief Time for which unused rate is saved up.
  std::chrono::milliseconds burst = std::chrono::seconds(1);
  /// @brief Time between two reports of demand to the owners.
  std::chrono::milliseconds reportInterval = std::chrono::seconds(1);
  /// @brief How long a leased part holds without a new grant.
  std::chrono::milliseconds leaseTime = std::chrono::seconds(4);
  /// @brief Time without requests after which a workspace is forgotten.
  std::chrono::milliseconds idleTime = std::chrono::minutes(1);

  /// @brief Gives the share of a limit that one owner leases out.
  double Pool() const { return (1.0 - this->reserve) / static_cast<double>(this->owners); }
};

} // namespace plantainslip::limits
