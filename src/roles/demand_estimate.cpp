#include <plantainslip/roles/demand_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace plantainslip::roles {

namespace {

constexpr std::array<double, 5> kScaleSeconds = { 6.0, 12.0, 24.0, 48.0, 96.0 };
constexpr double kVarianceSeconds = 240.0;
constexpr double kSettledSeconds = 120.0;
// Two averages that differ by more standard deviations than this do not describe the same level.
constexpr double kMaxAgreeingDeviations = 3.5;
// Factor by which the lag correction increases the variance of an average.
constexpr double kLagCorrectionVariance = 2.5;

// Weight of the newest reading in a moving average; the first readings have equal weights.
double
NewestWeight(double aStep, double aAge, double aSeconds)
{
  return std::max(1.0 - std::exp(-aStep / aSeconds), aStep / aAge);
}

} // namespace

void
RateEstimate::Observe(core::MonotonicTime aNow, double aRate)
{
  if (this->lastObservedAt.has_value()) {
    this->step =
      std::max(std::chrono::duration<double>(aNow - *this->lastObservedAt).count(), 1e-3);
    // Half the squared difference of two successive readings estimates the noise variance without
    // slow changes of the level.
    const double difference = aRate - this->lastRate;
    const double weight =
      NewestWeight(this->step, std::max(this->age, this->step), kVarianceSeconds);
    this->variance += weight * (difference * difference / 2.0 - this->variance);
  }
  this->lastObservedAt = aNow;
  this->lastRate = aRate;
  this->age += this->step;
  for (std::size_t index = 0; index < kScales; ++index) {
    Scale& scale = this->scales[index];
    const double weight = NewestWeight(this->step, this->age, kScaleSeconds[index]);
    scale.average += weight * (aRate - scale.average);
    scale.averageOfAverage += weight * (scale.average - scale.averageOfAverage);
  }
}

bool
RateEstimate::IsSettled() const
{
  return this->age >= kSettledSeconds;
}

Level
RateEstimate::ForecastAtScale(std::size_t aScale, double aLeadSeconds) const
{
  const Scale& scale = this->scales[aScale];
  const double seconds = std::min(kScaleSeconds[aScale], std::max(this->age, this->step));
  const double lag = scale.average - scale.averageOfAverage;
  // Limits the extrapolation: a trend over less time than the lead is mostly noise.
  const double lead = std::min(aLeadSeconds / seconds, 0.5);
  // Variance of the moving average relative to that of one reading.
  const double varianceRatio = std::min(1.0, this->step / (2.0 * seconds));
  return { std::max(0.0, scale.average + lag * (1.0 + lead)),
           std::sqrt(this->variance * varianceRatio * kLagCorrectionVariance) };
}

Level
RateEstimate::Forecast(double aLeadSeconds) const
{
  std::array<Level, kScales> levels;
  for (std::size_t index = 0; index < kScales; ++index) {
    levels[index] = this->ForecastAtScale(index, aLeadSeconds);
  }
  std::size_t chosen = 0;
  for (std::size_t longer = 1; longer < kScales; ++longer) {
    for (std::size_t shorter = 0; shorter < longer; ++shorter) {
      const double gap = std::abs(levels[longer].value - levels[shorter].value);
      if (gap > kMaxAgreeingDeviations * levels[shorter].deviation) {
        return levels[chosen];
      }
    }
    chosen = longer;
  }
  return levels[chosen];
}

} // namespace plantainslip::roles
