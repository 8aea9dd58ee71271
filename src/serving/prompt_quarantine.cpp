#include <plantainslip/serving/prompt_quarantine.hpp>

#include <algorithm>
#include <iterator>
#include <set>

namespace plantainslip::serving {

namespace {

/// Losses of connections to the same target within this time have the same cause.
constexpr milliseconds kSameCrashWindow{ 1'000 };
/// How long evidence is repeated to peers, whose datagrams may be lost.
constexpr milliseconds kReportTime{ 10'000 };
/// How long the answers to prompts with a part are remembered.
constexpr milliseconds kAnswerMemory{ 60'000 };
/// Answer times that a report covers, and age of the evidence that they can make conclusive:
/// several message intervals.
constexpr milliseconds kReportedAnswerTime{ 1'000 };
constexpr milliseconds kPruneInterval{ 1'000 };
/// Answers closer together are remembered as one.
constexpr milliseconds kAnswerSpacing{ 50 };
constexpr std::size_t kMaxAnswerTimes = 1'024;
/// Max evidence; the oldest is dropped first.
constexpr std::size_t kMaxSuspects = 256;
constexpr std::size_t kMaxQuarantines = 64;
/// Max entries of each list in a report, which must fit into a datagram.
constexpr std::size_t kMaxReported = 48;

bool
Contains(const PartSet& aParts, std::uint64_t aPart)
{
  return std::binary_search(aParts.begin(), aParts.end(), aPart);
}

// Returns whether all parts of the second set are in the first.
bool
ContainsAll(const PartSet& aParts, const PartSet& aOthers)
{
  return std::includes(aParts.begin(), aParts.end(), aOthers.begin(), aOthers.end());
}

PartSet
Intersection(const PartSet& aLeft, const PartSet& aRight)
{
  PartSet common;
  std::set_intersection(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), std::back_inserter(common));
  return common;
}

void
SortAndDeduplicate(PartSet& aParts)
{
  std::sort(aParts.begin(), aParts.end());
  aParts.erase(std::unique(aParts.begin(), aParts.end()), aParts.end());
}

milliseconds
Age(core::MonotonicTime aAt, core::MonotonicTime aNow)
{
  return std::chrono::duration_cast<milliseconds>(aNow - aAt);
}

constexpr auto kIsEarlier = [](core::MonotonicTime aAt, const auto& aOther) {
  return aAt < aOther.at;
};

} // namespace

PartSet
SharedParts(const PromptInfo& aPrompt)
{
  PartSet parts;
  for (std::size_t index = 0; index + 1 < aPrompt.parts.size(); ++index) {
    parts.push_back(aPrompt.parts[index].id);
  }
  SortAndDeduplicate(parts);
  return parts;
}

void
PromptQuarantine::AddAnswerTime(const AnswerTime& aTime)
{
  const auto next =
    std::upper_bound(this->answerTimes.begin(), this->answerTimes.end(), aTime.at, kIsEarlier);
  const bool nearNext = next != this->answerTimes.end() && next->at - aTime.at < kAnswerSpacing;
  const bool nearPrevious =
    next != this->answerTimes.begin() && aTime.at - std::prev(next)->at < kAnswerSpacing;
  if (nearNext || nearPrevious) {
    return;
  }
  this->answerTimes.insert(next, aTime);
  if (this->answerTimes.size() > kMaxAnswerTimes) {
    this->answerTimes.pop_front();
  }
}

bool
PromptQuarantine::HasAnswerBetween(core::MonotonicTime aFrom, core::MonotonicTime aTo) const
{
  const auto next =
    std::upper_bound(this->answerTimes.begin(), this->answerTimes.end(), aFrom, kIsEarlier);
  return next != this->answerTimes.end() && next->at < aTo;
}

bool
PromptQuarantine::WasAnsweredSince(std::uint64_t aPart, core::MonotonicTime aAt) const
{
  const auto found = this->answered.find(aPart);
  return found != this->answered.end() && found->second.at > aAt;
}

// Returns whether answers to prompts with each of the parts are remembered.
bool
PromptQuarantine::WereAnswered(const PartSet& aParts) const
{
  return std::all_of(aParts.begin(), aParts.end(), [this](std::uint64_t aPart) {
    return this->answered.contains(aPart);
  });
}

// Tells the peers which of the parts this instance has seen answered since a time.
void
PromptQuarantine::ReportAnswersSince(const PartSet& aParts,
                                     core::MonotonicTime aAt,
                                     core::MonotonicTime aNow)
{
  for (const std::uint64_t part : aParts) {
    const auto found = this->answered.find(part);
    if (found != this->answered.end() && found->second.ownAt > aAt) {
      found->second.reportedFrom = aNow;
    }
  }
}

void
PromptQuarantine::AddSuspect(const Suspect& aSuspect, core::MonotonicTime aNow)
{
  if (aSuspect.parts.empty() || aNow - aSuspect.at >= this->options.lifetime) {
    return;
  }
  for (Suspect& other : this->suspects) {
    if (IsSameCrash(other, aSuspect) && other.parts == aSuspect.parts) {
      other.isOwn = other.isOwn || aSuspect.isOwn;
      return;
    }
  }
  this->ReportAnswersSince(aSuspect.parts, aSuspect.at, aNow);
  if (!this->IsCleared(aSuspect)) {
    this->suspects.push_back(aSuspect);
  }
  if (this->suspects.size() > kMaxSuspects) {
    this->suspects.erase(this->suspects.begin());
  }
}

void
PromptQuarantine::RecordCrash(const Crash& aCrash,
                              const PromptInfo& aPrompt,
                              core::MonotonicTime aNow)
{
  this->AddSuspect({ aCrash.target, SharedParts(aPrompt), aCrash.at, aCrash.isRepeat, true }, aNow);
  this->Evaluate(aNow);
}

void
PromptQuarantine::RecordAnswer(const PromptInfo& aPrompt, core::MonotonicTime aNow)
{
  this->AddAnswerTime({ aNow, true });
  for (const std::uint64_t part : SharedParts(aPrompt)) {
    AnswerRecord& record = this->answered[part];
    const bool isSuspected =
      std::any_of(this->suspects.begin(), this->suspects.end(), [&](const Suspect& aSuspect) {
        return Contains(aSuspect.parts, part) && aSuspect.at >= record.at;
      });
    record.at = aNow;
    record.ownAt = aNow;
    if (isSuspected) {
      record.reportedFrom = aNow;
    }
  }
  this->ReleaseAnswered();
  this->RemoveExpired(aNow);
}

void
PromptQuarantine::Merge(const CrashReport& aReport, core::MonotonicTime aNow)
{
  for (const milliseconds age : aReport.answerAges) {
    this->AddAnswerTime({ aNow - age, false });
  }
  for (const CrashReport::Answered& answer : aReport.answered) {
    AnswerRecord& record = this->answered[answer.part];
    record.at = std::max(record.at, aNow - answer.age);
  }
  for (const CrashReport::Suspect& suspect : aReport.suspects) {
    this->AddSuspect({ suspect.target, suspect.parts, aNow - suspect.age, suspect.isRepeat, false },
                     aNow);
  }
  for (const CrashReport::Quarantined& quarantined : aReport.quarantined) {
    this->Adopt(quarantined, aNow);
  }
  this->ReleaseAnswered();
  this->Evaluate(aNow);
}

void
PromptQuarantine::Adopt(const CrashReport::Quarantined& aQuarantined, core::MonotonicTime aNow)
{
  const PartSet& parts = aQuarantined.parts;
  const bool isKnown = std::any_of(
    this->quarantines.begin(), this->quarantines.end(), [&](const Quarantine& aQuarantine) {
      return ContainsAll(parts, aQuarantine.parts);
    });
  if (isKnown || aQuarantined.age >= this->options.lifetime) {
    return;
  }
  if (this->WereAnswered(parts)) {
    this->ReportAnswersSince(parts, {}, aNow);
    return;
  }
  this->AddQuarantine({ parts, aNow - aQuarantined.age, aNow, aQuarantined.outages, false }, 0);
}

CrashReport
PromptQuarantine::Report(core::MonotonicTime aNow) const
{
  CrashReport report;
  bool isEvidenceRecent = false;
  // The newest evidence first.
  std::for_each(this->suspects.rbegin(), this->suspects.rend(), [&](const Suspect& aSuspect) {
    const bool isRecent = aNow - aSuspect.at <= kReportTime;
    isEvidenceRecent = isEvidenceRecent || isRecent;
    if (isRecent && aSuspect.isOwn && report.suspects.size() < kMaxReported) {
      report.suspects.push_back(
        { aSuspect.target, aSuspect.parts, Age(aSuspect.at, aNow), aSuspect.isRepeat });
    }
  });
  for (const auto& [part, record] : this->answered) {
    if (record.reportedFrom.has_value() && aNow - *record.reportedFrom <= kReportTime &&
        report.answered.size() < kMaxReported) {
      report.answered.push_back({ part, Age(*record.ownAt, aNow) });
    }
  }
  for (auto time = this->answerTimes.rbegin();
       isEvidenceRecent && time != this->answerTimes.rend() &&
       aNow - time->at <= kReportedAnswerTime;
       ++time) {
    if (time->isOwn) {
      report.answerAges.push_back(Age(time->at, aNow));
    }
  }
  for (const Quarantine& quarantine : this->quarantines) {
    if (quarantine.isOwn && aNow - quarantine.since <= kReportTime) {
      report.quarantined.push_back(
        { quarantine.parts, Age(quarantine.since, aNow), quarantine.outages });
    }
  }
  return report;
}

bool
PromptQuarantine::IsSameCrash(const Suspect& aLeft, const Suspect& aRight)
{
  return aLeft.target == aRight.target &&
         std::chrono::abs(aLeft.at - aRight.at) <= kSameCrashWindow;
}

// Returns whether every part was answered since.
bool
PromptQuarantine::IsCleared(const Suspect& aSuspect) const
{
  const auto& parts = aSuspect.parts;
  return std::all_of(parts.begin(), parts.end(), [&](std::uint64_t aPart) {
    return this->WasAnsweredSince(aPart, aSuspect.at);
  });
}

// Returns whether a prompt that is quarantined by now waited at the same target.
bool
PromptQuarantine::IsExplained(const Suspect& aSuspect) const
{
  const auto isQuarantined = [this](const PartSet& aParts) {
    return std::any_of(
      this->quarantines.begin(), this->quarantines.end(), [&](const Quarantine& aQuarantine) {
        return ContainsAll(aParts, aQuarantine.parts);
      });
  };
  return !this->quarantines.empty() &&
         std::any_of(this->suspects.begin(), this->suspects.end(), [&](const Suspect& aOther) {
           return IsSameCrash(aOther, aSuspect) && isQuarantined(aOther.parts);
         });
}

bool
PromptQuarantine::IsInQuarantine(std::uint64_t aPart) const
{
  return std::any_of(
    this->quarantines.begin(), this->quarantines.end(), [&](const Quarantine& aQuarantine) {
      return Contains(aQuarantine.parts, aPart);
    });
}

std::size_t
PromptQuarantine::CountOutages(std::vector<const Suspect*> aSuspects) const
{
  std::sort(aSuspects.begin(), aSuspects.end(), [](const Suspect* aLeft, const Suspect* aRight) {
    return aLeft->at < aRight->at;
  });
  std::size_t outages = 0;
  const Suspect* previous = nullptr;
  for (const Suspect* suspect : aSuspects) {
    const bool isNew = previous == nullptr ||
                       (suspect->target != previous->target &&
                        (suspect->isRepeat || this->HasAnswerBetween(previous->at, suspect->at)));
    outages += isNew ? 1 : 0;
    previous = suspect;
  }
  return outages;
}

// Returns what the suspects with a part have in common, if the part was seen at enough ended
// targets since it was last answered. Targets whose end a quarantine explains count only for a part
// of a quarantine that was never answered: it may be fatal with other parts as well.
std::optional<PromptQuarantine::Hypothesis>
PromptQuarantine::HypothesisFor(std::uint64_t aPart) const
{
  const bool wasAnswered = this->answered.contains(aPart);
  const bool countsExplained = !wasAnswered && this->IsInQuarantine(aPart);
  std::vector<const Suspect*> counted;
  std::set<core::TargetId> targets;
  bool isExplained = true;
  for (const Suspect& suspect : this->suspects) {
    if (!Contains(suspect.parts, aPart) || this->WasAnsweredSince(aPart, suspect.at)) {
      continue;
    }
    const bool isSuspectExplained = this->IsExplained(suspect);
    isExplained = isExplained && isSuspectExplained;
    if (countsExplained || !isSuspectExplained) {
      counted.push_back(&suspect);
      targets.insert(suspect.target);
    }
  }
  const std::size_t required =
    wasAnswered ? this->options.minCrashesIfAnswered : this->options.minCrashes;
  if (isExplained || targets.size() < required) {
    return std::nullopt;
  }
  Hypothesis hypothesis{
    counted.front()->parts, this->CountOutages(counted), targets.size(), counted.front()->at
  };
  for (const Suspect* suspect : counted) {
    hypothesis.common = Intersection(hypothesis.common, suspect->parts);
    hypothesis.firstAt = std::min(hypothesis.firstAt, suspect->at);
  }
  return hypothesis.outages >= required ? std::optional(std::move(hypothesis)) : std::nullopt;
}

// Returns the most specific hypothesis, as a wider one would keep more sound prompts back.
std::optional<PromptQuarantine::Hypothesis>
PromptQuarantine::BestHypothesis(const PartSet& aParts) const
{
  std::optional<Hypothesis> best;
  const auto rank = [](const Hypothesis& aHypothesis) {
    return std::pair(aHypothesis.common.size(), aHypothesis.outages);
  };
  for (const std::uint64_t part : aParts) {
    std::optional<Hypothesis> candidate = this->HypothesisFor(part);
    if (candidate.has_value() && (!best.has_value() || rank(*candidate) > rank(*best))) {
      best = std::move(candidate);
    }
  }
  return best;
}

void
PromptQuarantine::AddQuarantine(Quarantine aQuarantine, std::size_t aCrashes)
{
  std::erase_if(this->quarantines, [&](const Quarantine& aOther) {
    return ContainsAll(aOther.parts, aQuarantine.parts);
  });
  if (this->quarantines.size() < kMaxQuarantines) {
    this->changes.push_back({ aQuarantine.parts, true, aCrashes });
    this->quarantines.push_back(std::move(aQuarantine));
  }
}

// Tests the parts of recent suspects, as nothing else can have become conclusive.
void
PromptQuarantine::Evaluate(core::MonotonicTime aNow)
{
  PartSet parts;
  for (const Suspect& suspect : this->suspects) {
    if (aNow - suspect.at <= kReportedAnswerTime) {
      parts.insert(parts.end(), suspect.parts.begin(), suspect.parts.end());
    }
  }
  SortAndDeduplicate(parts);
  // Each quarantine explains at least one more ended target.
  while (this->quarantines.size() < kMaxQuarantines) {
    const std::optional<Hypothesis> best = this->BestHypothesis(parts);
    if (!best.has_value()) {
      return;
    }
    // Parts that were answered since are not the cause.
    PartSet unanswered;
    for (const std::uint64_t part : best->common) {
      if (!this->WasAnsweredSince(part, best->firstAt)) {
        unanswered.push_back(part);
      }
    }
    this->AddQuarantine({ std::move(unanswered), aNow, aNow, best->outages, true }, best->crashes);
  }
}

// Releases the part sets of which every part was answered since, or before without being known
// here.
void
PromptQuarantine::ReleaseAnswered()
{
  std::erase_if(this->quarantines, [this](const Quarantine& aQuarantine) {
    const auto& parts = aQuarantine.parts;
    const bool isAnswered = std::all_of(parts.begin(), parts.end(), [&](std::uint64_t aPart) {
      return this->WasAnsweredSince(aPart, aQuarantine.since);
    });
    const bool isPremature =
      aQuarantine.outages < this->options.minCrashesIfAnswered && this->WereAnswered(parts);
    if (isAnswered || isPremature) {
      this->changes.push_back({ parts, false, 0 });
    }
    return isAnswered || isPremature;
  });
}

void
PromptQuarantine::RemoveExpired(core::MonotonicTime aNow)
{
  if (aNow - this->prunedAt < kPruneInterval) {
    return;
  }
  this->prunedAt = aNow;
  std::erase_if(this->quarantines, [&](const Quarantine& aQuarantine) {
    const bool isExpired = aNow - aQuarantine.lastSeen >= this->options.lifetime;
    if (isExpired) {
      this->changes.push_back({ aQuarantine.parts, false, 0 });
    }
    return isExpired;
  });
  std::erase_if(this->suspects, [&](const Suspect& aSuspect) {
    return aNow - aSuspect.at >= this->options.lifetime || this->IsCleared(aSuspect);
  });
  PartSet suspected;
  for (const Suspect& suspect : this->suspects) {
    suspected.insert(suspected.end(), suspect.parts.begin(), suspect.parts.end());
  }
  SortAndDeduplicate(suspected);
  std::erase_if(this->answered, [&](const auto& aEntry) {
    return aNow - aEntry.second.at > kAnswerMemory && !Contains(suspected, aEntry.first);
  });
}

std::optional<milliseconds>
PromptQuarantine::TimeLeft(const PromptInfo& aPrompt, core::MonotonicTime aNow)
{
  this->RemoveExpired(aNow);
  if (this->quarantines.empty()) {
    return std::nullopt;
  }
  const PartSet parts = SharedParts(aPrompt);
  for (Quarantine& quarantine : this->quarantines) {
    if (ContainsAll(parts, quarantine.parts)) {
      quarantine.lastSeen = aNow;
      return this->options.lifetime;
    }
  }
  return std::nullopt;
}

std::vector<PartSet>
PromptQuarantine::QuarantinedParts() const
{
  std::vector<PartSet> sets;
  for (const Quarantine& quarantine : this->quarantines) {
    sets.push_back(quarantine.parts);
  }
  return sets;
}

std::vector<PromptQuarantine::Change>
PromptQuarantine::TakeChanges()
{
  return std::exchange(this->changes, {});
}

} // namespace plantainslip::serving
