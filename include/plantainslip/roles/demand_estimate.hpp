#pragma once

#include <optional>

#include <plantainslip/core/clock.hpp>

namespace plantainslip::roles {

/// @brief Work of the two phases of requests, in tokens a second.
struct PhaseDemand
{
  double prefill = 0.0;
  double decode = 0.0;
};

/// @brief Level of one noisy rate: a slow average that jumps to the fast one when the difference is
///        more than noise.
/// @note Constant time and size; no errors.
class RateEstimate
{
public:
  /// @brief Takes one reading.
  /// @param aNow  when it was read; readings come in order of time
  /// @param aRate  tokens a second since the last reading
  void Observe(core::MonotonicTime aNow, double aRate);

  /// @brief Gives the present level; zero before the first reading.
  double Level() const { return this->slow; }

  /// @brief Gives the standard deviation that noise alone gives the level.
  double Deviation() const;

private:
  double FastDeviation() const;

  std::optional<core::MonotonicTime> lastAt;
  double step = 1.0;
  double age = 0.0;
  double fast = 0.0;
  double slow = 0.0;
  double variance = 0.0;
};

/// @brief Levels of both phases.
class DemandEstimate
{
public:
  /// @brief Takes one reading of both rates.
  void Observe(core::MonotonicTime aNow, const PhaseDemand& aRates);

  /// @brief Gives the present levels.
  PhaseDemand Level() const;

  /// @brief Gives the standard deviations that noise alone gives the levels.
  PhaseDemand Deviation() const;

private:
  RateEstimate prefill;
  RateEstimate decode;
};

} // namespace plantainslip::roles
