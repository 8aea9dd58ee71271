#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include <plantainslip/core/clock.hpp>

namespace plantainslip::observe {

/// @brief Reading of one service level's counters at one moment.
struct ServiceLevelSample
{
  core::WallTime at;
  /// @brief Events so far, and those of them that missed the service level.
  std::uint64_t events = 0;
  std::uint64_t missed = 0;
};

/// @brief Readings of one service level at one instance, oldest first. Counters that fall have
///        begun anew with a restarted process, and count from zero.
/// @note One thread; no errors.
class ServiceLevelSeries
{
public:
  /// @brief Adds a reading that is not older than the last one. Constant time.
  void Add(const ServiceLevelSample& aSample);

  /// @brief What happened in a stretch of time.
  struct Events
  {
    std::uint64_t events = 0;
    std::uint64_t missed = 0;
    /// @brief Whether the readings reach back over the whole stretch.
    bool whole = false;
  };

  /// @brief Adds up what happened in a stretch of time. Linear in the number of readings.
  /// @param aUntil  end of the stretch
  /// @param aWindow  length of the stretch
  Events Within(core::WallTime aUntil, std::chrono::seconds aWindow) const;

  /// @brief Gives the readings, with counters that never fall.
  const std::vector<ServiceLevelSample>& Samples() const { return this->samples; }

private:
  std::vector<ServiceLevelSample> samples;
  ServiceLevelSample lastRaw;
};

/// @brief Computes how fast an error budget is used up: 1 uses it up exactly over its period.
/// @param aEvents  events of a window, and those that missed the service level
/// @param aObjective  share of events that has to meet the level, of (0, 1)
/// @return the burn rate; nothing if there were no events. Constant time.
std::optional<double>
BurnRate(const ServiceLevelSeries::Events& aEvents, double aObjective);

} // namespace plantainslip::observe
