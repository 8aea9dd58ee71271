#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include <plantainslip/serving/fleet.hpp>

namespace plantainslip::serving {

/// @brief Change of one store entry, as input to the directory.
struct DirectoryChange
{
  core::TargetId id;
  StorePosition position;
  /// @brief Absent if the entry was removed or cannot be parsed; the entry then has no usable
  ///        target.
  std::optional<Target> target;
  /// @brief Whether the entry was removed; false for an entry that cannot be parsed.
  bool removed = false;
};

/// @brief Usable targets of the fleet, built from the store's entries.
///
/// In a store outage the leases of entries expire although their targets are alive, so an entry
/// that is removed shortly after an outage is kept for a grace period. A change with an older
/// position never replaces a newer one. A target is dropped as soon as a process that started later
/// uses its address, even if its entry has not expired yet.
class Directory
{
public:
  /// @brief Time after an outage in which a removal is assumed to be an expired lease.
  static constexpr milliseconds kOutageWindow{ 1'500 };
  /// @brief How long an entry is kept whose removal is assumed to be an expired lease; shorter than
  ///        the time within which a leaving target must get no new work.
  static constexpr milliseconds kLapseGracePeriod{ 1'900 };

  /// @brief Records a failed store call of this instance, or of the peer that sent a change.
  void RecordOutage(core::MonotonicTime aAt)
  {
    this->outageAt = std::max(this->outageAt.value_or(aAt), aAt);
  }

  /// @brief Applies one change. Logarithmic in the number of targets.
  /// @return true if the usable targets have changed
  bool Apply(const DirectoryChange& aChange, core::MonotonicTime aNow);

  /// @brief Applies a full list; entries that are missing from it were removed.
  /// @param aUpTo  position of the list
  /// @return true if the usable targets have changed
  bool ApplyAll(const std::vector<DirectoryChange>& aEntries,
                StorePosition aUpTo,
                core::MonotonicTime aNow);

  /// @brief Removes entries that were kept after an assumed lease expiry, once their grace period
  ///        ends.
  /// @return true if the usable targets have changed
  bool RemoveLapsed(core::MonotonicTime aNow);

  /// @brief Returns the usable targets.
  const std::map<core::TargetId, Target>& Targets() const { return this->targets; }

private:
  bool Remove(const core::TargetId& aId, core::MonotonicTime aNow);
  bool IsSuperseded(const Target& aTarget) const;
  void RemoveSuperseded(const Target& aReplacement);

  std::map<core::TargetId, Target> targets;
  std::map<core::TargetId, StorePosition> positions;
  std::map<core::TargetId, core::MonotonicTime> graceDeadlines;
  std::optional<core::MonotonicTime> outageAt;
};

} // namespace plantainslip::serving
