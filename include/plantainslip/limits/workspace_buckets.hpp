#pragma once

#include <chrono>
#include <map>
#include <unordered_map>
#include <vector>

#include <plantainslip/config/configuration.hpp>
#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/limits/limit_messages.hpp>
#include <plantainslip/limits/limit_options.hpp>
#include <plantainslip/limits/rate_bucket.hpp>

namespace plantainslip::limits {

/// @brief Token buckets of the workspaces that this instance serves. No I/O; not thread-safe.
/// @note In any period T all instances together admit at most the limit times (T + burst), plus one
///       request for each instance and each owner.
class WorkspaceBuckets
{
public:
  /// @param aOptions  settings
  /// @param aSelf  this instance
  WorkspaceBuckets(LimitOptions aOptions, core::InstanceId aSelf);

  /// @brief Sets the listed instances, which share the reserve and from which owners are selected.
  void SetInstances(std::vector<core::InstanceId> aInstances);

  /// @brief Decides on one request by this instance's share of the limit and counts it as demand.
  ///        Constant time.
  /// @param aWorkspace  the workspace
  /// @param aLimit  its limit; a rate of zero is unlimited
  /// @param aTokens  tokens that the request may cost
  LimitDecision Admit(const core::WorkspaceId& aWorkspace,
                      const config::WorkspaceLimit& aLimit,
                      core::TokenCount aTokens,
                      core::MonotonicTime aNow);

  /// @brief Returns the owners to ask for a request that was refused here, in the order in which to
  ///        ask them; none if all owners refused a request recently.
  std::vector<core::InstanceId> OwnersToAsk(const core::WorkspaceId& aWorkspace,
                                            core::MonotonicTime aNow) const;

  /// @brief Records that no owner admitted a request (refused or not reachable). They are asked
  ///        again after the shortest wait they returned, but not before 50 ms and not later than
  ///        one report interval.
  void RecordRefusal(const core::WorkspaceId& aWorkspace,
                     std::chrono::milliseconds aWait,
                     core::MonotonicTime aNow);

  /// @brief Updates the demand estimates at the end of a report interval and removes idle
  ///        workspaces.
  /// @return reports by owner, including this instance; linear in the number of workspaces
  std::map<core::InstanceId, DemandReport> MakeReports(core::MonotonicTime aNow);

  /// @brief Applies an owner's grant, which replaces its earlier leases.
  /// @param aSentAt  time before the report was sent, at which the lease starts
  void ApplyGrant(const core::InstanceId& aOwner,
                  const ShareGrant& aGrant,
                  core::MonotonicTime aSentAt,
                  core::MonotonicTime aNow);

  /// @brief Returns the number of workspaces that have a bucket.
  std::size_t Size() const { return this->buckets.size(); }

private:
  struct Lease
  {
    core::InstanceId owner;
    double share = 0.0;
    core::MonotonicTime until;
  };

  struct Bucket
  {
    RateBucket rate;
    double intervalRequests = 0.0;
    double intervalTokens = 0.0;
    double demand = 0.0;
    /// @brief Moving average of the requests per report interval.
    double meanArrivals = 0.0;
    core::MonotonicTime usedAt;
    core::MonotonicTime nextOwnerRequestAt;
    std::vector<Lease> leases;
  };

  double ReserveShare() const;
  double TotalShare(const Bucket& aBucket, core::MonotonicTime aNow) const;
  void Refill(Bucket& aBucket, core::MonotonicTime aNow) const;
  Bucket& GetBucket(const core::WorkspaceId& aWorkspace,
                    const config::WorkspaceLimit& aLimit,
                    core::MonotonicTime aNow);
  void ReduceLeases(Bucket& aBucket) const;
  void UpdateDemand(Bucket& aBucket, std::chrono::duration<double> aInterval) const;

  LimitOptions options;
  core::InstanceId self;
  std::vector<core::InstanceId> instances;
  std::unordered_map<std::uint64_t, Bucket> buckets;
  core::MonotonicTime intervalStart;
};

} // namespace plantainslip::limits
