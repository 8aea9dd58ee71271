#include <plantainslip/observe/burn_rate.hpp>

#include <algorithm>

namespace plantainslip::observe {

void
ServiceLevelSeries::Add(const ServiceLevelSample& aSample)
{
  ServiceLevelSample next = aSample;
  if (!this->samples.empty()) {
    const bool restarted =
      aSample.events < this->lastRaw.events || aSample.missed < this->lastRaw.missed;
    const ServiceLevelSample base = restarted ? ServiceLevelSample{} : this->lastRaw;
    next.events = this->samples.back().events + aSample.events - base.events;
    next.missed = this->samples.back().missed + aSample.missed - base.missed;
  }
  this->lastRaw = aSample;
  this->samples.push_back(next);
}

ServiceLevelSeries::Events
ServiceLevelSeries::Within(core::WallTime aUntil, std::chrono::seconds aWindow) const
{
  const auto isLater = [](core::WallTime aMoment, const ServiceLevelSample& aSample) {
    return aMoment < aSample.at;
  };
  const auto end = std::upper_bound(this->samples.begin(), this->samples.end(), aUntil, isLater);
  if (end == this->samples.begin()) {
    return {};
  }
  // The last reading at or before the start of the window; failing that, the first there is.
  auto start = std::upper_bound(this->samples.begin(), end, aUntil - aWindow, isLater);
  const bool whole = start != this->samples.begin();
  if (whole) {
    --start;
  }
  const ServiceLevelSample& last = *(end - 1);
  return { last.events - start->events, last.missed - start->missed, whole };
}

std::optional<double>
BurnRate(const ServiceLevelSeries::Events& aEvents, double aObjective)
{
  if (aEvents.events == 0) {
    return std::nullopt;
  }
  const double missedShare =
    static_cast<double>(aEvents.missed) / static_cast<double>(aEvents.events);
  return missedShare / (1.0 - aObjective);
}

} // namespace plantainslip::observe
