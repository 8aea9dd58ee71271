#include <plantainslip/serving/load_book.hpp>

#include <algorithm>

namespace plantainslip::serving {

void
LoadBook::Add(const core::TargetId& aTarget, const TargetLoad& aLoad)
{
  TargetLoad& load = this->own[aTarget];
  load.requests += aLoad.requests;
  for (std::size_t level = 0; level < kPriorityLevels; ++level) {
    load.prefillTokens[level] += aLoad.prefillTokens[level];
  }
}

void
LoadBook::Remove(const core::TargetId& aTarget, const TargetLoad& aLoad)
{
  const auto found = this->own.find(aTarget);
  if (found == this->own.end()) {
    return;
  }
  TargetLoad& load = found->second;
  load.requests = std::max(0.0, load.requests - aLoad.requests);
  for (std::size_t level = 0; level < kPriorityLevels; ++level) {
    load.prefillTokens[level] =
      std::max(0.0, load.prefillTokens[level] - aLoad.prefillTokens[level]);
  }
  if (load == TargetLoad{}) {
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
      total.requests += found->second.requests;
      for (std::size_t level = 0; level < kPriorityLevels; ++level) {
        total.prefillTokens[level] += found->second.prefillTokens[level];
      }
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
