#pragma once

#include <plantainslip/control/engine_observer.hpp>
#include <plantainslip/routing/capacity_estimator.hpp>
#include <plantainslip/routing/prefix_index.hpp>

namespace plantainslip::routing {

/// @brief Routing's estimates of the engines' capacities and prefix cache contents, updated from
///        their reports and cache events.
/// @note Safe from any thread; no errors.
class EngineKnowledge final : public control::EngineObserver
{
public:
  void OnReport(const core::TargetId& aTarget, const targets::EngineReport& aReport) override
  {
    this->capacity.UpdateFromReport(aTarget, aReport);
  }

  void OnCacheEvents(const core::TargetId& aTarget,
                     const std::vector<targets::CacheEvent>& aEvents,
                     core::MonotonicTime aNow) override
  {
    this->prefixes.ApplyEvents(aTarget, aEvents, aNow);
  }

  void OnNoReport(const core::TargetId& aTarget) override { this->prefixes.Remove(aTarget); }

  std::uint64_t NewestCacheEvent(const core::TargetId& aTarget) const override
  {
    return this->prefixes.NewestSequence(aTarget);
  }

  PrefixIndex prefixes;
  CapacityEstimator capacity;
};

} // namespace plantainslip::routing
