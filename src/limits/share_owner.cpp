#include <plantainslip/limits/share_owner.hpp>

#include <algorithm>

namespace plantainslip::limits {

ShareGrant
ShareOwner::Handle(const DemandReport& aReport, core::MonotonicTime aNow)
{
  ShareGrant grant;
  for (const DemandLine& line : aReport.lines) {
    Leaseholders& leaseholders = this->holders[line.workspace.Number()];
    std::erase_if(leaseholders, [&](const auto& aEntry) { return aEntry.second.until <= aNow; });
    const double share = this->GrantShare(leaseholders, aReport.instance, line, aNow);
    grant.lines.push_back({ line.workspace, static_cast<float>(share) });
  }
  return grant;
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
  for (auto& [workspace, leaseholders] : this->holders) {
    std::erase_if(leaseholders, [&](const auto& aEntry) { return aEntry.second.until <= aNow; });
  }
  std::erase_if(this->holders, [](const auto& aEntry) { return aEntry.second.empty(); });
}

std::size_t
ShareOwner::Leases() const
{
  std::size_t count = 0;
  for (const auto& [workspace, leaseholders] : this->holders) {
    count += leaseholders.size();
  }
  return count;
}

} // namespace plantainslip::limits
