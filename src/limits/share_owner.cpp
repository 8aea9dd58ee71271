#include <plantainslip/limits/share_owner.hpp>

#include <algorithm>

namespace plantainslip::limits {

namespace {

using Seconds = std::chrono::duration<double>;

} // namespace

double
ShareOwner::Unleased(const Owned& aOwned) const
{
  double share = this->options.Pool();
  for (const auto& [instance, lease] : aOwned.holders) {
    share -= lease.counted;
  }
  return std::max(share, 0.0);
}

// A lease that ended meanwhile counts as held to the end, so nothing is given out twice.
void
ShareOwner::Fill(Owned& aOwned, core::MonotonicTime aNow) const
{
  const Seconds passed = aNow - aOwned.unleased.filledAt;
  const double share = this->Unleased(aOwned);
  aOwned.unleased.Fill(share * passed.count(), share * Seconds(this->options.burst).count(), aNow);
}

void
ShareOwner::Settle(Owned& aOwned, core::MonotonicTime aNow) const
{
  this->Fill(aOwned, aNow);
  std::erase_if(aOwned.holders, [&](const auto& aEntry) { return aEntry.second.until <= aNow; });
}

ShareGrant
ShareOwner::Handle(const DemandReport& aReport, core::MonotonicTime aNow)
{
  ShareGrant grant;
  for (const DemandLine& line : aReport.lines) {
    Owned& workspace = this->owned[line.workspace.Number()];
    this->Settle(workspace, aNow);
    const double share = this->GrantShare(workspace.holders, aReport.instance, line, aNow);
    // What was saved up is cut to the part that is left.
    this->Fill(workspace, aNow);
    grant.lines.push_back({ line.workspace, static_cast<float>(share) });
  }
  return grant;
}

LimitDecision
ShareOwner::Ask(const LimitAsk& aAsk, core::MonotonicTime aNow)
{
  const auto [found, isNew] = this->owned.try_emplace(aAsk.workspace.Number());
  Owned& workspace = found->second;
  if (isNew) {
    workspace.unleased.filledAt = aNow;
  }
  this->Settle(workspace, aNow);
  workspace.unleased.limit = aAsk.limit;
  workspace.askedAt = aNow;
  return workspace.unleased.Take(aAsk.tokens, this->Unleased(workspace));
}

double
ShareOwner::GrantShare(Leaseholders& aHolders,
                       const core::InstanceId& aInstance,
                       const DemandLine& aLine,
                       core::MonotonicTime aNow) const
{
  double demands = aLine.demand;
  double taken = 0.0;
  for (const auto& [instance, lease] : aHolders) {
    if (instance != aInstance) {
      demands += lease.demand;
      taken += lease.counted;
    }
  }
  const double pool = this->options.Pool();
  const double fair = demands > 0.0 ? pool * aLine.demand / demands : 0.0;
  const double share = std::clamp(fair, 0.0, std::max(pool - taken, 0.0));
  // The answer may be lost; then the instance goes on with what it reported.
  const double counted = std::max(share, std::min(static_cast<double>(aLine.inUse), pool));
  aHolders[aInstance] = { aLine.demand, counted, aNow + this->options.leaseTime };
  return share;
}

void
ShareOwner::Prune(core::MonotonicTime aNow)
{
  for (auto& [hash, workspace] : this->owned) {
    this->Settle(workspace, aNow);
  }
  std::erase_if(this->owned, [&](const auto& aEntry) {
    const Owned& workspace = aEntry.second;
    return workspace.holders.empty() && aNow - workspace.askedAt >= this->options.idleTime;
  });
}

std::size_t
ShareOwner::Leases() const
{
  std::size_t count = 0;
  for (const auto& [hash, workspace] : this->owned) {
    count += workspace.holders.size();
  }
  return count;
}

} // namespace plantainslip::limits
