#pragma once

#include <array>
#include <map>
#include <string>

#include <plantainslip/serving/fleet.hpp>

namespace plantainslip::serving {

/// @brief Number of priority levels of the engines; 0 is the most urgent.
inline constexpr std::size_t kPriorityLevels = 10;

/// @brief Outstanding work of a target.
struct TargetLoad
{
  /// @brief Requests sent and not yet completely answered.
  double requests = 0.0;
  /// @brief Prompt tokens sent and not yet prefilled, by priority.
  std::array<double, kPriorityLevels> prefillTokens{};
  /// @brief Cache transfers in flight to or from the target. They accumulate on a slow link.
  double cacheTransfers = 0.0;
  /// @brief Prompt and expected output of the requests that hold cache memory at the target, in
  ///        tokens.
  double heldTokens = 0.0;

  /// @brief Returns the queued tokens that are prefilled before a new prompt of a priority.
  double TokensBefore(std::size_t aPriority) const
  {
    double tokens = 0.0;
    for (std::size_t level = 0; level <= aPriority && level < kPriorityLevels; ++level) {
      tokens += this->prefillTokens[level];
    }
    return tokens;
  }

  /// @brief Returns the queued tokens of a lower priority than a new prompt's.
  double TokensBehind(std::size_t aPriority) const
  {
    return this->TokensBefore(kPriorityLevels - 1) - this->TokensBefore(aPriority);
  }

  /// @brief Adds another load, multiplied by a factor; no component falls below zero.
  void Add(const TargetLoad& aOther, double aFactor = 1.0);

  bool operator==(const TargetLoad&) const = default;
};

/// @brief Outstanding work that one instance has sent, by target.
using LoadTable = std::map<core::TargetId, TargetLoad>;

/// @brief Tracks the load of each target: counted for this instance, reported by its peers.
///
/// Each target's queue is known within a fraction of its service time, also in bursts and when the
/// token mix shifts, although no instance sees all requests. Not thread-safe.
class LoadTracker
{
public:
  /// @brief Age from which a peer's report is ignored: a few reporting intervals.
  static constexpr milliseconds kReportLifetime{ 1'000 };

  /// @brief Counts work that was sent. Logarithmic in the number of targets.
  void Add(const core::TargetId& aTarget, const TargetLoad& aLoad);

  /// @brief Subtracts work that has ended. Logarithmic in the number of targets.
  void Remove(const core::TargetId& aTarget, const TargetLoad& aLoad);

  /// @brief Replaces a peer's load report. Linear in the number of peers and in the size of the
  ///        reports.
  void SetPeerReport(const core::InstanceId& aPeer, LoadTable aLoads, core::MonotonicTime aNow);

  /// @brief Returns the load that this instance has sent.
  const LoadTable& OwnLoads() const { return this->own; }

  /// @brief Returns the load that all instances have sent to a target. Logarithmic in the number of
  ///        targets while all reports are fresh, else linear in the number of peers.
  TargetLoad Total(const core::TargetId& aTarget, core::MonotonicTime aNow) const;

  /// @brief Counts peers whose report has not expired; linear in the number of peers.
  std::size_t CountLivePeers(core::MonotonicTime aNow) const;

private:
  struct PeerReport
  {
    LoadTable loads;
    core::MonotonicTime receivedAt;
  };

  void AddToReportedSum(const LoadTable& aLoads, double aFactor);
  void RemoveExpiredReports(core::MonotonicTime aNow);

  LoadTable own;
  std::map<core::InstanceId, PeerReport> peers;
  /// @brief Sum of the reports in #peers.
  LoadTable reportedSum;
  /// @brief Time of the oldest report in #reportedSum.
  core::MonotonicTime oldestReportAt;
};

} // namespace plantainslip::serving
