#pragma once

#include <map>
#include <optional>
#include <vector>

#include <plantainslip/serving/fleet.hpp>

namespace plantainslip::serving {

/// @brief What became of one attempt, as far as it speaks of the target.
enum class AttemptResult
{
  kAnswered,
  /// @brief The target answered with a failure of its own or broke off.
  kFailed,
  /// @brief The target refused without running the request.
  kRefused,
  /// @brief No connection, or silence until a timeout.
  kUnreachable,
  /// @brief Another process than the directory lists, or one in another stage: the request is for
  ///        nobody there until the directory has caught up.
  kMisdirected,
};

/// @brief Judges targets by their answers, since their own health checks may be wrong.
///
/// Answers grey targets, cut zones and dead addresses. A target that cannot be reached is avoided
/// for a time that doubles with each further failure and ends by itself; a target that fails part
/// of its requests costs more in placement. What several peers cannot reach is avoided as well, so
/// that a large fleet does not find a dead target once for each instance. Not safe to share between
/// threads.
class TargetHealth
{
public:
  /// @brief First time that an unreachable target is avoided: about ten service times.
  static constexpr milliseconds kFirstAvoidance{ 250 };
  /// @brief Longest time; bounds how late a target that came back gets work.
  static constexpr milliseconds kLongestAvoidance{ 2'000 };
  /// @brief Weight of the newest result in the failure rate: remembers about ten attempts.
  static constexpr double kNewestWeight = 0.1;

  /// @brief Peers that must avoid a target before it is avoided on their word: one may be cut off.
  static constexpr std::size_t kWitnesses = 2;
  /// @brief Age at which a peer's word no longer counts: a few of its messages.
  static constexpr milliseconds kWordLifetime{ 1'000 };
  /// @brief Time after an answer in which a target is not avoided on the word of peers.
  static constexpr milliseconds kOwnEvidence{ 500 };

  /// @brief Counts the result of an attempt. Logarithmic in the number of targets.
  void Record(const core::TargetId& aTarget, AttemptResult aResult, core::MonotonicTime aNow);

  /// @brief Tells whether a target is to be passed over while there are others. Linear in the
  /// number
  ///        of peers that cannot reach some target.
  bool Avoided(const core::TargetId& aTarget, core::MonotonicTime aNow) const;

  /// @brief Gives the targets that this instance avoids by its own attempts; linear in their
  /// number.
  std::vector<core::TargetId> Unreachable(core::MonotonicTime aNow) const;

  /// @brief Takes the targets that a peer cannot reach in place of its last word.
  void SetPeer(const core::InstanceId& aPeer,
               std::vector<core::TargetId> aUnreachable,
               core::MonotonicTime aNow);

  /// @brief Gives the recent share of failed attempts, from 0 to 1.
  double FailureRate(const core::TargetId& aTarget) const;

private:
  struct Judgement
  {
    double failureRate = 0.0;
    int unreachableInARow = 0;
    core::MonotonicTime avoidedUntil;
    std::optional<core::MonotonicTime> answeredAt;
  };
  struct Word
  {
    std::vector<core::TargetId> unreachable;
    core::MonotonicTime at;
  };

  bool AvoidedByPeers(const core::TargetId& aTarget, core::MonotonicTime aNow) const;

  std::map<core::TargetId, Judgement> records;
  /// @brief Last words of peers that cannot reach some target.
  std::map<core::InstanceId, Word> words;
};

} // namespace plantainslip::serving
