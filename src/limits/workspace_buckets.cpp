#include <plantainslip/limits/workspace_buckets.hpp>

#include <algorithm>

namespace plantainslip::limits {

namespace {

using Seconds = std::chrono::duration<double>;

// Minimum time after a refusal before the owners are asked again.
constexpr std::chrono::milliseconds kMinOwnerRequestInterval{ 50 };
// With at least this many requests per report interval, a lease takes fewer messages than asking
// for each request.
constexpr double kMinArrivalsForLease = 3.0;
// Weight of the newest interval in the demand estimate.
constexpr double kNewestWeight = 0.7;
// Multiple of its demand that an instance keeps when it reduces its leases.
constexpr double kLeaseHeadroom = 1.5;

} // namespace

WorkspaceBuckets::WorkspaceBuckets(LimitOptions aOptions, core::InstanceId aSelf)
  : options(aOptions)
  , self(std::move(aSelf))
{
  this->instances.push_back(this->self);
}

void
WorkspaceBuckets::SetInstances(std::vector<core::InstanceId> aInstances)
{
  const bool listed =
    std::find(aInstances.begin(), aInstances.end(), this->self) != aInstances.end();
  if (!listed) {
    aInstances.push_back(this->self);
  }
  this->instances = std::move(aInstances);
}

double
WorkspaceBuckets::ReserveShare() const
{
  return this->options.reserve / static_cast<double>(this->instances.size());
}

double
WorkspaceBuckets::TotalShare(const Bucket& aBucket, core::MonotonicTime aNow) const
{
  double share = this->ReserveShare();
  for (const Lease& lease : aBucket.leases) {
    share += lease.until > aNow ? lease.share : 0.0;
  }
  return share;
}

// Each lease contributes its share for the time during which it was valid.
void
WorkspaceBuckets::Refill(Bucket& aBucket, core::MonotonicTime aNow) const
{
  double shareSeconds = this->ReserveShare() * Seconds(aNow - aBucket.rate.refilledAt).count();
  for (const Lease& lease : aBucket.leases) {
    const Seconds held = std::min(aNow, lease.until) - aBucket.rate.refilledAt;
    shareSeconds += lease.share * std::max(held.count(), 0.0);
  }
  const double maxShareSeconds =
    this->TotalShare(aBucket, aNow) * Seconds(this->options.burst).count();
  aBucket.rate.Refill(shareSeconds, maxShareSeconds, aNow);
}

WorkspaceBuckets::Bucket&
WorkspaceBuckets::GetBucket(const core::WorkspaceId& aWorkspace,
                            const config::WorkspaceLimit& aLimit,
                            core::MonotonicTime aNow)
{
  const auto [found, isNew] = this->buckets.try_emplace(HashWorkspace(aWorkspace).Number());
  Bucket& bucket = found->second;
  if (isNew) {
    bucket.rate.refilledAt = aNow;
  }
  this->Refill(bucket, aNow);
  bucket.rate.limit = aLimit;
  bucket.usedAt = aNow;
  return bucket;
}

LimitDecision
WorkspaceBuckets::Admit(const core::WorkspaceId& aWorkspace,
                        const config::WorkspaceLimit& aLimit,
                        core::TokenCount aTokens,
                        core::MonotonicTime aNow)
{
  if (aLimit.requestsPerSecond <= 0.0 && aLimit.tokensPerSecond <= 0.0) {
    return {};
  }
  Bucket& bucket = this->GetBucket(aWorkspace, aLimit, aNow);
  bucket.intervalRequests += 1.0;
  bucket.intervalTokens += static_cast<double>(aTokens.Number());
  return bucket.rate.TryTake(aTokens, this->TotalShare(bucket, aNow));
}

std::vector<core::InstanceId>
WorkspaceBuckets::OwnersToAsk(const core::WorkspaceId& aWorkspace, core::MonotonicTime aNow) const
{
  const WorkspaceHash hash = HashWorkspace(aWorkspace);
  const auto found = this->buckets.find(hash.Number());
  if (found == this->buckets.end() || found->second.nextOwnerRequestAt > aNow) {
    return {};
  }
  std::vector<core::InstanceId> owners = FindOwners(hash, this->instances, this->options.owners);
  // Instances start with different owners, so that all pools are used.
  const std::size_t first = std::hash<core::InstanceId>{}(this->self) % owners.size();
  std::rotate(owners.begin(), owners.begin() + static_cast<std::ptrdiff_t>(first), owners.end());
  return owners;
}

void
WorkspaceBuckets::RecordRefusal(const core::WorkspaceId& aWorkspace,
                                std::chrono::milliseconds aWait,
                                core::MonotonicTime aNow)
{
  const auto found = this->buckets.find(HashWorkspace(aWorkspace).Number());
  if (found != this->buckets.end()) {
    found->second.nextOwnerRequestAt =
      aNow + std::clamp(aWait, kMinOwnerRequestInterval, this->options.reportInterval);
  }
}

void
WorkspaceBuckets::UpdateDemand(Bucket& aBucket, Seconds aInterval) const
{
  const auto demandRatio = [&](double aRequested, double aRate) {
    return aRate > 0.0 ? aRequested / aInterval.count() / aRate : 0.0;
  };
  const double newest =
    std::max(demandRatio(aBucket.intervalRequests, aBucket.rate.limit.requestsPerSecond),
             demandRatio(aBucket.intervalTokens, aBucket.rate.limit.tokensPerSecond));
  aBucket.demand += kNewestWeight * (newest - aBucket.demand);
  aBucket.meanArrivals += kNewestWeight * (aBucket.intervalRequests - aBucket.meanArrivals);
  // For infrequent requests the owners are asked each time; a lease would be unused between them.
  aBucket.demand = aBucket.meanArrivals < kMinArrivalsForLease ? 0.0 : aBucket.demand;
  aBucket.intervalRequests = 0.0;
  aBucket.intervalTokens = 0.0;
}

// Called before a report is made, which then contains a smaller share in use, so that the owner can
// lease the difference to other instances immediately.
void
WorkspaceBuckets::ReduceLeases(Bucket& aBucket) const
{
  const double maxShare =
    kLeaseHeadroom * aBucket.demand / static_cast<double>(this->options.owners);
  for (Lease& lease : aBucket.leases) {
    lease.share = std::min(lease.share, maxShare);
  }
}

std::map<core::InstanceId, DemandReport>
WorkspaceBuckets::MakeReports(core::MonotonicTime aNow)
{
  const Seconds interval = std::max(Seconds(aNow - this->intervalStart), Seconds(0.001));
  this->intervalStart = aNow;
  std::erase_if(this->buckets, [&](const auto& aEntry) {
    return aNow - aEntry.second.usedAt >= this->options.idleTimeout;
  });
  std::map<core::InstanceId, DemandReport> reports;
  for (auto& [hash, bucket] : this->buckets) {
    this->Refill(bucket, aNow);
    this->UpdateDemand(bucket, interval);
    const bool hadLeases = this->TotalShare(bucket, aNow) > this->ReserveShare();
    this->ReduceLeases(bucket);
    if (bucket.demand <= 0.0 && !hadLeases) {
      continue;
    }
    const WorkspaceHash workspace(hash);
    for (const core::InstanceId& owner :
         FindOwners(workspace, this->instances, this->options.owners)) {
      double inUse = 0.0;
      for (const Lease& lease : bucket.leases) {
        inUse += lease.owner == owner && lease.until > aNow ? lease.share : 0.0;
      }
      DemandReport& report = reports[owner];
      report.instance = this->self;
      report.lines.push_back(
        { workspace, static_cast<float>(bucket.demand), static_cast<float>(inUse) });
    }
  }
  return reports;
}

void
WorkspaceBuckets::ApplyGrant(const core::InstanceId& aOwner,
                             const ShareGrant& aGrant,
                             core::MonotonicTime aSentAt,
                             core::MonotonicTime aNow)
{
  for (const GrantLine& line : aGrant.lines) {
    const auto found = this->buckets.find(line.workspace.Number());
    if (found == this->buckets.end()) {
      continue;
    }
    Bucket& bucket = found->second;
    this->Refill(bucket, aNow);
    std::erase_if(bucket.leases, [&](const Lease& aLease) {
      return aLease.owner == aOwner || aLease.until <= aNow;
    });
    const double share = std::min(static_cast<double>(line.share), this->options.PoolShare());
    bucket.leases.push_back({ aOwner, share, aSentAt + this->options.leaseDuration });
  }
}

} // namespace plantainslip::limits
