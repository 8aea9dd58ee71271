#pragma once

#include <vector>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::control {

/// @brief Receives what the control thread knows of the engines; called on that thread only.
class EngineObserver
{
public:
  virtual ~EngineObserver() = default;

  /// @brief Called with an engine's latest report, whether this instance or a peer has polled it.
  virtual void OnReport(const core::TargetId& aTarget, const targets::EngineReport& aReport) = 0;
  /// @brief Called with an engine's new cache events, in order.
  virtual void OnCacheEvents(const core::TargetId& aTarget,
                             const std::vector<targets::CacheEvent>& aEvents,
                             core::MonotonicTime aNow) = 0;
  /// @brief Called when there is no report of an engine: it is unreachable, not polled by this
  ///        instance yet, or in another zone. Called again with every publication.
  virtual void OnNoReport(const core::TargetId& aTarget) = 0;
  /// @brief Returns the sequence number of the newest cache event received; zero if there is none.
  virtual std::uint64_t NewestCacheEvent(const core::TargetId& aTarget) const = 0;
};

} // namespace plantainslip::control
