#pragma once

#include <deque>
#include <map>
#include <mutex>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>

namespace plantainslip::routing {

/// @brief Counts this instance's in-flight attempts at each target, with a history of recent
///        changes that is used to correct load reports, which lag behind.
/// @note Safe from any thread; logarithmic in the number of targets; no errors.
class InFlight
{
public:
  /// @brief Counts the start of an attempt.
  void Add(const core::TargetId& aTarget, core::MonotonicTime aNow);
  /// @brief Counts the end of an attempt.
  void Remove(const core::TargetId& aTarget, core::MonotonicTime aNow);
  /// @brief Returns the number of in-flight attempts.
  std::uint64_t Count(const core::TargetId& aTarget) const;
  /// @brief Returns the net change of the count since a given time. Linear in the number of changes
  ///        since then; changes older than 10 s are discarded.
  std::int64_t ChangeSince(const core::TargetId& aTarget, core::MonotonicTime aSince) const;

private:
  struct Change
  {
    core::MonotonicTime at;
    int delta = 0;
  };

  struct Counts
  {
    std::uint64_t current = 0;
    std::deque<Change> changes;
  };

  static void RecordChange(Counts& aCounts, core::MonotonicTime aNow, int aDelta);

  mutable std::mutex mutex;
  std::map<core::TargetId, Counts> counts;
};

} // namespace plantainslip::routing
