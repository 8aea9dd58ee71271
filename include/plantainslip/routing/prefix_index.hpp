#pragma once

#include <deque>
#include <map>
#include <shared_mutex>
#include <unordered_map>
#include <vector>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::routing {

/// @brief Estimated contents of each engine's prefix cache.
///
/// Cache events confirm and remove pieces. Because events arrive late, the pieces of a request that
/// was sent to an engine are expected to be cached, and count as cached for 30 s. A gap in the
/// sequence numbers means that events were lost: all confirmed pieces are then only expected, and
/// expire after the same time.
/// @note Safe from any thread; no errors.
class PrefixIndex
{
public:
  /// @brief Applies an engine's cache events, in the order of their sequence numbers. Linear in
  ///        their number; a gap takes time linear in the number of pieces known for the engine.
  /// @return whether there was a gap in the sequence numbers
  bool ApplyEvents(const core::TargetId& aTarget,
                   const std::vector<targets::CacheEvent>& aEvents,
                   core::MonotonicTime aNow);

  /// @brief Marks the pieces of a request that was sent to an engine as expected to be cached.
  ///        Linear in their number.
  void AddExpected(const core::TargetId& aTarget,
                   const std::vector<std::uint64_t>& aPieces,
                   core::MonotonicTime aNow);

  /// @brief Removes an engine that is gone or was restarted.
  void Remove(const core::TargetId& aTarget);

  /// @brief Returns how many leading pieces of a prompt are estimated to be in an engine's cache.
  ///        Linear in the returned number.
  std::uint64_t CountCachedPieces(const core::TargetId& aTarget,
                                  const std::vector<std::uint64_t>& aPieces,
                                  core::MonotonicTime aNow) const;

  /// @brief Returns the sequence number of the last event applied for an engine; zero if there is
  ///        none.
  std::uint64_t NewestSequence(const core::TargetId& aTarget) const;

private:
  struct Expectation
  {
    core::MonotonicTime until;
    std::uint64_t piece = 0;
  };

  struct EngineCache
  {
    std::uint64_t newestSequence = 0;
    // Time until which each piece counts as cached; MonotonicTime::max() if it is confirmed.
    std::unordered_map<std::uint64_t, core::MonotonicTime> cachedUntil;
    std::deque<Expectation> expectations;
  };

  static void DemoteConfirmed(EngineCache& aCache, core::MonotonicTime aNow);
  static void RemoveExpired(EngineCache& aCache, core::MonotonicTime aNow);

  mutable std::shared_mutex mutex;
  std::map<core::TargetId, EngineCache> engines;
};

} // namespace plantainslip::routing
