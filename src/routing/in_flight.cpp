#include <plantainslip/routing/in_flight.hpp>

namespace plantainslip::routing {

namespace {

constexpr std::chrono::seconds kChangesKept(10);

} // namespace

void
InFlight::Note(Counts& aCounts, core::MonotonicTime aNow, int aStep)
{
  aCounts.changes.push_back({ aNow, aStep });
  while (aCounts.changes.front().at + kChangesKept < aNow) {
    aCounts.changes.pop_front();
  }
}

void
InFlight::Add(const core::TargetId& aTarget, core::MonotonicTime aNow)
{
  const std::scoped_lock lock(this->mutex);
  Counts& counted = this->counts[aTarget];
  ++counted.open;
  Note(counted, aNow, 1);
}

void
InFlight::Remove(const core::TargetId& aTarget, core::MonotonicTime aNow)
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->counts.find(aTarget);
  if (found != this->counts.end() && found->second.open > 0) {
    --found->second.open;
    Note(found->second, aNow, -1);
  }
}

std::uint64_t
InFlight::Count(const core::TargetId& aTarget) const
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->counts.find(aTarget);
  return found == this->counts.end() ? 0 : found->second.open;
}

std::int64_t
InFlight::ChangeSince(const core::TargetId& aTarget, core::MonotonicTime aSince) const
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->counts.find(aTarget);
  std::int64_t change = 0;
  if (found != this->counts.end()) {
    const auto& changes = found->second.changes;
    for (auto step = changes.rbegin(); step != changes.rend() && step->at > aSince; ++step) {
      change += step->step;
    }
  }
  return change;
}

} // namespace plantainslip::routing
