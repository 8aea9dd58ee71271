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
LoadBook::SetPeer(const core::InstanceId& aPeer, LoadTable aLoads, core::MonotonicTime aNow)
{
  this->peers[aPeer] = PeerReport{ std::move(aLoads), aNow };
  std::erase_if(this->peers,
                [&](const auto& aEntry) { return aNow - aEntry.second.at > kReportLifetime; });
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
