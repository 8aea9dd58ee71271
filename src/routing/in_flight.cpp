#include <plantainslip/routing/in_flight.hpp>

namespace plantainslip::routing {

void
InFlight::Add(const core::TargetId& aTarget)
{
  const std::scoped_lock lock(this->mutex);
  ++this->counts[aTarget];
}

void
InFlight::Remove(const core::TargetId& aTarget)
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->counts.find(aTarget);
  if (found != this->counts.end() && --found->second == 0) {
    this->counts.erase(found);
  }
}

std::uint64_t
InFlight::Count(const core::TargetId& aTarget) const
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->counts.find(aTarget);
  return found == this->counts.end() ? 0 : found->second;
}

} // namespace plantainslip::routing
