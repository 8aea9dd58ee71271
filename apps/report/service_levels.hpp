#pragma once

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <plantainslip/observe/burn_rate.hpp>

#include "sample.hpp"

namespace plantainslip::report {

/// @brief Windows over which burn rates are computed.
inline constexpr std::array<std::chrono::seconds, 4> kWindows = { std::chrono::minutes(5),
                                                                  std::chrono::hours(1),
                                                                  std::chrono::hours(6),
                                                                  std::chrono::hours(72) };
/// @brief Names of the windows.
inline constexpr std::array<const char*, 4> kWindowNames = { "5 min", "1 h", "6 h", "3 d" };

/// @brief Shares of events that have to meet their level.
struct Objectives
{
  /// @brief Requests that get their whole answer.
  double answers = 0.999;
  /// @brief First tokens within 1.1 s.
  double firstTokens = 0.95;
  /// @brief Later tokens within 31 ms of the token before.
  double tokenGaps = 0.95;
};

/// @brief Burn rate over one window.
struct WindowBurn
{
  /// @brief Nothing if there were no events.
  std::optional<double> rate;
  /// @brief Whether the readings reach back over the whole window.
  bool whole = false;
};

/// @brief Point of a plot: burn rate over the shortest window that ends at a moment.
struct BurnPoint
{
  core::WallTime at;
  double rate = 0.0;
};

/// @brief Service-level burn of one level of one deployment in one zone.
struct LevelBurn
{
  std::string deployment;
  std::string zone;
  /// @brief `answers`, `first token` or `token gap`.
  std::string level;
  double objective = 0.0;
  std::uint64_t events = 0;
  std::array<WindowBurn, kWindows.size()> windows;
  std::vector<BurnPoint> points;
  /// @brief Whether both short windows burn fast enough to use up 2% of 30 days' budget in an hour.
  bool alert = false;
};

/// @brief Computes the burn of every level, deployment and zone.
/// @param aSamples  readings of all instances, oldest first
/// @param aObjectives  what is to be met
/// @return ordered by deployment, zone and level
std::vector<LevelBurn>
ComputeBurn(const std::vector<InstanceSample>& aSamples, const Objectives& aObjectives);

} // namespace plantainslip::report
