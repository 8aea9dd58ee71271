#pragma once

#include <map>
#include <vector>

#include <plantainslip/usage/window.hpp>

namespace plantainslip::usage {

/// @brief Time of day that does not follow a jump of a single machine's clock: the median of what
///        the instances' clocks show, carried on by the monotonic clock in between. Pure.
class FleetClock
{
public:
  /// @brief Time after which a reading does not count any more: several intervals of the messages.
  static constexpr milliseconds kLifetime{ 10'000 };
  /// @brief Least number of other instances' readings that outvote one wrong clock.
  static constexpr std::size_t kMinReadings = 2;

  /// @brief Records what an instance's own clock shows.
  /// @param aNow  monotonic time at which the message with the reading arrived
  void AddReading(const core::InstanceId& aInstance,
                  core::WallTime aTheirs,
                  core::MonotonicTime aNow);

  /// @brief Records the time that a collector of many readings has agreed on; counts while this
  ///        instance has too few readings itself.
  void AddAgreed(const core::InstanceId& aCollector, FleetTime aTheirs, core::MonotonicTime aNow);

  /// @brief Returns whether the time follows from other instances' clocks too.
  bool IsConfirmed(core::MonotonicTime aNow) const;

  /// @brief Returns the time now. Linear in the number of readings.
  FleetTime Now(const core::Clock& aClock) const;

private:
  /// @brief Time of day at the monotonic clock's zero, and when it was learnt.
  struct Reading
  {
    milliseconds base{ 0 };
    core::MonotonicTime at;
  };
  using Readings = std::map<core::InstanceId, Reading>;
  static std::vector<milliseconds> Fresh(const Readings& aReadings, core::MonotonicTime aNow);

  Readings own;
  Readings agreed;
};

} // namespace plantainslip::usage
