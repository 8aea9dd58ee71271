#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include <plantainslip/serving/target_notices.hpp>

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
/// that was removed in an outage is kept for a grace period after the store's return. The store was
/// away only if it answered no instance of the fleet, and this instance asked it in vain: peers
/// that have ended say nothing of the store. A removal that it made before or after, or that
/// reaches this instance late, is in force at once. A change with an older position never replaces
/// a newer one. A target is dropped as soon as a process that started later uses its address, even
/// if its entry has not expired yet.
///
/// After the store came back from a copy, the entries in it may be older than those known. A
/// process that was leaving stays so, and one whose entry was removed is used again only once its
/// entry has outlived the time in which that of a process that has ended expires.
class Directory
{
public:
  /// @brief Heartbeat intervals without contact to the store after which leases may have expired:
  ///        an entry is kept for three, and was renewed at most one before the contact was lost.
  static constexpr int kOutageHeartbeats = 2;
  /// @brief Time from the store's return until targets whose leases expired in the outage have
  ///        registered again; an entry that is still missing then is gone.
  static constexpr milliseconds kLapseGracePeriod{ 1'900 };
  /// @brief Heartbeat intervals after which the entry of a process that has ended is gone: the
  /// store
  ///        keeps it for three, and the removal takes time to arrive.
  static constexpr int kEntryLifetimeHeartbeats = 4;
  /// @brief Maximum number of processes that are remembered as leaving or gone.
  static constexpr std::size_t kMaxDepartures = 4'096;

  /// @param aHeartbeat  interval at which targets renew their entries
  explicit Directory(milliseconds aHeartbeat)
    : entryLifetime(aHeartbeat * kEntryLifetimeHeartbeats)
    , minOutage(aHeartbeat * kOutageHeartbeats)
  {
  }

  /// @brief Records that the store has answered this instance or a peer.
  ///
  /// An outage ends with the first contact after a long time without any. Contacts may be recorded
  /// late: one within an assumed outage can show that there was none.
  void RecordContact(core::MonotonicTime aAt);

  /// @brief Records that the store did not answer a call of this instance.
  ///
  /// A time without contact in which every call was answered is no outage. May be recorded after
  /// the contact that ended it.
  /// @param aDueAt  when the answer was due
  void RecordUnansweredCall(core::MonotonicTime aDueAt);

  /// @brief Records a contact that brought changes, before they are applied.
  /// @param aUpTo  position up to which they are complete
  void RecordContact(core::MonotonicTime aAt, StorePosition aUpTo);

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
  ///        ends, and uses those that turned out not to be leftovers of a copy.
  /// @return true if the usable targets have changed
  bool ApplyDeadlines(core::MonotonicTime aNow);

  /// @brief Returns the usable targets.
  const std::map<core::TargetId, Target>& Targets() const { return this->targets; }

private:
  /// @brief How a process was last known to go.
  struct Departure
  {
    /// @brief Whether its entry said that it was leaving, which no process takes back.
    bool announced = false;
    StorePosition position;
  };
  /// @brief Removal that is assumed to be an expired lease.
  struct Lapse
  {
    StorePosition position;
    core::MonotonicTime keptUntil;
  };
  /// @brief Entry of a process that was gone before the store came back from a copy.
  struct Leftover
  {
    Target target;
    core::MonotonicTime usableFrom;
  };

  /// @brief Time in which the store answered no instance; an outage if it left a call of this one
  ///        unanswered meanwhile.
  struct Silence
  {
    core::MonotonicTime lastContactAt;
    core::MonotonicTime returnedAt;
    /// @brief Position of the first changes after the return; later ones were made after it.
    std::optional<StorePosition> returnedUpTo;
    /// @brief Latest known time at which an answer was due that this instance did not get.
    std::optional<core::MonotonicTime> unansweredAt;
  };

  bool WasOutage() const;
  std::optional<core::MonotonicTime> LapseEnd(StorePosition aRemoval,
                                              core::MonotonicTime aNow) const;
  std::optional<core::MonotonicTime> LapseEndInList(StorePosition aList,
                                                    core::MonotonicTime aNow) const;
  bool Remove(const core::TargetId& aId,
              StorePosition aPosition,
              std::optional<core::MonotonicTime> aLapseEnd);
  bool Use(Target aTarget);
  void RecordDeparture(const Target& aTarget, StorePosition aPosition);
  bool IsLeftover(const Target& aTarget, StorePosition aPosition) const;
  bool IsSuperseded(const Target& aTarget) const;
  void RemoveSuperseded(const Target& aReplacement);

  milliseconds entryLifetime;
  milliseconds minOutage;
  std::map<core::TargetId, Target> targets;
  std::map<core::TargetId, StorePosition> positions;
  std::map<core::TargetId, Lapse> lapses;
  std::map<TargetProcess, Departure> departures;
  std::map<core::TargetId, Leftover> leftovers;
  /// @brief Position of the first full list of the present era; changes up to it may come from the
  ///        copy.
  StorePosition eraListedUpTo;
  std::optional<core::MonotonicTime> lastContactAt;
  std::optional<core::MonotonicTime> lastUnansweredAt;
  std::optional<Silence> silence;
  /// @brief When the first full list of the present era was applied, if there was an era before.
  std::optional<core::MonotonicTime> copyListedAt;
};

} // namespace plantainslip::serving
