#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>

namespace plantainslip::usage {

using std::chrono::milliseconds;

/// @brief A window of time, numbered by whole window lengths since the Unix epoch.
using Window = core::StrongNumber<struct WindowTag>;

/// @brief Requests that began to run, by workspace.
using Counts = std::map<core::WorkspaceId, std::uint64_t>;

/// @brief Counts by window.
using WindowCounts = std::map<Window, Counts>;

/// @brief Time of day on which the instances agree, since the Unix epoch.
using FleetTime = milliseconds;

/// @brief Lengths of usage windows and of the time in which they are reported.
struct WindowRules
{
  /// @brief Share of the due time after which a window is reported without the instances that have
  ///        not stated their counts; the rest is for the write to the store and the call.
  static constexpr double kWaitShare = 0.7;
  /// @brief Time after which counts are dropped and windows are not reported any more.
  static constexpr milliseconds kMaxAge{ 30'000 };

  /// @brief Length of a window; positive.
  milliseconds length{ 5'000 };
  /// @brief Time from a window's end until its report is due.
  milliseconds due{ 10'000 };

  Window At(FleetTime aTime) const
  {
    return Window(static_cast<std::uint64_t>(std::max<std::int64_t>(0, aTime / this->length)));
  }
  FleetTime Begin(Window aWindow) const
  {
    return this->length * static_cast<std::int64_t>(aWindow.Number());
  }
  FleetTime End(Window aWindow) const { return this->Begin(aWindow.Next()); }

  /// @brief Returns the first window that begins at a time or later.
  Window FirstFrom(FleetTime aTime) const
  {
    const Window window = this->At(aTime);
    return this->Begin(window) == aTime ? window : window.Next();
  }
  milliseconds MaxWait() const
  {
    return milliseconds(
      static_cast<std::int64_t>(static_cast<double>(this->due.count()) * kWaitShare));
  }
};

/// @brief Counts the requests of one instance that began to run. Used on the traffic thread.
class UsageCounter
{
public:
  /// @brief Counts a request in the window of a time, or in the first window that is not complete
  ///        if that one is. Logarithmic in the number of windows and workspaces.
  void Add(Window aNow, const core::WorkspaceId& aWorkspace)
  {
    ++this->counts[std::max(aNow, this->completeBefore)][aWorkspace];
  }

  /// @brief Makes all windows before a window complete: their counts do not change any more.
  void Complete(Window aBefore) { this->completeBefore = std::max(this->completeBefore, aBefore); }

  /// @brief Drops the counts of all windows before a window.
  void Drop(Window aBefore)
  {
    this->counts.erase(this->counts.begin(), this->counts.lower_bound(aBefore));
  }

  /// @brief Returns the first window whose counts may still change.
  Window CompleteBefore() const { return this->completeBefore; }
  const WindowCounts& All() const { return this->counts; }

private:
  WindowCounts counts;
  Window completeBefore;
};

} // namespace plantainslip::usage
