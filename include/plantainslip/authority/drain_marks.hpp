#pragma once

#include <map>
#include <mutex>
#include <set>
#include <vector>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/routing/in_flight.hpp>

namespace plantainslip::authority {

/// @brief Whether one target is draining, that is, must not get new attempts.
struct DrainMark
{
  core::TargetId target;
  /// @brief Revision of the target's journal entry. A mark is replaced only by one with a higher
  ///        revision.
  core::Revision revision;
  /// @brief True from the start of a drain until its order is settled.
  bool draining = false;
};

/// @brief Reply of an entry instance to one mark.
struct DrainReply
{
  /// @brief The mark now in force at the instance; newer than the one sent if it knew a newer one.
  DrainMark mark;
  /// @brief Number of attempts that the instance has in flight at the target.
  std::uint64_t inFlight = 0;
};

/// @brief The drain marks in force at one entry instance.
/// @note Thread-safe; logarithmic in the number of targets; no errors. Until Initialize() was
///       called, MayStartAttempt() refuses every target.
class DrainMarks
{
public:
  /// @param aInFlight  the instance's attempts in flight; has to outlive the marks
  explicit DrainMarks(const routing::InFlight& aInFlight);

  /// @brief Merges all marks of the zone, read from the journal or from a peer. From now on targets
  ///        that are not draining may be called. May be called again: marks from a peer are
  ///        followed by those of the journal.
  void Initialize(const std::vector<DrainMark>& aMarks);

  /// @brief Returns whether Initialize() was called.
  bool IsInitialized() const;

  /// @brief Merges marks that are newer than those in force, then counts the attempts in flight.
  /// @return the reply for each mark, in the same order
  /// @note If a reply says that the target is draining and has no attempts in flight, no attempt
  ///       starts there until the mark is lifted.
  std::vector<DrainReply> Apply(const std::vector<DrainMark>& aMarks);

  /// @brief Returns whether an attempt may be sent to the target. The attempt has to be added to
  ///        the in-flight count before this call.
  /// @return false if the target is draining or before Initialize() was called; the attempt then
  ///         must not be sent and has to be removed from the in-flight count
  bool MayStartAttempt(const core::TargetId& aTarget) const;

  /// @brief Returns the targets that are draining.
  std::set<core::TargetId> DrainingTargets() const;

  /// @brief Returns all marks, to be sent to a peer that starts while the store is down.
  std::vector<DrainMark> AllMarks() const;

private:
  void MergeIfNewer(const DrainMark& aMark);

  const routing::InFlight& inFlight;
  mutable std::mutex mutex;
  std::map<core::TargetId, DrainMark> marks;
  bool initialized = false;
};

} // namespace plantainslip::authority
