#pragma once

#include <cstddef>
#include <map>
#include <unordered_map>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/limits/limit_messages.hpp>
#include <plantainslip/limits/limit_options.hpp>
#include <plantainslip/limits/rate_bucket.hpp>

namespace plantainslip::limits {

/// @brief Leases shares of the pools of the workspaces that this instance owns. No I/O; not
///        thread-safe.
///
/// The leased shares, including those that an instance may still be using, never exceed the pool: a
/// share is moved from one instance to another only after the first has reported that it uses less,
/// or after its lease has expired.
class ShareOwner
{
public:
  explicit ShareOwner(LimitOptions aOptions)
    : options(aOptions)
  {
  }

  /// @brief Handles a demand report: grants shares in proportion to demand, as far as the pool has
  ///        unleased shares.
  /// @return one share for each line; linear in the number of lines and of each workspace's
  ///         leaseholders
  ShareGrant GrantShares(const DemandReport& aReport, core::MonotonicTime aNow);

  /// @brief Admits one request from the unleased part of the pool, or refuses it. Linear in the
  ///        number of the workspace's leaseholders.
  LimitDecision Decide(const LimitRequest& aRequest, core::MonotonicTime aNow);

  /// @brief Removes expired leases and idle workspaces. Linear in the number of leases and
  ///        workspaces.
  void Prune(core::MonotonicTime aNow);

  /// @brief Returns the number of leases.
  std::size_t LeaseCount() const;

private:
  struct Lease
  {
    double demand = 0.0;
    /// @brief Maximum share that the instance may be using.
    double maxInUse = 0.0;
    core::MonotonicTime until;
  };
  using Leaseholders = std::map<core::InstanceId, Lease>;

  struct OwnedWorkspace
  {
    Leaseholders holders;
    /// @brief Refilled by the unleased part of the pool.
    RateBucket unleasedBucket;
    core::MonotonicTime lastLimitRequestAt;
  };

  double UnleasedShare(const OwnedWorkspace& aWorkspace) const;
  void Refill(OwnedWorkspace& aWorkspace, core::MonotonicTime aNow) const;
  void ExpireLeases(OwnedWorkspace& aWorkspace, core::MonotonicTime aNow) const;

  double GrantShare(Leaseholders& aHolders,
                    const core::InstanceId& aInstance,
                    const DemandLine& aLine,
                    core::MonotonicTime aNow) const;

  LimitOptions options;
  std::unordered_map<std::uint64_t, OwnedWorkspace> workspaces;
};

} // namespace plantainslip::limits
