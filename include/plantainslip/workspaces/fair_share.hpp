#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>

namespace plantainslip::workspaces {

/// @brief A workspace's use of the fleet compared with its share.
enum class Standing
{
  /// @brief Far below its share, or served much less often than all: not refused for others.
  kBelow,
  kWithin,
  /// @brief Above its share: yields first.
  kAbove,
};

/// @brief Ranks workspaces by what they used in the last seconds, for times at which requests wait
///        or are refused for lack of capacity.
///
/// Load: demand above the fleet's capacity, most of it from few large workspaces. A workspace's
/// share is the use of all divided by the number of workspaces that use anything. Uses and counts
/// decay exponentially, so no state is reset at the end of a period.
/// @note Each function is logarithmic in the number of workspaces; a few idle entries are removed
///       with each one that is added. Not thread-safe.
class FairShare
{
public:
  /// @brief Time in which a use counts a third less: several times a long request, and shorter than
  ///        the time in which callers give up for good.
  static constexpr std::chrono::milliseconds kMemory{ 5'000 };
  /// @brief Uses of this share and less are far below the workspace's share.
  static constexpr double kLowUse = 0.5;
  /// @brief A workspace that is served less often than this fraction of all is not refused; the
  ///        bound that it must not fall below is a quarter.
  static constexpr double kMinServedFraction = 0.5;
  /// @brief Workspaces that are remembered; further ones count as within their share.
  static constexpr std::size_t kMaxWorkspaces = 16'384;

  /// @brief Counts a request that was admitted.
  /// @param aTokens  prompt and expected output
  void RecordServed(const core::WorkspaceId& aWorkspace, double aTokens, core::MonotonicTime aNow);

  /// @brief Counts a request that was refused.
  void RecordRefused(const core::WorkspaceId& aWorkspace, core::MonotonicTime aNow);

  Standing Of(const core::WorkspaceId& aWorkspace, core::MonotonicTime aNow) const;

  std::size_t CountKnown() const { return this->entries.size(); }

private:
  struct Entry
  {
    double tokens = 0.0;
    double served = 0.0;
    double refused = 0.0;
    core::MonotonicTime at = {};

    void DecayTo(core::MonotonicTime aNow);
  };

  Entry* Find(const core::WorkspaceId& aWorkspace, core::MonotonicTime aNow);
  void RemoveIdle(core::MonotonicTime aNow);

  std::map<core::WorkspaceId, Entry> entries;
  Entry all;
  /// @brief Next workspace to be checked for removal.
  core::WorkspaceId sweepAt;
};

} // namespace plantainslip::workspaces
