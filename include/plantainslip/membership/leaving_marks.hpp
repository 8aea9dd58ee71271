#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/platform/instance_list.hpp>

namespace plantainslip::membership {

/// @brief Max time from the moment the first instance of a zone knows that a target is leaving
///        until no reachable instance of that zone gives the target new work.
inline constexpr std::chrono::seconds kMaxMarkPropagation{ 5 };

/// @brief Time for which the platform's list must show an instance as not leaving, without
///        interruption, before its mark is cleared. Longer than the list's lag.
inline constexpr std::chrono::seconds kMarkClearDelay{ 60 };

/// @brief Gossiped flag that one instance or target is leaving and must get no new work. The mark
///        with the higher version is the newer one.
struct LeavingMark
{
  std::string name;
  std::uint64_t version = 0;
  bool leaving = true;

  bool operator==(const LeavingMark&) const = default;
};

/// @brief Newest leaving mark of each name. No I/O; not thread-safe; no errors.
class LeavingMarks
{
public:
  /// @brief Merges a mark from a peer. An older version is ignored; of two marks with the same
  ///        version, the one that is leaving wins. Logarithmic in the number of marks.
  /// @return whether the known mark has changed
  bool Merge(const LeavingMark& aMark);

  /// @brief Updates the marks from the platform's list. The list may lag, so a mark is cleared only
  ///        after the list has contradicted it for #kMarkClearDelay.
  /// @return the marks that were set or cleared
  /// @note O(n log m) in the list's length n and the number of marks m.
  std::vector<LeavingMark> ApplyList(const std::vector<platform::ListedInstance>& aList,
                                     core::MonotonicTime aNow);

  /// @brief Returns whether an instance or target is leaving. Logarithmic in the number of marks.
  bool IsLeaving(const std::string& aName) const;

  /// @brief Returns all marks, ordered by name. Linear.
  std::vector<LeavingMark> All() const;

private:
  struct Entry
  {
    LeavingMark mark;
    /// @brief Time of the last list that agreed with the mark, or of the first list after the mark
    ///        was set. Valid if hasConfirmation is true.
    core::MonotonicTime confirmedAt;
    bool hasConfirmation = false;
  };

  std::map<std::string, Entry> marks;
};

} // namespace plantainslip::membership
