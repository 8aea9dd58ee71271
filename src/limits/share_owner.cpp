#include <plantainslip/limits/share_owner.hpp>

#include <algorithm>

namespace plantainslip::limits {

namespace {

using Seconds = std::chrono::duration<double>;

} // namespace

double
ShareOwner::UnleasedShare(const OwnedWorkspace& aWorkspace) const
{
  double share = this->options.PoolShare();
  for (const auto& [instance, lease] : aWorkspace.holders) {
    share -= lease.maxInUse;
  }
  return std::max(share, 0.0);
}

// A lease that expired since the last refill counts as leased for the whole time, so that no share
// is used twice.
void
ShareOwner::Refill(OwnedWorkspace& aWorkspace, core::MonotonicTime aNow) const
{
  const Seconds passed = aNow - aWorkspace.unleasedBucket.refilledAt;
  const double share = this->UnleasedShare(aWorkspace);
  aWorkspace.unleasedBucket.Refill(
    share * passed.count(), share * Seconds(this->options.burst).count(), aNow);
}

// Refills the unleased bucket up to now and then removes expired leases.
void
ShareOwner::ExpireLeases(OwnedWorkspace& aWorkspace, core::MonotonicTime aNow) const
{
  this->Refill(aWorkspace, aNow);
  std::erase_if(aWorkspace.holders,
                [&](const auto& aEntry) { return aEntry.second.until <= aNow; });
}

ShareGrant
ShareOwner::GrantShares(const DemandReport& aReport, core::MonotonicTime aNow)
{
  ShareGrant grant;
  for (const DemandLine& line : aReport.lines) {
    OwnedWorkspace& workspace = this->workspaces[line.workspace.Number()];
    this->ExpireLeases(workspace, aNow);
    const double share = this->GrantShare(workspace.holders, aReport.instance, line, aNow);
    // Reduces the accumulated level to the capacity of the remaining unleased share.
    this->Refill(workspace, aNow);
    grant.lines.push_back({ line.workspace, static_cast<float>(share) });
  }
  return grant;
}

LimitDecision
ShareOwner::Decide(const LimitRequest& aRequest, core::MonotonicTime aNow)
{
  const auto [found, isNew] = this->workspaces.try_emplace(aRequest.workspace.Number());
  OwnedWorkspace& workspace = found->second;
  if (isNew) {
    workspace.unleasedBucket.refilledAt = aNow;
  }
  this->ExpireLeases(workspace, aNow);
  workspace.unleasedBucket.limit = aRequest.limit;
  workspace.lastLimitRequestAt = aNow;
  return workspace.unleasedBucket.TryTake(aRequest.tokens, this->UnleasedShare(workspace));
}

double
ShareOwner::GrantShare(Leaseholders& aHolders,
                       const core::InstanceId& aInstance,
                       const DemandLine& aLine,
                       core::MonotonicTime aNow) const
{
  double demands = aLine.demand;
  double leasedToOthers = 0.0;
  for (const auto& [instance, lease] : aHolders) {
    if (instance != aInstance) {
      demands += lease.demand;
      leasedToOthers += lease.maxInUse;
    }
  }
  const double pool = this->options.PoolShare();
  const double fairShare = demands > 0.0 ? pool * aLine.demand / demands : 0.0;
  const double share = std::clamp(fairShare, 0.0, std::max(pool - leasedToOthers, 0.0));
  // If the answer is lost, the instance continues to use the share that it reported.
  const double maxInUse = std::max(share, std::min(static_cast<double>(aLine.inUse), pool));
  aHolders[aInstance] = { aLine.demand, maxInUse, aNow + this->options.leaseDuration };
  return share;
}

void
ShareOwner::Prune(core::MonotonicTime aNow)
{
  for (auto& [hash, workspace] : this->workspaces) {
    this->ExpireLeases(workspace, aNow);
  }
  std::erase_if(this->workspaces, [&](const auto& aEntry) {
    const OwnedWorkspace& workspace = aEntry.second;
    return workspace.holders.empty() &&
           aNow - workspace.lastLimitRequestAt >= this->options.idleTimeout;
  });
}

std::size_t
ShareOwner::LeaseCount() const
{
  std::size_t count = 0;
  for (const auto& [hash, workspace] : this->workspaces) {
    count += workspace.holders.size();
  }
  return count;
}

} // namespace plantainslip::limits
