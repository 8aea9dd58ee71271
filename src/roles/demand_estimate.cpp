#include <plantainslip/roles/demand_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace plantainslip::roles {

namespace {

constexpr double kFastSeconds = 8.0;
constexpr double kSlowSeconds = 60.0;
constexpr double kVarianceSeconds = 240.0;
// Beyond so many standard deviations a difference is a change of demand.
constexpr double kJumpDeviations = 4.0;

// Share of a new reading in an average; the first readings weigh alike.
double
ShareOf(double aStep, double aAge, double aSeconds)
{
  return std::max(1.0 - std::exp(-aStep / aSeconds), aStep / aAge);
}

} // namespace

void
RateEstimate::Observe(core::MonotonicTime aNow, double aRate)
{
  if (this->lastAt.has_value()) {
    this->step = std::max(std::chrono::duration<double>(aNow - *this->lastAt).count(), 1e-3);
  }
  this->lastAt = aNow;
  this->age += this->step;
  const double distance = aRate - this->slow;
  this->fast += ShareOf(this->step, this->age, kFastSeconds) * (aRate - this->fast);
  this->slow += ShareOf(this->step, this->age, kSlowSeconds) * distance;
  const double share = ShareOf(this->step, this->age, kVarianceSeconds);
  if (this->age > this->step) {
    this->variance += share * (distance * distance - this->variance);
  }
  const bool settled = this->age > kFastSeconds;
  if (settled && std::abs(this->fast - this->slow) > kJumpDeviations * this->FastDeviation()) {
    this->slow = this->fast;
  }
}

double
RateEstimate::FastDeviation() const
{
  return std::sqrt(this->variance * std::min(1.0, this->step / (2.0 * kFastSeconds)));
}

double
RateEstimate::Deviation() const
{
  const double seconds = std::min(2.0 * kSlowSeconds, std::max(this->age, this->step));
  return std::sqrt(this->variance * this->step / seconds);
}

void
DemandEstimate::Observe(core::MonotonicTime aNow, const PhaseDemand& aRates)
{
  this->prefill.Observe(aNow, aRates.prefill);
  this->decode.Observe(aNow, aRates.decode);
}

PhaseDemand
DemandEstimate::Level() const
{
  return { this->prefill.Level(), this->decode.Level() };
}

PhaseDemand
DemandEstimate::Deviation() const
{
  return { this->prefill.Deviation(), this->decode.Deviation() };
}

} // namespace plantainslip::roles
