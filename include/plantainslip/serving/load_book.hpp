#pragma once

#include <array>
#include <map>
#include <string>

#include <plantainslip/serving/fleet.hpp>

namespace plantainslip::serving {

/// @brief Levels of urgency that engines tell apart; 0 is the most urgent.
inline constexpr std::size_t kPriorityLevels = 10;

/// @brief Work that a target holds.
struct TargetLoad
{
  /// @brief Requests sent and not yet answered to the end.
  double requests = 0.0;
  /// @brief Prompt tokens sent and not yet read, by priority.
  std::array<double, kPriorityLevels> prefillTokens{};
  /// @brief Caches that are on their way to or from the target. They pile up where a link is slow.
  double handovers = 0.0;

  /// @brief Gives the tokens that a prompt of a priority finds before it.
  double TokensBefore(std::size_t aPriority) const
  {
    double tokens = 0.0;
    for (std::size_t level = 0; level <= aPriority && level < kPriorityLevels; ++level) {
      tokens += this->prefillTokens[level];
    }
    return tokens;
  }

  /// @brief Gives the tokens that a prompt of a priority goes before.
  double TokensBehind(std::size_t aPriority) const
  {
    return this->TokensBefore(kPriorityLevels - 1) - this->TokensBefore(aPriority);
  }

  /// @brief Adds another load, multiplied by a factor.
  void Add(const TargetLoad& aOther, double aFactor = 1.0);

  bool operator==(const TargetLoad&) const = default;
};

/// @brief Loads that one instance has put on targets.
using LoadTable = std::map<core::TargetId, TargetLoad>;

/// @brief What all instances have sent to each target: counted here, reported by the others.
///
/// Answers bursts and shifts of the token mix: a target's queue is known within a fraction of its
/// service time, though no instance sees all requests. Not safe to share between threads.
class LoadBook
{
public:
  /// @brief Age at which a peer's report no longer counts: a few reporting intervals.
  static constexpr milliseconds kReportLifetime{ 1'000 };

  /// @brief Counts work that was sent. Logarithmic in the number of targets.
  void Add(const core::TargetId& aTarget, const TargetLoad& aLoad);

  /// @brief Takes back work that has ended. Logarithmic in the number of targets.
  void Remove(const core::TargetId& aTarget, const TargetLoad& aLoad);

  /// @brief Takes a peer's report in place of its last one. Linear in the number of peers and in
  ///        the size of the reports.
  void SetPeer(const core::InstanceId& aPeer, LoadTable aLoads, core::MonotonicTime aNow);

  /// @brief Gives what this instance has sent.
  const LoadTable& Own() const { return this->own; }

  /// @brief Gives what all instances have sent to a target. Logarithmic in the number of targets
  ///        while all reports are fresh, else linear in the number of peers.
  TargetLoad Total(const core::TargetId& aTarget, core::MonotonicTime aNow) const;

  /// @brief Counts peers whose reports are fresh; linear in the number of peers.
  std::size_t LivePeers(core::MonotonicTime aNow) const;

private:
  struct PeerReport
  {
    LoadTable loads;
    core::MonotonicTime at;
  };

  void AddToReported(const LoadTable& aLoads, double aFactor);
  void Expire(core::MonotonicTime aNow);

  LoadTable own;
  std::map<core::InstanceId, PeerReport> peers;
  /// @brief Sum of all peers' reports.
  LoadTable reported;
  /// @brief Time of the oldest report in the sum.
  core::MonotonicTime oldestReport;
};

} // namespace plantainslip::serving
