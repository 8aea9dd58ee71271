#pragma once

#include <map>
#include <mutex>
#include <set>
#include <vector>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/routing/in_flight.hpp>

namespace plantainslip::authority {

/// @brief Whether one target gets new work.
struct DrainMark
{
  core::TargetId target;
  /// @brief Revision of the target's journal entry; a mark gives way only to a newer one.
  core::Revision revision;
  /// @brief True from the beginning of a drain until its order is settled.
  bool draining = false;
};

/// @brief What an entry instance answers for one mark.
struct DrainReply
{
  /// @brief The mark that the instance goes by now.
  DrainMark mark;
  /// @brief Attempts that the instance has under way at the target.
  std::uint64_t inFlight = 0;
};

/// @brief The marks that one entry instance goes by.
/// @note Safe from any thread; logarithmic in the number of targets; no errors. Until marks are
///       learned, every target counts as draining.
class DrainMarks
{
public:
  /// @param aInFlight  the instance's own attempts; has to outlive the marks
  explicit DrainMarks(const routing::InFlight& aInFlight);

  /// @brief Takes all marks of a journal, or of a peer that learned them; targets become callable.
  void Learn(const std::vector<DrainMark>& aMarks);

  /// @brief Tells whether marks were learned.
  bool Learned() const;

  /// @brief Takes marks that are newer than those in force, then counts the attempts.
  /// @return the reply for each mark, in the same order
  /// @note After a reply that counts no attempt, none begins until the mark is lifted.
  std::vector<DrainReply> Apply(const std::vector<DrainMark>& aMarks);

  /// @brief Tells whether an attempt that is already counted in may go on to the target.
  /// @return false if the target is draining; the attempt then has to be counted out, unsent
  bool MayBegin(const core::TargetId& aTarget) const;

  /// @brief Gives the targets that are draining.
  std::set<core::TargetId> Draining() const;

  /// @brief Gives all marks, for a peer that starts while the store is down.
  std::vector<DrainMark> All() const;

private:
  void Adopt(const DrainMark& aMark);

  const routing::InFlight& inFlight;
  mutable std::mutex mutex;
  std::map<core::TargetId, DrainMark> marks;
  bool learned = false;
};

} // namespace plantainslip::authority
