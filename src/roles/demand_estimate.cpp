#include <plantainslip/roles/demand_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace plantainslip::roles {

namespace {

constexpr std::array<double, 5> kScaleSeconds = { 6.0, 12.0, 24.0, 48.0, 96.0 };
constexpr double kVarianceSeconds = 240.0;
constexpr double kSettledSeconds = 120.0;
// Two averages that differ by more standard deviations than this do not tell of the same level.
constexpr double kAgreeDeviations = 3.5;
// How much taking out the lag raises the variance of an average.
constexpr double kLagCorrectionVariance = 2.5;

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
    // Half the square of two readings' difference: noise without the slow movement of the level.
    const double difference = aRate - this->lastRate;
    const double share = ShareOf(this->step, std::max(this->age, this->step), kVarianceSeconds);
    this->variance += share * (difference * difference / 2.0 - this->variance);
  }
  this->lastAt = aNow;
  this->lastRate = aRate;
  this->age += this->step;
  for (std::size_t index = 0; index < kScales; ++index) {
    Scale& scale = this->scales[index];
    const double share = ShareOf(this->step, this->age, kScaleSeconds[index]);
    scale.once += share * (aRate - scale.once);
    scale.twice += share * (scale.once - scale.twice);
  }
}

bool
RateEstimate::IsSettled() const
{
  return this->age >= kSettledSeconds;
}

Level
RateEstimate::AtScale(std::size_t aScale, double aLead) const
{
  const Scale& scale = this->scales[aScale];
  const double seconds = std::min(kScaleSeconds[aScale], std::max(this->age, this->step));
  const double lag = scale.once - scale.twice;
  // Trends shorter than the lead are noise rather than a course.
  const double lead = std::min(aLead / seconds, 0.5);
  const double ofOne = std::min(1.0, this->step / (2.0 * seconds));
  return { std::max(0.0, scale.once + lag * (1.0 + lead)),
           std::sqrt(this->variance * ofOne * kLagCorrectionVariance) };
}

Level
RateEstimate::Ahead(double aLead) const
{
  std::array<Level, kScales> levels;
  for (std::size_t index = 0; index < kScales; ++index) {
    levels[index] = this->AtScale(index, aLead);
  }
  std::size_t chosen = 0;
  for (std::size_t longer = 1; longer < kScales; ++longer) {
    for (std::size_t shorter = 0; shorter < longer; ++shorter) {
      const double apart = std::abs(levels[longer].value - levels[shorter].value);
      if (apart > kAgreeDeviations * levels[shorter].deviation) {
        return levels[chosen];
      }
    }
    chosen = longer;
  }
  return levels[chosen];
}

} // namespace plantainslip::roles
