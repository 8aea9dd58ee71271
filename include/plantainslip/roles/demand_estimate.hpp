#pragma once

#include <array>
#include <optional>

#include <plantainslip/core/clock.hpp>

namespace plantainslip::roles {

/// @brief Work of the two phases of requests, in tokens a second.
struct PhaseDemand
{
  double prefill = 0.0;
  double decode = 0.0;
};

/// @brief A level and the standard deviation that noise alone gives it.
struct Level
{
  double value = 0.0;
  double deviation = 0.0;
};

/// @brief Level of one noisy rate. Averages over short and long times are kept side by side; the
///        longest that agrees with all shorter ones is used (Lepski's method), so that the estimate
///        is steady under noise and quick under a change.
/// @note Constant time and size; no errors.
class RateEstimate
{
public:
  /// @brief Takes one reading.
  /// @param aNow  when it was read; readings come in order of time
  /// @param aRate  tokens a second since the last reading
  void Observe(core::MonotonicTime aNow, double aRate);

  /// @brief Tells whether enough was read to tell a change from noise.
  bool IsSettled() const;

  /// @brief Gives the level that is to be expected in a short while.
  /// @param aLead  how far ahead; seconds
  Level Ahead(double aLead) const;

private:
  // One average, and the average of that average, from which its lag and trend follow.
  struct Scale
  {
    double once = 0.0;
    double twice = 0.0;
  };

  static constexpr std::size_t kScales = 5;

  Level AtScale(std::size_t aScale, double aLead) const;

  std::optional<core::MonotonicTime> lastAt;
  double lastRate = 0.0;
  double step = 1.0;
  double age = 0.0;
  double variance = 0.0;
  std::array<Scale, kScales> scales;
};

/// @brief Estimates of both phases.
struct DemandEstimate
{
  RateEstimate prefill;
  RateEstimate decode;

  /// @brief Takes one reading of both rates.
  void Observe(core::MonotonicTime aNow, const PhaseDemand& aRates)
  {
    this->prefill.Observe(aNow, aRates.prefill);
    this->decode.Observe(aNow, aRates.decode);
  }

  /// @brief Tells whether both phases' levels can be relied on.
  bool IsSettled() const { return this->prefill.IsSettled() && this->decode.IsSettled(); }
};

} // namespace plantainslip::roles
