#include <plantainslip/limits/workspace_buckets.hpp>

#include <algorithm>
#include <cmath>

namespace plantainslip::limits {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::chrono::seconds kLongestRetryAfter{ 60 };
// Weight of the newest interval in the estimate of demand.
constexpr double kNewest = 0.7;
// An instance keeps this multiple of its demand when it gives shares back.
constexpr double kSlack = 1.5;
// Demand below this share of a limit is not worth a message.
constexpr double kLeastDemand = 1e-4;

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

void
WorkspaceBuckets::Cap(Bucket& aBucket, double aShare) const
{
  const double saved = aShare * Seconds(this->options.burst).count();
  aBucket.requests =
    std::min(aBucket.requests, std::max(1.0, aBucket.limit.requestsPerSecond * saved));
  aBucket.tokens = std::min(aBucket.tokens, std::max(1.0, aBucket.limit.tokensPerSecond * saved));
}

// Each lease adds its share for the time in which it held.
void
WorkspaceBuckets::Fill(Bucket& aBucket, core::MonotonicTime aNow) const
{
  double shareSeconds = this->Floor() * Seconds(aNow - aBucket.filledAt).count();
  for (const Lease& lease : aBucket.leases) {
    const Seconds held = std::min(aNow, lease.until) - aBucket.filledAt;
    shareSeconds += lease.share * std::max(held.count(), 0.0);
  }
  aBucket.requests += aBucket.limit.requestsPerSecond * shareSeconds;
  aBucket.tokens += aBucket.limit.tokensPerSecond * shareSeconds;
  aBucket.filledAt = aNow;
  this->Cap(aBucket, this->ShareAt(aBucket, aNow));
}

WorkspaceBuckets::Bucket&
WorkspaceBuckets::BucketOf(const core::WorkspaceId& aWorkspace,
                           const config::WorkspaceLimit& aLimit,
                           core::MonotonicTime aNow)
{
  const auto [found, isNew] = this->buckets.try_emplace(HashWorkspace(aWorkspace).Number());
  Bucket& bucket = found->second;
  if (isNew) {
    bucket.filledAt = aNow;
    bucket.requests = 1.0;
    bucket.tokens = 1.0;
  }
  this->Fill(bucket, aNow);
  bucket.limit = aLimit;
  bucket.usedAt = aNow;
  return bucket;
}

LimitDecision
WorkspaceBuckets::Admit(const core::WorkspaceId& aWorkspace,
                        const config::WorkspaceLimit& aLimit,
                        core::TokenCount aTokens,
                        core::MonotonicTime aNow)
{
  const bool limitsRequests = aLimit.requestsPerSecond > 0.0;
  const bool limitsTokens = aLimit.tokensPerSecond > 0.0;
  if (!limitsRequests && !limitsTokens) {
    return {};
  }
  Bucket& bucket = this->BucketOf(aWorkspace, aLimit, aNow);
  const auto cost = static_cast<double>(aTokens.Number());
  bucket.askedRequests += 1.0;
  bucket.askedTokens += cost;
  const bool hasRequests = !limitsRequests || bucket.requests >= 1.0;
  // A request may cost more than is ever saved up, so it runs into debt.
  const bool hasTokens = !limitsTokens || bucket.tokens > 0.0;
  if (hasRequests && hasTokens) {
    bucket.requests -= limitsRequests ? 1.0 : 0.0;
    bucket.tokens -= limitsTokens ? cost : 0.0;
    return {};
  }
  const double share = this->ShareAt(bucket, aNow);
  double wait = 0.0;
  if (!hasRequests) {
    wait = (1.0 - bucket.requests) / (aLimit.requestsPerSecond * share);
  }
  if (!hasTokens) {
    wait = std::max(wait, -bucket.tokens / (aLimit.tokensPerSecond * share));
  }
  const double bounded = std::min(std::ceil(wait), Seconds(kLongestRetryAfter).count());
  return { false, std::max(std::chrono::seconds(1), std::chrono::seconds(std::lround(bounded))) };
}

void
WorkspaceBuckets::EndInterval(Bucket& aBucket, Seconds aInterval) const
{
  const auto multiple = [&](double aAsked, double aRate) {
    return aRate > 0.0 ? aAsked / aInterval.count() / aRate : 0.0;
  };
  const double newest = std::max(multiple(aBucket.askedRequests, aBucket.limit.requestsPerSecond),
                                 multiple(aBucket.askedTokens, aBucket.limit.tokensPerSecond));
  aBucket.demand += kNewest * (newest - aBucket.demand);
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
    this->GiveBack(bucket);
    const bool leases = this->ShareAt(bucket, aNow) > this->Floor();
    if (bucket.demand < kLeastDemand && !leases) {
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
