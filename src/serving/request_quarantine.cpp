#include <plantainslip/serving/request_quarantine.hpp>

#include <algorithm>
#include <iterator>
#include <set>

namespace plantainslip::serving {

namespace {

/// Losses of connections to the same target within this time have the same cause.
constexpr milliseconds kSameCrashWindow{ 1'000 };
/// Targets that end for one reason do so within this time, unless other requests were answered in
/// between.
constexpr milliseconds kSameOutageWindow{ 100 };
/// How long evidence is repeated to peers, whose datagrams may be lost.
constexpr milliseconds kReportTime{ 10'000 };
/// How long the answers to requests with a trait are remembered.
constexpr milliseconds kAnswerMemory{ 60'000 };
/// Answer times that a report covers, and age of the evidence that they can make conclusive:
/// several message intervals.
constexpr milliseconds kReportedAnswerTime{ 1'000 };
constexpr milliseconds kPruneInterval{ 1'000 };
/// Answers closer together are remembered as one.
constexpr milliseconds kAnswerSpacing{ 50 };
constexpr std::size_t kMaxAnswerTimes = 1'024;
/// Max evidence; see RemoveOldestSuspect().
constexpr std::size_t kMaxSuspects = 512;
constexpr std::size_t kMaxQuarantines = 64;
/// Max entries of each list in a report, which must fit into a datagram.
constexpr std::size_t kMaxReported = 48;

bool
Contains(const TraitSet& aTraits, Trait aTrait)
{
  return std::binary_search(aTraits.begin(), aTraits.end(), aTrait);
}

// Returns whether all traits of the second set are in the first.
bool
ContainsAll(const TraitSet& aTraits, const TraitSet& aOthers)
{
  return std::includes(aTraits.begin(), aTraits.end(), aOthers.begin(), aOthers.end());
}

TraitSet
Intersection(const TraitSet& aLeft, const TraitSet& aRight)
{
  TraitSet common;
  std::set_intersection(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), std::back_inserter(common));
  return common;
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

void
RequestQuarantine::AddAnswerTime(const AnswerTime& aTime)
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
RequestQuarantine::HasAnswerBetween(core::MonotonicTime aFrom, core::MonotonicTime aTo) const
{
  const auto next =
    std::upper_bound(this->answerTimes.begin(), this->answerTimes.end(), aFrom, kIsEarlier);
  return next != this->answerTimes.end() && next->at < aTo;
}

bool
RequestQuarantine::WasAnsweredSince(Trait aTrait, core::MonotonicTime aAt) const
{
  const auto found = this->answered.find(aTrait);
  return found != this->answered.end() && found->second.at > aAt;
}

// Returns whether answers to requests with each of the traits are remembered.
bool
RequestQuarantine::WereAnswered(const TraitSet& aTraits) const
{
  return std::all_of(aTraits.begin(), aTraits.end(), [this](Trait aTrait) {
    return this->answered.contains(aTrait);
  });
}

// Tells the peers which of the traits this instance has seen answered since a time.
void
RequestQuarantine::ReportAnswersSince(const TraitSet& aTraits,
                                      core::MonotonicTime aAt,
                                      core::MonotonicTime aNow)
{
  for (const Trait trait : aTraits) {
    const auto found = this->answered.find(trait);
    if (found != this->answered.end() && found->second.ownAt > aAt) {
      found->second.reportedFrom = aNow;
    }
  }
}

void
RequestQuarantine::AddSuspect(const Suspect& aSuspect, core::MonotonicTime aNow)
{
  if (aSuspect.traits.empty() || aNow - aSuspect.at >= this->options.lifetime) {
    return;
  }
  for (Suspect& other : this->suspects) {
    if (IsSameCrash(other, aSuspect) && other.traits == aSuspect.traits) {
      other.isOwn = other.isOwn || aSuspect.isOwn;
      return;
    }
  }
  this->ReportAnswersSince(aSuspect.traits, aSuspect.at, aNow);
  if (!this->IsCleared(aSuspect)) {
    this->suspects.push_back(aSuspect);
  }
  if (this->suspects.size() > kMaxSuspects) {
    this->RemoveOldestSuspect();
  }
}

// Returns whether every part of a suspect's prompt was answered since, so that only the request
// itself is left as a cause.
bool
RequestQuarantine::HasClearedPrompt(const Suspect& aSuspect) const
{
  const auto& traits = aSuspect.traits;
  return std::all_of(traits.begin(), traits.end(), [&](Trait aTrait) {
    return aTrait.IsOfRequest() || this->WasAnsweredSince(aTrait, aSuspect.at);
  });
}

// Removes the oldest suspect that did not come again; they are many, as each bystander is one.
void
RequestQuarantine::RemoveOldestSuspect()
{
  const auto isAlone = [this](const Suspect& aSuspect) {
    return this->HasClearedPrompt(aSuspect) &&
           std::none_of(this->suspects.begin(), this->suspects.end(), [&](const Suspect& aOther) {
             return &aOther != &aSuspect && aOther.traits == aSuspect.traits;
           });
  };
  const auto found = std::find_if(this->suspects.begin(), this->suspects.end(), isAlone);
  this->suspects.erase(found == this->suspects.end() ? this->suspects.begin() : found);
}

void
RequestQuarantine::RecordCrash(const Crash& aCrash,
                               const TraitSet& aTraits,
                               core::MonotonicTime aNow)
{
  this->AddSuspect({ aCrash.target, aTraits, aCrash.at, aCrash.isRepeat, true }, aNow);
  this->Evaluate(aNow);
}

void
RequestQuarantine::RecordAnswer(const TraitSet& aTraits, core::MonotonicTime aNow)
{
  this->AddAnswerTime({ aNow, true });
  for (const Trait trait : aTraits) {
    AnswerRecord& record = this->answered[trait];
    const bool isSuspected =
      std::any_of(this->suspects.begin(), this->suspects.end(), [&](const Suspect& aSuspect) {
        return Contains(aSuspect.traits, trait) && aSuspect.at >= record.at;
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
RequestQuarantine::Merge(const CrashReport& aReport, core::MonotonicTime aNow)
{
  for (const milliseconds age : aReport.answerAges) {
    this->AddAnswerTime({ aNow - age, false });
  }
  for (const CrashReport::Answered& answer : aReport.answered) {
    AnswerRecord& record = this->answered[answer.trait];
    record.at = std::max(record.at, aNow - answer.age);
  }
  for (const CrashReport::Suspect& suspect : aReport.suspects) {
    this->AddSuspect(
      { suspect.target, suspect.traits, aNow - suspect.age, suspect.isRepeat, false }, aNow);
  }
  for (const CrashReport::Quarantined& quarantined : aReport.quarantined) {
    this->Adopt(quarantined, aNow);
  }
  this->ReleaseAnswered();
  this->Evaluate(aNow);
}

void
RequestQuarantine::Adopt(const CrashReport::Quarantined& aQuarantined, core::MonotonicTime aNow)
{
  const TraitSet& traits = aQuarantined.traits;
  const bool isKnown = std::any_of(
    this->quarantines.begin(), this->quarantines.end(), [&](const Quarantine& aQuarantine) {
      return ContainsAll(traits, aQuarantine.traits);
    });
  if (isKnown || aQuarantined.age >= this->options.lifetime) {
    return;
  }
  if (this->WereAnswered(traits)) {
    this->ReportAnswersSince(traits, {}, aNow);
    return;
  }
  this->AddQuarantine({ traits, aNow - aQuarantined.age, aNow, aQuarantined.outages, false }, 0);
}

CrashReport
RequestQuarantine::Report(core::MonotonicTime aNow) const
{
  CrashReport report;
  bool isEvidenceRecent = false;
  // The newest evidence first.
  std::for_each(this->suspects.rbegin(), this->suspects.rend(), [&](const Suspect& aSuspect) {
    const bool isRecent = aNow - aSuspect.at <= kReportTime;
    isEvidenceRecent = isEvidenceRecent || isRecent;
    if (isRecent && aSuspect.isOwn && report.suspects.size() < kMaxReported) {
      report.suspects.push_back(
        { aSuspect.target, aSuspect.traits, Age(aSuspect.at, aNow), aSuspect.isRepeat });
    }
  });
  for (const auto& [trait, record] : this->answered) {
    if (record.reportedFrom.has_value() && aNow - *record.reportedFrom <= kReportTime &&
        report.answered.size() < kMaxReported) {
      report.answered.push_back({ trait, Age(*record.ownAt, aNow) });
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
  const bool reportsAll =
    this->allReportedFrom.has_value() && aNow - *this->allReportedFrom <= kReportTime;
  for (const Quarantine& quarantine : this->quarantines) {
    if (reportsAll || (quarantine.isOwn && aNow - quarantine.since <= kReportTime)) {
      report.quarantined.push_back(
        { quarantine.traits, Age(quarantine.since, aNow), quarantine.outages });
    }
  }
  return report;
}

bool
RequestQuarantine::IsSameCrash(const Suspect& aLeft, const Suspect& aRight)
{
  return aLeft.target == aRight.target &&
         std::chrono::abs(aLeft.at - aRight.at) <= kSameCrashWindow;
}

// Returns whether every trait was answered since.
bool
RequestQuarantine::IsCleared(const Suspect& aSuspect) const
{
  const auto& traits = aSuspect.traits;
  return std::all_of(traits.begin(), traits.end(), [&](Trait aTrait) {
    return this->WasAnsweredSince(aTrait, aSuspect.at);
  });
}

// Returns the suspects that are quarantined by now; they explain the end of their targets.
std::vector<const RequestQuarantine::Suspect*>
RequestQuarantine::QuarantinedSuspects() const
{
  std::vector<const Suspect*> quarantined;
  for (const Suspect& suspect : this->suspects) {
    const bool isQuarantined = std::any_of(
      this->quarantines.begin(), this->quarantines.end(), [&](const Quarantine& aQuarantine) {
        return ContainsAll(suspect.traits, aQuarantine.traits);
      });
    if (isQuarantined) {
      quarantined.push_back(&suspect);
    }
  }
  return quarantined;
}

// Returns the number of ended targets, not explained by a quarantine, from which a trait of a
// quarantine that was never answered is taken for the cause without the quarantine's other traits;
// zero for a trait of none. One is enough among prompts; if it was always the same request, one
// more may have been a bystander's.
std::size_t
RequestQuarantine::CrashesToWiden(Trait aTrait) const
{
  std::size_t crashes = 0;
  for (const Quarantine& quarantine : this->quarantines) {
    if (Contains(quarantine.traits, aTrait)) {
      const bool isOfRequest = std::any_of(quarantine.traits.begin(),
                                           quarantine.traits.end(),
                                           [](Trait aOther) { return aOther.IsOfRequest(); });
      const std::size_t required = isOfRequest ? 2 : 1;
      crashes = crashes == 0 ? required : std::min(crashes, required);
    }
  }
  return crashes;
}

std::size_t
RequestQuarantine::CountOutages(std::vector<const Suspect*> aSuspects, Trait aTrait) const
{
  std::sort(aSuspects.begin(), aSuspects.end(), [](const Suspect* aLeft, const Suspect* aRight) {
    return aLeft->at < aRight->at;
  });
  std::size_t outages = 0;
  const Suspect* previous = nullptr;
  for (const Suspect* suspect : aSuspects) {
    // A request that comes again was sent after the target before had ended.
    const bool cameAgain =
      previous != nullptr && aTrait.IsOfRequest() && suspect->at - previous->at > kSameOutageWindow;
    const bool isNew =
      previous == nullptr ||
      (suspect->target != previous->target &&
       (suspect->isRepeat || cameAgain || this->HasAnswerBetween(previous->at, suspect->at)));
    outages += isNew ? 1 : 0;
    previous = suspect;
  }
  return outages;
}

// Returns what the suspects with a trait have in common, if the trait was seen at enough ended
// targets since it was last answered. Targets whose end a quarantine explains count only for a
// trait of a quarantine that was never answered: it may be fatal with other traits as well.
std::optional<RequestQuarantine::Hypothesis>
RequestQuarantine::HypothesisFor(Trait aTrait,
                                 const std::vector<const Suspect*>& aQuarantined) const
{
  const bool wasAnswered = this->answered.contains(aTrait);
  const std::size_t crashesToWiden = wasAnswered ? 0 : this->CrashesToWiden(aTrait);
  std::vector<const Suspect*> counted;
  std::set<core::TargetId> targets;
  std::set<core::TargetId> unexplainedTargets;
  for (const Suspect& suspect : this->suspects) {
    if (!Contains(suspect.traits, aTrait) || this->WasAnsweredSince(aTrait, suspect.at)) {
      continue;
    }
    const bool isExplained =
      std::any_of(aQuarantined.begin(), aQuarantined.end(), [&](const Suspect* aOther) {
        return IsSameCrash(*aOther, suspect);
      });
    if (!isExplained) {
      unexplainedTargets.insert(suspect.target);
    }
    if (crashesToWiden > 0 || !isExplained) {
      counted.push_back(&suspect);
      targets.insert(suspect.target);
    }
  }
  const std::size_t required =
    wasAnswered ? this->options.minCrashesIfAnswered : this->options.minCrashes;
  const std::size_t requiredUnexplained = std::max<std::size_t>(1, crashesToWiden);
  if (unexplainedTargets.size() < requiredUnexplained || targets.size() < required) {
    return std::nullopt;
  }
  Hypothesis hypothesis{ counted.front()->traits,
                         this->CountOutages(counted, aTrait),
                         targets.size(),
                         counted.front()->at };
  for (const Suspect* suspect : counted) {
    hypothesis.common = Intersection(hypothesis.common, suspect->traits);
    hypothesis.firstAt = std::min(hypothesis.firstAt, suspect->at);
  }
  return hypothesis.outages >= required ? std::optional(std::move(hypothesis)) : std::nullopt;
}

// Returns the most specific hypothesis, as a wider one would keep more sound requests back.
std::optional<RequestQuarantine::Hypothesis>
RequestQuarantine::BestHypothesis(const TraitSet& aTraits) const
{
  std::optional<Hypothesis> best;
  const std::vector<const Suspect*> quarantined = this->QuarantinedSuspects();
  const auto rank = [](const Hypothesis& aHypothesis) {
    return std::pair(aHypothesis.common.size(), aHypothesis.outages);
  };
  for (const Trait trait : aTraits) {
    std::optional<Hypothesis> candidate = this->HypothesisFor(trait, quarantined);
    if (candidate.has_value() && (!best.has_value() || rank(*candidate) > rank(*best))) {
      best = std::move(candidate);
    }
  }
  return best;
}

void
RequestQuarantine::AddQuarantine(Quarantine aQuarantine, std::size_t aCrashes)
{
  std::erase_if(this->quarantines, [&](const Quarantine& aOther) {
    return ContainsAll(aOther.traits, aQuarantine.traits);
  });
  if (this->quarantines.size() < kMaxQuarantines) {
    this->changes.push_back({ aQuarantine.traits, true, aCrashes });
    this->quarantines.push_back(std::move(aQuarantine));
  }
}

// Returns the traits that several suspects have, one of them recent.
TraitSet
RequestQuarantine::RecentlyRepeatedTraits(core::MonotonicTime aNow) const
{
  std::map<Trait, std::size_t> counts;
  for (const Suspect& suspect : this->suspects) {
    if (aNow - suspect.at <= kReportedAnswerTime) {
      for (const Trait trait : suspect.traits) {
        counts.try_emplace(trait, 0);
      }
    }
  }
  for (const Suspect& suspect : this->suspects) {
    for (const Trait trait : suspect.traits) {
      if (const auto found = counts.find(trait); found != counts.end()) {
        ++found->second;
      }
    }
  }
  TraitSet repeated;
  for (const auto& [trait, count] : counts) {
    if (count >= this->options.minCrashes) {
      repeated.push_back(trait);
    }
  }
  return repeated;
}

// Tests the traits of recent suspects, as nothing else can have become conclusive.
void
RequestQuarantine::Evaluate(core::MonotonicTime aNow)
{
  const TraitSet traits = this->RecentlyRepeatedTraits(aNow);
  if (traits.empty()) {
    return;
  }
  // Each quarantine explains at least one more ended target.
  while (this->quarantines.size() < kMaxQuarantines) {
    const std::optional<Hypothesis> best = this->BestHypothesis(traits);
    if (!best.has_value()) {
      return;
    }
    // Traits that were answered since are not the cause.
    TraitSet unanswered;
    for (const Trait trait : best->common) {
      if (!this->WasAnsweredSince(trait, best->firstAt)) {
        unanswered.push_back(trait);
      }
    }
    this->AddQuarantine({ std::move(unanswered), aNow, aNow, best->outages, true }, best->crashes);
  }
}

// Releases the trait sets of which every trait was answered since, or before without being known
// here.
void
RequestQuarantine::ReleaseAnswered()
{
  std::erase_if(this->quarantines, [this](const Quarantine& aQuarantine) {
    const auto& traits = aQuarantine.traits;
    const bool isAnswered = std::all_of(traits.begin(), traits.end(), [&](Trait aTrait) {
      return this->WasAnsweredSince(aTrait, aQuarantine.since);
    });
    const bool isPremature =
      aQuarantine.outages < this->options.minCrashesIfAnswered && this->WereAnswered(traits);
    if (isAnswered || isPremature) {
      this->changes.push_back({ traits, false, 0 });
    }
    return isAnswered || isPremature;
  });
}

void
RequestQuarantine::RemoveExpired(core::MonotonicTime aNow)
{
  if (aNow - this->prunedAt < kPruneInterval) {
    return;
  }
  this->prunedAt = aNow;
  std::erase_if(this->quarantines, [&](const Quarantine& aQuarantine) {
    const bool isExpired = aNow - aQuarantine.lastSeen >= this->options.lifetime;
    if (isExpired) {
      this->changes.push_back({ aQuarantine.traits, false, 0 });
    }
    return isExpired;
  });
  std::erase_if(this->suspects, [&](const Suspect& aSuspect) {
    return aNow - aSuspect.at >= this->options.lifetime || this->IsCleared(aSuspect);
  });
  TraitSet suspected;
  for (const Suspect& suspect : this->suspects) {
    suspected.insert(suspected.end(), suspect.traits.begin(), suspect.traits.end());
  }
  std::sort(suspected.begin(), suspected.end());
  std::erase_if(this->answered, [&](const auto& aEntry) {
    return aNow - aEntry.second.at > kAnswerMemory && !Contains(suspected, aEntry.first);
  });
}

std::optional<milliseconds>
RequestQuarantine::TimeLeft(const TraitSet& aTraits, core::MonotonicTime aNow)
{
  this->RemoveExpired(aNow);
  if (this->quarantines.empty()) {
    return std::nullopt;
  }
  for (Quarantine& quarantine : this->quarantines) {
    if (ContainsAll(aTraits, quarantine.traits)) {
      quarantine.lastSeen = aNow;
      return this->options.lifetime;
    }
  }
  return std::nullopt;
}

std::vector<TraitSet>
RequestQuarantine::QuarantinedTraits() const
{
  std::vector<TraitSet> sets;
  for (const Quarantine& quarantine : this->quarantines) {
    sets.push_back(quarantine.traits);
  }
  return sets;
}

std::vector<RequestQuarantine::Change>
RequestQuarantine::TakeChanges()
{
  return std::exchange(this->changes, {});
}

} // namespace plantainslip::serving
