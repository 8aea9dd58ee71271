#include <plantainslip/usage/fleet_clock.hpp>

namespace plantainslip::usage {

namespace {

template<typename Time>
milliseconds
SinceEpoch(Time aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime.time_since_epoch());
}

// Returns the lower one of the two in the middle of an even number.
milliseconds
Median(std::vector<milliseconds> aValues)
{
  const auto middle = aValues.begin() + static_cast<std::ptrdiff_t>((aValues.size() - 1) / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

} // namespace

void
FleetClock::AddReading(const core::InstanceId& aInstance,
                       core::WallTime aTheirs,
                       core::MonotonicTime aNow)
{
  this->own[aInstance] = { SinceEpoch(aTheirs) - SinceEpoch(aNow), aNow };
}

void
FleetClock::AddAgreed(const core::InstanceId& aCollector,
                      FleetTime aTheirs,
                      core::MonotonicTime aNow)
{
  this->agreed[aCollector] = { aTheirs - SinceEpoch(aNow), aNow };
}

std::vector<milliseconds>
FleetClock::Fresh(const Readings& aReadings, core::MonotonicTime aNow)
{
  std::vector<milliseconds> bases;
  for (const auto& [instance, reading] : aReadings) {
    if (aNow - reading.at <= kLifetime) {
      bases.push_back(reading.base);
    }
  }
  return bases;
}

bool
FleetClock::IsConfirmed(core::MonotonicTime aNow) const
{
  return Fresh(this->own, aNow).size() >= kMinReadings || !Fresh(this->agreed, aNow).empty();
}

FleetTime
FleetClock::Now(const core::Clock& aClock) const
{
  const core::MonotonicTime now = aClock.Now();
  const milliseconds ownBase = SinceEpoch(aClock.WallNow()) - SinceEpoch(now);
  std::vector<milliseconds> bases = Fresh(this->own, now);
  if (bases.size() >= kMinReadings) {
    bases.push_back(ownBase);
    return Median(std::move(bases)) + SinceEpoch(now);
  }
  bases = Fresh(this->agreed, now);
  return (bases.empty() ? ownBase : Median(std::move(bases))) + SinceEpoch(now);
}

} // namespace plantainslip::usage
