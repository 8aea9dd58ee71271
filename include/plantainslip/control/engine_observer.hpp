#pragma once

#include <vector>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::control {

/// @brief Learns what the control thread reads of the zone's engines.
class EngineObserver
{
public:
  virtual ~EngineObserver() = default;

  /// @brief Takes an engine's report.
  virtual void OnReport(const core::TargetId& aTarget, const targets::EngineReport& aReport) = 0;
  /// @brief Takes an engine's cache events, in order.
  virtual void OnCacheEvents(const core::TargetId& aTarget,
                             const std::vector<targets::CacheEvent>& aEvents,
                             core::MonotonicTime aNow) = 0;
  /// @brief Is told that an engine cannot be reached.
  virtual void OnLost(const core::TargetId& aTarget) = 0;
  /// @brief Gives the sequence of the newest cache event that was taken; zero if there is none.
  virtual std::uint64_t NewestCacheEvent(const core::TargetId& aTarget) const = 0;
};

} // namespace plantainslip::control
