#include <plantainslip/serving/load_book.hpp>

#include <algorithm>

namespace plantainslip::serving {

void
TargetLoad::Add(const TargetLoad& aOther, double aFactor)
{
  const auto add = [aFactor](double& aTo, double aFrom) {
    aTo = std::max(0.0, aTo + aFactor * aFrom);
  };
  add(this->requests, aOther.requests);
  add(this->handovers, aOther.handovers);
  for (std::size_t level = 0; level < kPriorityLevels; ++level) {
    add(this->prefillTokens[level], aOther.prefillTokens[level]);
  }
}

void
LoadBook::Add(const core::TargetId& aTarget, const TargetLoad& aLoad)
{
  this->own[aTarget].Add(aLoad);
}

void
LoadBook::Remove(const core::TargetId& aTarget, const TargetLoad& aLoad)
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
LoadBook::AddToReported(const LoadTable& aLoads, double aFactor)
{
  for (const auto& [target, load] : aLoads) {
    TargetLoad& sum = this->reported[target];
    sum.Add(load, aFactor);
    if (sum == TargetLoad{}) {
      this->reported.erase(target);
    }
  }
}

void
LoadBook::Expire(core::MonotonicTime aNow)
{
  this->oldestReport = aNow;
  for (auto peer = this->peers.begin(); peer != this->peers.end();) {
    if (aNow - peer->second.at > kReportLifetime) {
      this->AddToReported(peer->second.loads, -1.0);
      peer = this->peers.erase(peer);
    } else {
      this->oldestReport = std::min(this->oldestReport, peer->second.at);
      ++peer;
    }
  }
}

void
LoadBook::SetPeer(const core::InstanceId& aPeer, LoadTable aLoads, core::MonotonicTime aNow)
{
  PeerReport& report = this->peers[aPeer];
  this->AddToReported(report.loads, -1.0);
  report = PeerReport{ std::move(aLoads), aNow };
  this->AddToReported(report.loads, 1.0);
  this->Expire(aNow);
}

TargetLoad
LoadBook::Total(const core::TargetId& aTarget, core::MonotonicTime aNow) const
{
  TargetLoad total;
  const auto add = [&](const LoadTable& aLoads) {
    if (const auto found = aLoads.find(aTarget); found != aLoads.end()) {
      total.Add(found->second);
    }
  };
  add(this->own);
  if (aNow - this->oldestReport <= kReportLifetime) {
    add(this->reported);
    return total;
  }
  for (const auto& [peer, report] : this->peers) {
    if (aNow - report.at <= kReportLifetime) {
      add(report.loads);
    }
  }
  return total;
}

std::size_t
LoadBook::LivePeers(core::MonotonicTime aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(this->peers.begin(), this->peers.end(), [&](const auto& aEntry) {
      return aNow - aEntry.second.at <= kReportLifetime;
    }));
}

} // namespace plantainslip::serving
