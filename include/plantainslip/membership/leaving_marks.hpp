#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/platform/instance_list.hpp>

namespace plantainslip::membership {

/// @brief A leaving target gets no new work from any reachable instance of its zone this long after
///        the first instance learned that it leaves.
inline constexpr std::chrono::seconds kNoNewWorkAfter{ 5 };

/// @brief Time that the platform's list has to show an instance as staying, without a break, before
///        its mark is lifted. Longer than the list lags.
inline constexpr std::chrono::seconds kLiftMarkAfter{ 60 };

/// @brief Whether one instance or target is about to go. The higher version is the newer word.
struct LeavingMark
{
  std::string name;
  std::uint64_t version = 0;
  bool leaving = true;

  bool operator==(const LeavingMark&) const = default;
};

/// @brief The newest mark of each name. No I/O, one thread, no errors.
class LeavingMarks
{
public:
  /// @brief Takes a mark from a peer. An older version changes nothing; of two marks of the same
  ///        version, leaving wins. Logarithmic in the number of marks.
  /// @return whether it was news
  bool Adopt(const LeavingMark& aMark);

  /// @brief Takes a reading of the platform's list. A reading that lags cannot undo a mark: it is
  ///        lifted only after the list has contradicted it for #kLiftMarkAfter.
  /// @return the marks that this reading made or lifted; linear in the list's length
  std::vector<LeavingMark> Observe(const std::vector<platform::ListedInstance>& aList,
                                   core::MonotonicTime aNow);

  /// @brief Tells whether a name must get no new work. Logarithmic in the number of marks.
  bool IsLeaving(const std::string& aName) const;

  /// @brief Gives all marks in the order of their names. Linear.
  std::vector<LeavingMark> All() const;

private:
  struct Kept
  {
    LeavingMark mark;
    /// @brief Last moment at which nothing contradicted the mark.
    core::MonotonicTime confirmedAt;
    bool confirmed = false;
  };

  std::map<std::string, Kept> marks;
};

} // namespace plantainslip::membership
