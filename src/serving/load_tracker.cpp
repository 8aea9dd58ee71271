#include <plantainslip/serving/load_tracker.hpp>

#include <algorithm>

namespace plantainslip::serving {

void
TargetLoad::Add(const TargetLoad& aOther, double aFactor)
{
  const auto add = [aFactor](double& aTo, double aFrom) {
    aTo = std::max(0.0, aTo + aFactor * aFrom);
  };
  add(this->requests, aOther.requests);
  add(this->cacheTransfers, aOther.cacheTransfers);
  add(this->heldTokens, aOther.heldTokens);
  for (std::size_t level = 0; level < kPriorityLevels; ++level) {
    add(this->prefillTokens[level], aOther.prefillTokens[level]);
  }
}

void
LoadTracker::Add(const core::TargetId& aTarget, const TargetLoad& aLoad)
{
  this->own[aTarget].Add(aLoad);
}

void
LoadTracker::Remove(const core::TargetId& aTarget, const TargetLoad& aLoad)
{
  const auto found = this->own.find(aTarget);
  if (found == this->own.end()) {
    return;
  }
  found->second.Add(aLoad, -1.0);
  if (found->second == TargetLoad{}) {
    this->own.erase(found);
  }
}

void
LoadTracker::AddToReportedSum(const LoadTable& aLoads, double aFactor)
{
  for (const auto& [target, load] : aLoads) {
    TargetLoad& sum = this->reportedSum[target];
    sum.Add(load, aFactor);
    if (sum == TargetLoad{}) {
      this->reportedSum.erase(target);
    }
  }
}

void
LoadTracker::RemoveExpiredReports(core::MonotonicTime aNow)
{
  this->oldestReportAt = aNow;
  for (auto peer = this->peers.begin(); peer != this->peers.end();) {
    if (aNow - peer->second.receivedAt > kReportLifetime) {
      this->AddToReportedSum(peer->second.loads, -1.0);
      peer = this->peers.erase(peer);
    } else {
      this->oldestReportAt = std::min(this->oldestReportAt, peer->second.receivedAt);
      ++peer;
    }
  }
}

void
LoadTracker::SetPeerReport(const core::InstanceId& aPeer,
                           LoadTable aLoads,
                           core::MonotonicTime aNow)
{
  PeerReport& report = this->peers[aPeer];
  this->AddToReportedSum(report.loads, -1.0);
  report = PeerReport{ std::move(aLoads), aNow };
  this->AddToReportedSum(report.loads, 1.0);
  this->RemoveExpiredReports(aNow);
}

TargetLoad
LoadTracker::Total(const core::TargetId& aTarget, core::MonotonicTime aNow) const
{
  TargetLoad total;
  const auto add = [&](const LoadTable& aLoads) {
    if (const auto found = aLoads.find(aTarget); found != aLoads.end()) {
      total.Add(found->second);
    }
  };
  add(this->own);
  if (aNow - this->oldestReportAt <= kReportLifetime) {
    add(this->reportedSum);
    return total;
  }
  for (const auto& [peer, report] : this->peers) {
    if (aNow - report.receivedAt <= kReportLifetime) {
      add(report.loads);
    }
  }
  return total;
}

std::size_t
LoadTracker::CountLivePeers(core::MonotonicTime aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(this->peers.begin(), this->peers.end(), [&](const auto& aEntry) {
      return aNow - aEntry.second.receivedAt <= kReportLifetime;
    }));
}

} // namespace plantainslip::serving
