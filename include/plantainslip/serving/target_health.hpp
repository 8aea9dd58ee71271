#pragma once

#include <map>
#include <optional>
#include <vector>

#include <plantainslip/serving/fleet.hpp>

namespace plantainslip::serving {

/// @brief Outcome of one attempt, as evidence of the target's health.
enum class AttemptResult
{
  kAnswered,
  /// @brief The target answered with an error of its own or broke off the answer.
  kFailed,
  /// @brief The target refused without running the request.
  kRefused,
  /// @brief No connection, or no answer within a timeout.
  kUnreachable,
  /// @brief The address is used by another process than the directory lists, or by one in another
  ///        stage; the target cannot be used until the directory is up to date.
  kMisdirected,
};

/// @brief Tracks the health of targets by the outcome of requests, since their own health checks
///        may be wrong.
///
/// Covers targets that fail part of their requests, zones that are cut off and dead addresses. An
/// unreachable target is avoided for a backoff that doubles with each further failure and then
/// expires; a target that fails part of its requests costs more in placement. A target that several
/// peers cannot reach is avoided as well, so that in a large fleet not every instance has to find a
/// dead target by a failed request of its own. Not thread-safe.
class TargetHealth
{
public:
  /// @brief Initial backoff of an unreachable target: about ten service times.
  static constexpr milliseconds kInitialBackoff{ 250 };
  /// @brief Maximum backoff; bounds how late a target that has recovered gets work.
  static constexpr milliseconds kMaxBackoff{ 2'000 };
  /// @brief Weight of the newest result in the failure rate, a moving average over about ten
  ///        attempts.
  static constexpr double kSmoothingFactor = 0.1;
  /// @brief Time in which a failure rate halves without further attempts, so that a target that
  ///        gets no work because of its failures is tried again.
  static constexpr milliseconds kFailureHalfLife{ 5'000 };
  /// @brief Failure rate below which a target counts as healthy.
  static constexpr double kNegligibleFailureRate = 0.005;

  /// @brief Minimum number of peers that must report a target as unreachable before it is avoided:
  ///        a single one may be cut off itself.
  static constexpr std::size_t kMinPeerReports = 2;
  /// @brief Age from which a peer's report is ignored: a few message intervals.
  static constexpr milliseconds kPeerReportLifetime{ 1'000 };
  /// @brief Time after an answer to this instance in which reports of peers are ignored.
  static constexpr milliseconds kRecentAnswerWindow{ 500 };

  /// @brief Records the result of an attempt. Logarithmic in the number of targets.
  void Record(const core::TargetId& aTarget, AttemptResult aResult, core::MonotonicTime aNow);

  /// @brief Returns whether a target should be skipped while there are others. Linear in the size
  ///        of the peers' reports.
  bool IsAvoided(const core::TargetId& aTarget, core::MonotonicTime aNow) const;

  /// @brief Returns the targets that this instance avoids because of its own attempts; linear in
  ///        the number of targets.
  std::vector<core::TargetId> UnreachableTargets(core::MonotonicTime aNow) const;

  /// @brief Replaces the list of targets that a peer reports as unreachable. Linear in the number
  ///        of peers.
  void SetPeerReport(const core::InstanceId& aPeer,
                     std::vector<core::TargetId> aUnreachable,
                     core::MonotonicTime aNow);

  /// @brief Returns the moving average of failed attempts, from 0 to 1, reduced by the time since
  ///        the last attempt. Logarithmic in the number of targets.
  double FailureRate(const core::TargetId& aTarget, core::MonotonicTime aNow) const;

private:
  struct TargetRecord
  {
    /// @brief Failure rate at the time of the last attempt.
    double failureRate = 0.0;
    core::MonotonicTime attemptedAt;
    int consecutiveUnreachable = 0;
    core::MonotonicTime avoidedUntil;
    std::optional<core::MonotonicTime> answeredAt;
  };
  struct PeerReport
  {
    std::vector<core::TargetId> unreachable;
    core::MonotonicTime receivedAt;
  };

  static double DecayedFailureRate(const TargetRecord& aRecord, core::MonotonicTime aNow);
  bool IsAvoidedByPeers(const core::TargetId& aTarget, core::MonotonicTime aNow) const;

  std::map<core::TargetId, TargetRecord> records;
  /// @brief Last reports of the peers that cannot reach at least one target.
  std::map<core::InstanceId, PeerReport> peerReports;
};

} // namespace plantainslip::serving
