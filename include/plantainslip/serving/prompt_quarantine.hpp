#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include <plantainslip/serving/target_protocol.hpp>

namespace plantainslip::serving {

/// @brief Ids of prompt parts, sorted, without duplicates.
using PartSet = std::vector<std::uint64_t>;

/// @brief Returns the ids of a prompt's shared parts: all but the last one, which belongs to the
///        request itself. Log-linear in the number of parts.
PartSet
SharedParts(const PromptInfo& aPrompt);

/// @brief What an instance tells its peers about targets that ended, and about the parts of the
///        prompts that were waiting there. Ages count from the time of sending.
struct CrashReport
{
  /// @brief A prompt without a first event when the target's process ended.
  struct Suspect
  {
    core::TargetId target;
    PartSet parts;
    milliseconds age{ 0 };
    /// @brief Whether another target had ended during the same request before.
    bool isRepeat = false;

    bool operator==(const Suspect&) const = default;
  };
  /// @brief A part that the instance has seen answered: since it was suspected, or before it was
  ///        quarantined elsewhere.
  struct Answered
  {
    std::uint64_t part = 0;
    milliseconds age{ 0 };

    bool operator==(const Answered&) const = default;
  };
  /// @brief A part set that the instance has quarantined.
  struct Quarantined
  {
    PartSet parts;
    milliseconds age{ 0 };
    /// @brief Ended targets that led to it; those that ended without an answer in between count as
    ///        one.
    std::size_t outages = 0;

    bool operator==(const Quarantined&) const = default;
  };

  std::vector<Suspect> suspects;
  std::vector<Answered> answered;
  std::vector<Quarantined> quarantined;
  /// @brief Recent times at which answers began, whatever their prompts; sent while any evidence is
  ///        recent.
  std::vector<milliseconds> answerAges;

  bool Empty() const
  {
    return this->suspects.empty() && this->answered.empty() && this->quarantined.empty() &&
           this->answerAges.empty();
  }

  bool operator==(const CrashReport&) const = default;
};

/// @brief Limits of the quarantine of prompt parts.
struct QuarantineOptions
{
  /// @brief Ended targets, with answers of others in between, from which a part is quarantined.
  std::size_t minCrashes = 3;
  /// @brief The same for a part that some instance saw answered not long before.
  std::size_t minCrashesIfAnswered = 5;
  /// @brief How long evidence counts, and how long a quarantine outlasts the last request for it.
  milliseconds lifetime{ 600'000 };
};

/// @brief Keeps prompts that end the process of whatever target answers them from all targets.
///
/// Answers a load in which different prompts share a part that crashes engines, so that each new
/// request would take an engine away from all others. Evidence is a target whose process ended
/// while a prompt waited there for its first event. Most such prompts are bystanders: a part is
/// cleared by every answer to a prompt that has it. Parts that were only seen at ended targets,
/// several times in a row while other prompts were answered, are quarantined: what all the suspects
/// with such a part have in common, without the parts that were answered. Instances exchange their
/// evidence and decide alike. Not thread-safe.
class PromptQuarantine
{
public:
  /// @brief Parts that were quarantined or released, for the log.
  struct Change
  {
    PartSet parts;
    bool quarantined = false;
    /// @brief Number of ended targets that led to it.
    std::size_t crashes = 0;
  };

  explicit PromptQuarantine(const QuarantineOptions& aOptions = {})
    : options(aOptions)
  {
  }

  /// @brief A target whose process ended before the first event of a prompt's answer.
  struct Crash
  {
    core::TargetId target;
    /// @brief When the connection to the target was lost.
    core::MonotonicTime at;
    /// @brief Whether another target had ended during the same request before; then the two did not
    ///        end for a common reason of their own.
    bool isRepeat = false;
  };

  /// @brief Records evidence against a prompt. Linear in the number of suspects, which is bounded,
  ///        times the quarantined part sets.
  void RecordCrash(const Crash& aCrash, const PromptInfo& aPrompt, core::MonotonicTime aNow);

  /// @brief Records that an answer to a prompt has begun. Logarithmic in the number of recently
  ///        answered parts; as RecordCrash() if a part of it is under suspicion.
  void RecordAnswer(const PromptInfo& aPrompt, core::MonotonicTime aNow);

  /// @brief Merges a peer's report; the same report may be merged again. As RecordCrash() for each
  ///        new suspect.
  void Merge(const CrashReport& aReport, core::MonotonicTime aNow);

  /// @brief Takes over a quarantine that another instance has found, unless this one has seen
  ///        answers to all of its parts. Linear in the number of quarantined part sets.
  void Adopt(const CrashReport::Quarantined& aQuarantined, core::MonotonicTime aNow);

  /// @brief Returns this instance's own recent evidence. Linear in the number of suspects.
  CrashReport Report(core::MonotonicTime aNow) const;

  /// @brief Returns how long a prompt is kept from all targets, which extends its quarantine.
  /// @return nothing if it may be sent; linear in the number of quarantined part sets
  std::optional<milliseconds> TimeLeft(const PromptInfo& aPrompt, core::MonotonicTime aNow);

  /// @brief Returns the quarantined part sets; a prompt that has all parts of one is kept back.
  std::vector<PartSet> QuarantinedParts() const;

  /// @brief Returns the changes since the last call, in order.
  std::vector<Change> TakeChanges();

private:
  struct Suspect
  {
    core::TargetId target;
    PartSet parts;
    core::MonotonicTime at;
    bool isRepeat = false;
    bool isOwn = false;
  };
  /// @brief Answers to prompts with one part.
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
    PartSet parts;
    core::MonotonicTime since;
    core::MonotonicTime lastSeen;
    std::size_t outages = 0;
    bool isOwn = false;
  };
  /// @brief What the suspects with one part have in common.
  struct Hypothesis
  {
    PartSet common;
    /// @brief Ended targets; those that ended without an answer of any target in between count as
    ///        one.
    std::size_t outages = 0;
    std::size_t crashes = 0;
    core::MonotonicTime firstAt;
  };

  static bool IsSameCrash(const Suspect& aLeft, const Suspect& aRight);
  void AddAnswerTime(const AnswerTime& aTime);
  bool HasAnswerBetween(core::MonotonicTime aFrom, core::MonotonicTime aTo) const;
  bool WasAnsweredSince(std::uint64_t aPart, core::MonotonicTime aAt) const;
  bool WereAnswered(const PartSet& aParts) const;
  void ReportAnswersSince(const PartSet& aParts, core::MonotonicTime aAt, core::MonotonicTime aNow);
  void AddSuspect(const Suspect& aSuspect, core::MonotonicTime aNow);
  bool IsCleared(const Suspect& aSuspect) const;
  bool IsExplained(const Suspect& aSuspect) const;
  bool IsInQuarantine(std::uint64_t aPart) const;
  std::size_t CountOutages(std::vector<const Suspect*> aSuspects) const;
  std::optional<Hypothesis> HypothesisFor(std::uint64_t aPart) const;
  std::optional<Hypothesis> BestHypothesis(const PartSet& aParts) const;
  void AddQuarantine(Quarantine aQuarantine, std::size_t aCrashes);
  void Evaluate(core::MonotonicTime aNow);
  void ReleaseAnswered();
  void RemoveExpired(core::MonotonicTime aNow);

  QuarantineOptions options;
  std::vector<Suspect> suspects;
  std::map<std::uint64_t, AnswerRecord> answered;
  /// @brief Times of recent answers, oldest first.
  std::deque<AnswerTime> answerTimes;
  std::vector<Quarantine> quarantines;
  std::vector<Change> changes;
  core::MonotonicTime prunedAt;
};

} // namespace plantainslip::serving
