#include <plantainslip/routing/in_flight.hpp>

namespace plantainslip::routing {

namespace {

constexpr std::chrono::seconds kChangeHistory(10);

} // namespace

void
InFlight::RecordChange(Counts& aCounts, core::MonotonicTime aNow, int aDelta)
{
  aCounts.changes.push_back({ aNow, aDelta });
  while (aCounts.changes.front().at + kChangeHistory < aNow) {
    aCounts.changes.pop_front();
  }
}

void
InFlight::Add(const core::TargetId& aTarget, core::MonotonicTime aNow)
{
  const std::scoped_lock lock(this->mutex);
  Counts& target = this->counts[aTarget];
  ++target.current;
  RecordChange(target, aNow, 1);
}

void
InFlight::Remove(const core::TargetId& aTarget, core::MonotonicTime aNow)
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->counts.find(aTarget);
  if (found != this->counts.end() && found->second.current > 0) {
    --found->second.current;
    RecordChange(found->second, aNow, -1);
  }
}

std::uint64_t
InFlight::Count(const core::TargetId& aTarget) const
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->counts.find(aTarget);
  return found == this->counts.end() ? 0 : found->second.current;
}

std::int64_t
InFlight::ChangeSince(const core::TargetId& aTarget, core::MonotonicTime aSince) const
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->counts.find(aTarget);
  std::int64_t change = 0;
  if (found != this->counts.end()) {
    const auto& changes = found->second.changes;
    for (auto entry = changes.rbegin(); entry != changes.rend() && entry->at > aSince; ++entry) {
      change += entry->delta;
    }
  }
  return change;
}

} // namespace plantainslip::routing
