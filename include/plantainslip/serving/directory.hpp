#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include <plantainslip/serving/fleet.hpp>

namespace plantainslip::serving {

/// @brief One entry of the store as the directory takes it in.
struct DirectoryChange
{
  core::TargetId id;
  core::Revision revision;
  /// @brief Absent if the entry was removed or cannot be read: it names no target to use.
  std::optional<Target> target;
  /// @brief Whether the entry was removed; an unreadable one is not.
  bool removed = false;
};

/// @brief Targets of the fleet, from the store's entries.
///
/// Answers outages of the store in which entries lapse though their targets live: an entry that
/// vanishes just after an outage is kept for a while. Old news never overtakes newer. A target
/// whose address a process that started later has taken is gone, though its entry has not lapsed
/// yet.
class Directory
{
public:
  /// @brief Time after an outage in which a removal may be a lapse.
  static constexpr milliseconds kOutageMemory{ 1'500 };
  /// @brief How long a lapsed entry is kept; below the time in which a leaving target must get no
  ///        new work.
  static constexpr milliseconds kLapseGrace{ 1'900 };

  /// @brief Notes that the store failed a call, of this instance or of the one that told of a
  /// change.
  void NoteOutage(core::MonotonicTime aAt)
  {
    this->outageAt = std::max(this->outageAt.value_or(aAt), aAt);
  }

  /// @brief Takes in one change. Logarithmic in the number of targets.
  /// @return true if the usable targets have changed
  bool Apply(const DirectoryChange& aChange, core::MonotonicTime aNow);

  /// @brief Takes in the whole list; entries that it lacks were removed.
  /// @param aUpTo  revision that the list reaches up to
  bool ApplyAll(const std::vector<DirectoryChange>& aEntries,
                core::Revision aUpTo,
                core::MonotonicTime aNow);

  /// @brief Drops lapsed entries whose grace has ended.
  /// @return true if the usable targets have changed
  bool Expire(core::MonotonicTime aNow);

  /// @brief Gives the usable targets.
  const std::map<core::TargetId, Target>& Targets() const { return this->targets; }

private:
  bool Remove(const core::TargetId& aId, core::MonotonicTime aNow);
  bool Superseded(const Target& aTarget) const;
  void DropSuperseded(const Target& aBy);

  std::map<core::TargetId, Target> targets;
  std::map<core::TargetId, core::Revision> revisions;
  std::map<core::TargetId, core::MonotonicTime> lapsing;
  std::optional<core::MonotonicTime> outageAt;
};

} // namespace plantainslip::serving
