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

/// @brief What this instance believes that each engine holds in its prefix cache.
///
/// Cache events confirm and remove pieces. Since they come late, the pieces of a request that was
/// just sent to an engine count as held for a while. Events may have been lost: after a gap in
/// their sequence, nothing is confirmed any more, and what was counts as held for the same while.
/// @note Safe from any thread; no errors.
class PrefixIndex
{
public:
  /// @brief Takes an engine's events in the order of their sequence. Linear in their number; a gap
  ///        costs time linear in the pieces known of the engine.
  /// @return whether the events show a gap
  bool Adopt(const core::TargetId& aTarget,
             const std::vector<targets::CacheEvent>& aEvents,
             core::MonotonicTime aNow);

  /// @brief Notes that a request with these pieces was sent to an engine. Linear in their number.
  void Expect(const core::TargetId& aTarget,
              const std::vector<std::uint64_t>& aPieces,
              core::MonotonicTime aNow);

  /// @brief Forgets an engine, since it is gone or was restarted.
  void Forget(const core::TargetId& aTarget);

  /// @brief Counts the leading pieces of a prompt that an engine is believed to hold. Linear in
  ///        the number counted.
  std::uint64_t CountHeld(const core::TargetId& aTarget,
                          const std::vector<std::uint64_t>& aPieces,
                          core::MonotonicTime aNow) const;

  /// @brief Gives the sequence of the newest event that was taken from an engine.
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
    // Moment until which each piece counts as held; the greatest moment if it was confirmed.
    std::unordered_map<std::uint64_t, core::MonotonicTime> heldUntil;
    std::deque<Expectation> expectations;
  };

  static void DoubtConfirmed(EngineCache& aCache, core::MonotonicTime aNow);
  static void DropExpired(EngineCache& aCache, core::MonotonicTime aNow);

  mutable std::shared_mutex mutex;
  std::map<core::TargetId, EngineCache> engines;
};

} // namespace plantainslip::routing
