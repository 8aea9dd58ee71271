#include <plantainslip/limits/workspace_buckets.hpp>

#include <algorithm>

namespace plantainslip::limits {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::chrono::milliseconds kShortestAskPause{ 50 };
// Requests in an interval from which on a lease costs less than asking for each.
constexpr double kDenseArrivals = 3.0;
// Weight of the newest interval in the estimate of demand.
constexpr double kNewest = 0.7;
// An instance keeps this multiple of its demand when it gives shares back.
constexpr double kSlack = 1.5;

} // namespace

WorkspaceBuckets::WorkspaceBuckets(LimitOptions aOptions, core::InstanceId aSelf)
  : options(aOptions)
  , self(std::move(aSelf))
{
  this->instances.push_back(this->self);
}

void
WorkspaceBuckets::AdoptInstances(std::vector<core::InstanceId> aInstances)
{
  const bool listed =
    std::find(aInstances.begin(), aInstances.end(), this->self) != aInstances.end();
  if (!listed) {
    aInstances.push_back(this->self);
  }
  this->instances = std::move(aInstances);
}

double
WorkspaceBuckets::Floor() const
{
  return this->options.reserve / static_cast<double>(this->instances.size());
}

double
WorkspaceBuckets::ShareAt(const Bucket& aBucket, core::MonotonicTime aNow) const
{
  double share = this->Floor();
  for (const Lease& lease : aBucket.leases) {
    share += lease.until > aNow ? lease.share : 0.0;
  }
  return share;
}

// Each lease adds its share for the time in which it held.
void
WorkspaceBuckets::Fill(Bucket& aBucket, core::MonotonicTime aNow) const
{
  double shareSeconds = this->Floor() * Seconds(aNow - aBucket.rate.filledAt).count();
  for (const Lease& lease : aBucket.leases) {
    const Seconds held = std::min(aNow, lease.until) - aBucket.rate.filledAt;
    shareSeconds += lease.share * std::max(held.count(), 0.0);
  }
  const double saved = this->ShareAt(aBucket, aNow) * Seconds(this->options.burst).count();
  aBucket.rate.Fill(shareSeconds, saved, aNow);
}

WorkspaceBuckets::Bucket&
WorkspaceBuckets::BucketOf(const core::WorkspaceId& aWorkspace,
                           const config::WorkspaceLimit& aLimit,
                           core::MonotonicTime aNow)
{
  const auto [found, isNew] = this->buckets.try_emplace(HashWorkspace(aWorkspace).Number());
  Bucket& bucket = found->second;
  if (isNew) {
    bucket.rate.filledAt = aNow;
  }
  this->Fill(bucket, aNow);
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
  Bucket& bucket = this->BucketOf(aWorkspace, aLimit, aNow);
  bucket.askedRequests += 1.0;
  bucket.askedTokens += static_cast<double>(aTokens.Number());
  return bucket.rate.Take(aTokens, this->ShareAt(bucket, aNow));
}

std::vector<core::InstanceId>
WorkspaceBuckets::WhomToAsk(const core::WorkspaceId& aWorkspace, core::MonotonicTime aNow) const
{
  const WorkspaceHash hash = HashWorkspace(aWorkspace);
  const auto found = this->buckets.find(hash.Number());
  if (found == this->buckets.end() || found->second.asksAgainAt > aNow) {
    return {};
  }
  std::vector<core::InstanceId> owners = FindOwners(hash, this->instances, this->options.owners);
  // Instances begin with different owners, so that all pools are drawn on.
  const std::size_t first = std::hash<core::InstanceId>{}(this->self) % owners.size();
  std::rotate(owners.begin(), owners.begin() + static_cast<std::ptrdiff_t>(first), owners.end());
  return owners;
}

void
WorkspaceBuckets::NoteRefusal(const core::WorkspaceId& aWorkspace,
                              std::chrono::milliseconds aWait,
                              core::MonotonicTime aNow)
{
  const auto found = this->buckets.find(HashWorkspace(aWorkspace).Number());
  if (found != this->buckets.end()) {
    found->second.asksAgainAt =
      aNow + std::clamp(aWait, kShortestAskPause, this->options.reportInterval);
  }
}

void
WorkspaceBuckets::EndInterval(Bucket& aBucket, Seconds aInterval) const
{
  const auto multiple = [&](double aAsked, double aRate) {
    return aRate > 0.0 ? aAsked / aInterval.count() / aRate : 0.0;
  };
  const double newest =
    std::max(multiple(aBucket.askedRequests, aBucket.rate.limit.requestsPerSecond),
             multiple(aBucket.askedTokens, aBucket.rate.limit.tokensPerSecond));
  aBucket.demand += kNewest * (newest - aBucket.demand);
  aBucket.arrivals += kNewest * (aBucket.askedRequests - aBucket.arrivals);
  // Sparse requests are asked for one by one; a lease would lie idle between them.
  aBucket.demand = aBucket.arrivals < kDenseArrivals ? 0.0 : aBucket.demand;
  aBucket.askedRequests = 0.0;
  aBucket.askedTokens = 0.0;
}

// The report then names a smaller share, so the owner can lease the rest at once.
void
WorkspaceBuckets::GiveBack(Bucket& aBucket) const
{
  const double need = kSlack * aBucket.demand / static_cast<double>(this->options.owners);
  for (Lease& lease : aBucket.leases) {
    lease.share = std::min(lease.share, need);
  }
}

std::map<core::InstanceId, DemandReport>
WorkspaceBuckets::MakeReports(core::MonotonicTime aNow)
{
  const Seconds interval = std::max(Seconds(aNow - this->intervalBegan), Seconds(0.001));
  this->intervalBegan = aNow;
  std::erase_if(this->buckets, [&](const auto& aEntry) {
    return aNow - aEntry.second.usedAt >= this->options.idleTime;
  });
  std::map<core::InstanceId, DemandReport> reports;
  for (auto& [hash, bucket] : this->buckets) {
    this->Fill(bucket, aNow);
    this->EndInterval(bucket, interval);
    const bool hadLeases = this->ShareAt(bucket, aNow) > this->Floor();
    this->GiveBack(bucket);
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
WorkspaceBuckets::AdoptGrant(const core::InstanceId& aOwner,
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
    this->Fill(bucket, aNow);
    std::erase_if(bucket.leases, [&](const Lease& aLease) {
      return aLease.owner == aOwner || aLease.until <= aNow;
    });
    const double share = std::min(static_cast<double>(line.share), this->options.Pool());
    bucket.leases.push_back({ aOwner, share, aSentAt + this->options.leaseTime });
  }
}

} // namespace plantainslip::limits
