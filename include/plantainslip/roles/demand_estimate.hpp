#pragma once

#include <array>
#include <optional>

#include <plantainslip/core/clock.hpp>

namespace plantainslip::roles {

/// @brief Demand or capacity of the two phases of requests, in tokens per second.
struct PhaseDemand
{
  double prefill = 0.0;
  double decode = 0.0;
};

/// @brief An estimated level and its standard deviation due to noise.
struct Level
{
  double value = 0.0;
  double deviation = 0.0;
};

/// @brief Estimates the level of a noisy rate from moving averages on several time scales. The
///        longest average that agrees with all shorter ones is used (Lepski's method), so that the
///        estimate is stable under noise and reacts quickly to a change.
/// @note Constant time and size; no errors.
class RateEstimate
{
public:
  /// @brief Adds a reading.
  /// @param aNow  time of the reading; must not decrease
  /// @param aRate  tokens per second since the last reading
  void Observe(core::MonotonicTime aNow, double aRate);

  /// @brief Checks whether there are enough readings to distinguish a change from noise.
  bool IsSettled() const;

  /// @brief Forecasts the level in the near future.
  /// @param aLeadSeconds  time ahead, in seconds
  Level Forecast(double aLeadSeconds) const;

private:
  // A moving average and the moving average of it (double exponential smoothing), from which lag
  // and trend are computed.
  struct Scale
  {
    double average = 0.0;
    double averageOfAverage = 0.0;
  };

  static constexpr std::size_t kScales = 5;

  Level ForecastAtScale(std::size_t aScale, double aLeadSeconds) const;

  std::optional<core::MonotonicTime> lastObservedAt;
  double lastRate = 0.0;
  double step = 1.0;
  double age = 0.0;
  double variance = 0.0;
  std::array<Scale, kScales> scales;
};

/// @brief Estimated demand of both phases.
struct DemandEstimate
{
  RateEstimate prefill;
  RateEstimate decode;

  /// @brief Adds a reading of both rates.
  void Observe(core::MonotonicTime aNow, const PhaseDemand& aRates)
  {
    this->prefill.Observe(aNow, aRates.prefill);
    this->decode.Observe(aNow, aRates.decode);
  }

  /// @brief Checks whether both estimates have enough readings.
  bool IsSettled() const { return this->prefill.IsSettled() && this->decode.IsSettled(); }
};

} // namespace plantainslip::roles
