#pragma once

#include <chrono>
#include <map>
#include <unordered_map>
#include <vector>

#include <plantainslip/config/configuration.hpp>
#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/limits/limit_gossip.hpp>
#include <plantainslip/limits/limit_options.hpp>
#include <plantainslip/limits/rate_bucket.hpp>

namespace plantainslip::limits {

/// @brief Token buckets of the workspaces that this instance serves. No I/O, one thread.
/// @note In any time T all instances together admit at most the limit times (T + burst) and one
///       request for each instance and each owner.
class WorkspaceBuckets
{
public:
  /// @param aSelf  this instance
  WorkspaceBuckets(LimitOptions aOptions, core::InstanceId aSelf);

  /// @brief Sets the listed instances, which divide the reserve and among which owners are found.
  void AdoptInstances(std::vector<core::InstanceId> aInstances);

  /// @brief Decides on one request and counts it as demand. Constant time.
  /// @param aLimit  rates of zero are no limit
  /// @param aTokens  tokens that the request may cost
  LimitDecision Admit(const core::WorkspaceId& aWorkspace,
                      const config::WorkspaceLimit& aLimit,
                      core::TokenCount aTokens,
                      core::MonotonicTime aNow);

  /// @brief Gives the owners that are to be asked for a request which was refused here, in the
  /// order
  ///        in which this instance asks them; none if they refused one a moment ago.
  std::vector<core::InstanceId> WhomToAsk(const core::WorkspaceId& aWorkspace,
                                          core::MonotonicTime aNow) const;

  /// @brief Notes that all owners refused a request, so that none is asked before there may be
  /// room.
  void NoteRefusal(const core::WorkspaceId& aWorkspace,
                   std::chrono::milliseconds aWait,
                   core::MonotonicTime aNow);

  /// @brief Ends an interval of demand and forgets idle workspaces.
  /// @return reports by owner, this instance included; linear in the number of workspaces
  std::map<core::InstanceId, DemandReport> MakeReports(core::MonotonicTime aNow);

  /// @brief Takes an owner's answer.
  /// @param aSentAt  moment before the report was sent, from which the lease is counted
  void AdoptGrant(const core::InstanceId& aOwner,
                  const ShareGrant& aGrant,
                  core::MonotonicTime aSentAt,
                  core::MonotonicTime aNow);

  /// @brief Gives the number of workspaces that are kept.
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
    double askedRequests = 0.0;
    double askedTokens = 0.0;
    double demand = 0.0;
    /// @brief Requests in an interval, averaged.
    double arrivals = 0.0;
    core::MonotonicTime usedAt;
    core::MonotonicTime asksAgainAt;
    std::vector<Lease> leases;
  };

  double Floor() const;
  double ShareAt(const Bucket& aBucket, core::MonotonicTime aNow) const;
  void Fill(Bucket& aBucket, core::MonotonicTime aNow) const;
  Bucket& BucketOf(const core::WorkspaceId& aWorkspace,
                   const config::WorkspaceLimit& aLimit,
                   core::MonotonicTime aNow);
  void GiveBack(Bucket& aBucket) const;
  void EndInterval(Bucket& aBucket, std::chrono::duration<double> aInterval) const;

  LimitOptions options;
  core::InstanceId self;
  std::vector<core::InstanceId> instances;
  std::unordered_map<std::uint64_t, Bucket> buckets;
  core::MonotonicTime intervalBegan;
};

} // namespace plantainslip::limits
