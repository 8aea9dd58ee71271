#pragma once

#include <deque>
#include <map>
#include <mutex>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>

namespace plantainslip::routing {

/// @brief Counts the attempts that this instance has under way at each target, and how the count
///        changed of late, by which lagging load reports are corrected.
/// @note Safe from any thread; logarithmic in the number of targets; no errors.
class InFlight
{
public:
  /// @brief Counts an attempt in.
  void Add(const core::TargetId& aTarget, core::MonotonicTime aNow);
  /// @brief Counts an attempt out.
  void Remove(const core::TargetId& aTarget, core::MonotonicTime aNow);
  /// @brief Gives how many attempts are under way.
  std::uint64_t Count(const core::TargetId& aTarget) const;
  /// @brief Gives by how much the count has grown or shrunk since a moment. Linear in the number
  ///        of changes since; changes older than 10 s are forgotten.
  std::int64_t ChangeSince(const core::TargetId& aTarget, core::MonotonicTime aSince) const;

private:
  struct Change
  {
    core::MonotonicTime at;
    int step = 0;
  };

  struct Counts
  {
    std::uint64_t open = 0;
    std::deque<Change> changes;
  };

  static void Note(Counts& aCounts, core::MonotonicTime aNow, int aStep);

  mutable std::mutex mutex;
  std::map<core::TargetId, Counts> counts;
};

} // namespace plantainslip::routing
