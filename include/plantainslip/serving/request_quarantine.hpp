#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include <plantainslip/serving/request_traits.hpp>

namespace plantainslip::serving {

/// @brief What an instance tells its peers about targets that ended, and about the traits of the
///        requests that were waiting there. Ages count from the time of sending.
struct CrashReport
{
  /// @brief A request whose answer had not begun when the target's process ended.
  struct Suspect
  {
    core::TargetId target;
    TraitSet traits;
    milliseconds age{ 0 };
    /// @brief Whether another target had ended during the same request before.
    bool isRepeat = false;

    bool operator==(const Suspect&) const = default;
  };
  /// @brief A trait that the instance has seen answered: since it was suspected, or before it was
  ///        quarantined elsewhere.
  struct Answered
  {
    Trait trait = Trait::FromNumber(0);
    milliseconds age{ 0 };

    bool operator==(const Answered&) const = default;
  };
  /// @brief A trait set that the instance has quarantined.
  struct Quarantined
  {
    TraitSet traits;
    milliseconds age{ 0 };
    /// @brief Ended targets that led to it; those that ended without an answer in between count as
    ///        one.
    std::size_t outages = 0;

    bool operator==(const Quarantined&) const = default;
  };

  std::vector<Suspect> suspects;
  std::vector<Answered> answered;
  std::vector<Quarantined> quarantined;
  /// @brief Recent times at which any answers began; sent while any evidence is recent.
  std::vector<milliseconds> answerAges;

  bool Empty() const
  {
    return this->suspects.empty() && this->answered.empty() && this->quarantined.empty() &&
           this->answerAges.empty();
  }

  bool operator==(const CrashReport&) const = default;
};

/// @brief Limits of the quarantine.
struct QuarantineOptions
{
  /// @brief Ended targets, with answers of others in between, from which a trait is quarantined.
  std::size_t minCrashes = 3;
  /// @brief The same for a trait that some instance saw answered not long before.
  std::size_t minCrashesIfAnswered = 5;
  /// @brief How long evidence counts, and how long a quarantine outlasts the last request for it.
  milliseconds lifetime{ 600'000 };
};

/// @brief Keeps requests that end the process of whatever target runs them from all targets.
///
/// Answers two loads in which each new request would take a target away from all others: different
/// prompts that share a part that crashes engines, and one request that its caller repeats.
/// Evidence is a target whose process ended while a request waited there for the beginning of its
/// answer. Most such requests are bystanders: a trait is cleared by every answer to a request that
/// has it. Traits that were only seen at ended targets, several times in a row while other requests
/// were answered, are quarantined: what all the suspects with such a trait have in common, without
/// the traits that were answered. Instances exchange their evidence and decide alike. Not
/// thread-safe.
class RequestQuarantine
{
public:
  /// @brief Parts that were quarantined or released, for the log.
  struct Change
  {
    TraitSet traits;
    bool quarantined = false;
    /// @brief Number of ended targets that led to it.
    std::size_t crashes = 0;
  };

  explicit RequestQuarantine(const QuarantineOptions& aOptions = {})
    : options(aOptions)
  {
  }

  /// @brief A target whose process ended before the beginning of a request's answer.
  struct Crash
  {
    core::TargetId target;
    /// @brief When the connection to the target was lost.
    core::MonotonicTime at;
    /// @brief Whether another target had ended during the same request before; then the two did not
    ///        end for a common reason of their own.
    bool isRepeat = false;
  };

  /// @brief Records evidence against a request. Linear in the number of suspects, which is bounded,
  ///        times the quarantined trait sets.
  void RecordCrash(const Crash& aCrash, const TraitSet& aTraits, core::MonotonicTime aNow);

  /// @brief Records that the answer to a request has begun. Logarithmic in the number of recently
  ///        answered traits; as RecordCrash() if a trait of it is under suspicion.
  void RecordAnswer(const TraitSet& aTraits, core::MonotonicTime aNow);

  /// @brief Merges a peer's report; the same report may be merged again. As RecordCrash() for each
  ///        new suspect.
  void Merge(const CrashReport& aReport, core::MonotonicTime aNow);

  /// @brief Takes over a quarantine that another instance has found, unless this one has seen
  ///        answers to all of its traits. Linear in the number of quarantined trait sets.
  void Adopt(const CrashReport::Quarantined& aQuarantined, core::MonotonicTime aNow);

  /// @brief Returns this instance's own recent evidence. Linear in the number of suspects.
  CrashReport Report(core::MonotonicTime aNow) const;

  /// @brief Includes all quarantines in the next reports, for a peer that has started or was out of
  ///        reach.
  void ReportAllQuarantines(core::MonotonicTime aNow) { this->allReportedFrom = aNow; }

  /// @brief Returns how long a request is kept from all targets, which extends its quarantine.
  /// @return nothing if it may be sent; linear in the number of quarantined trait sets
  std::optional<milliseconds> TimeLeft(const TraitSet& aTraits, core::MonotonicTime aNow);

  /// @brief Returns the quarantined trait sets; a request that has all traits of one is kept back.
  std::vector<TraitSet> QuarantinedTraits() const;

  /// @brief Returns the changes since the last call, in order.
  std::vector<Change> TakeChanges();

private:
  struct Suspect
  {
    core::TargetId target;
    TraitSet traits;
    core::MonotonicTime at;
    bool isRepeat = false;
    bool isOwn = false;
  };
  /// @brief Answers to requests with one trait.
  struct AnswerRecord
  {
    /// @brief Last answer at any instance, and at this one.
    core::MonotonicTime at;
    std::optional<core::MonotonicTime> ownAt;
    /// @brief Since when peers have to be told.
    std::optional<core::MonotonicTime> reportedFrom;
  };
  struct AnswerTime
  {
    core::MonotonicTime at;
    bool isOwn = false;
  };
  struct Quarantine
  {
    TraitSet traits;
    core::MonotonicTime since;
    core::MonotonicTime lastSeen;
    std::size_t outages = 0;
    bool isOwn = false;
  };
  /// @brief What the suspects with one trait have in common.
  struct Hypothesis
  {
    TraitSet common;
    /// @brief Ended targets; those that ended without an answer of any target in between count as
    ///        one.
    std::size_t outages = 0;
    std::size_t crashes = 0;
    core::MonotonicTime firstAt;
  };

  static bool IsSameCrash(const Suspect& aLeft, const Suspect& aRight);
  void AddAnswerTime(const AnswerTime& aTime);
  bool HasAnswerBetween(core::MonotonicTime aFrom, core::MonotonicTime aTo) const;
  bool WasAnsweredSince(Trait aTrait, core::MonotonicTime aAt) const;
  bool WereAnswered(const TraitSet& aTraits) const;
  void ReportAnswersSince(const TraitSet& aTraits,
                          core::MonotonicTime aAt,
                          core::MonotonicTime aNow);
  void AddSuspect(const Suspect& aSuspect, core::MonotonicTime aNow);
  bool IsCleared(const Suspect& aSuspect) const;
  bool HasClearedPrompt(const Suspect& aSuspect) const;
  void RemoveOldestSuspect();
  std::vector<const Suspect*> QuarantinedSuspects() const;
  std::size_t CrashesToWiden(Trait aTrait) const;
  std::size_t CountOutages(std::vector<const Suspect*> aSuspects, Trait aTrait) const;
  std::optional<Hypothesis> HypothesisFor(Trait aTrait,
                                          const std::vector<const Suspect*>& aQuarantined) const;
  TraitSet RecentlyRepeatedTraits(core::MonotonicTime aNow) const;
  std::optional<Hypothesis> BestHypothesis(const TraitSet& aTraits) const;
  void AddQuarantine(Quarantine aQuarantine, std::size_t aCrashes);
  void Evaluate(core::MonotonicTime aNow);
  void ReleaseAnswered();
  void RemoveExpired(core::MonotonicTime aNow);

  QuarantineOptions options;
  std::vector<Suspect> suspects;
  std::map<Trait, AnswerRecord> answered;
  /// @brief Times of recent answers, oldest first.
  std::deque<AnswerTime> answerTimes;
  std::vector<Quarantine> quarantines;
  std::vector<Change> changes;
  core::MonotonicTime prunedAt;
  /// @brief Since when all quarantines are reported.
  std::optional<core::MonotonicTime> allReportedFrom;
};

} // namespace plantainslip::serving
