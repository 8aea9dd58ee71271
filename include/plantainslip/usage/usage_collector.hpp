#pragma once

#include <memory>
#include <optional>
#include <vector>

#include <plantainslip/usage/usage_message.hpp>

namespace plantainslip::usage {

/// @brief A window whose report can be made.
struct ClosedWindow
{
  Window window;
  /// @brief Sum over all processes.
  std::shared_ptr<const Counts> counts;
  /// @brief Live instances whose counts had not arrived in time.
  std::size_t missingInstances = 0;
};

/// @brief What can be said about a window's report.
enum class WindowState
{
  /// @brief Counts are still missing, and there is time to wait for them.
  kOpen,
  kReady,
  /// @brief Too late for a report.
  kExpired,
};

/// @brief Decides whether a window can be reported: when all live instances have stated their
///        counts, at the latest after a share of the due time.
WindowState
JudgeWindow(const WindowRules& aRules,
            Window aWindow,
            FleetTime aNow,
            std::size_t aMissingInstances);

/// @brief Keeps the counts of all processes and closes windows. Pure; used on the traffic thread.
class UsageCollector
{
public:
  explicit UsageCollector(const WindowRules& aRules)
    : rules(aRules)
  {
  }

  /// @brief Adds the counts of a process. Totals only grow, so datagrams may be lost, repeated or
  ///        out of order. Linear in the message.
  /// @return whether the process is to be answered, which is at most every #kReplyInterval
  bool Merge(const CountsMessage& aMessage, FleetTime aNow);

  /// @brief Closes the windows that can be reported; a closed window does not change any more.
  /// @param aLive  all live instances, this one included
  /// @return all closed windows that are neither done nor too old, in order
  std::vector<ClosedWindow> Close(FleetTime aNow, const std::vector<core::InstanceId>& aLive);

  /// @brief Sets the first window that is neither reported nor given up.
  void SetDone(Window aBefore);

  /// @brief Returns the first window that is neither reported nor given up.
  Window DoneBefore() const { return this->doneBefore; }

  /// @brief Returns how many windows have become too old without a report since the last call.
  std::uint64_t TakeMissed();

  /// @brief Returns the counts that processes have left which have not sent any for a while.
  std::vector<CountsMessage> CountsOfSilent(FleetTime aNow) const;

  /// @brief Drops what is too old to matter.
  void Prune(FleetTime aNow);

  static constexpr milliseconds kReplyInterval{ 2'000 };
  /// @brief Time without a message after which a process counts as ended: three intervals.
  static constexpr milliseconds kSilence{ 3'000 };

private:
  struct Record
  {
    CountsMessage merged;
    /// @brief When the process itself was last heard, and when anything about it was.
    FleetTime heardAt{ 0 };
    FleetTime updatedAt{ 0 };
    FleetTime repliedAt{ 0 };
  };

  static bool IsComplete(const Record& aRecord, Window aWindow);
  std::size_t CountMissing(Window aWindow, const std::vector<core::InstanceId>& aLive) const;
  Counts Sum(Window aWindow) const;

  WindowRules rules;
  std::map<Process, Record> records;
  std::map<Window, ClosedWindow> closed;
  /// @brief Earliest start of a process that is known.
  std::optional<FleetTime> fleetStart;
  Window doneBefore;
  std::uint64_t missed = 0;
};

} // namespace plantainslip::usage
