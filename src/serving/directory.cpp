#include <plantainslip/serving/directory.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace plantainslip::serving {

namespace {

// Whether aLater is a process that started later at the same address. A target without a start time
// is never superseded.
bool
Supersedes(const Target& aLater, const Target& aEarlier)
{
  return aLater.id != aEarlier.id && aLater.address == aEarlier.address &&
         aEarlier.startedAt != 0 && aLater.startedAt > aEarlier.startedAt;
}

} // namespace

void
Directory::RecordDeparture(const Target& aTarget, StorePosition aPosition)
{
  Departure& departure = this->departures[ProcessOf(aTarget)];
  departure.announced = departure.announced || aTarget.leaving;
  departure.position = aPosition;
  if (this->departures.size() > kMaxDepartures) {
    this->departures.erase(std::min_element(
      this->departures.begin(), this->departures.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.position < aRight.second.position;
      }));
  }
}

// Whether an entry of the copy that the store came back from may describe a process that has gone
// since the copy was made.
bool
Directory::IsLeftover(const Target& aTarget, StorePosition aPosition) const
{
  const auto departure = this->departures.find(ProcessOf(aTarget));
  return departure != this->departures.end() && departure->second.position.era < aPosition.era &&
         aPosition <= this->eraListedUpTo;
}

void
Directory::RecordContact(core::MonotonicTime aAt)
{
  if (!this->lastContactAt.has_value()) {
    this->lastContactAt = aAt;
    return;
  }
  if (aAt >= *this->lastContactAt) {
    if (aAt - *this->lastContactAt >= this->minOutage) {
      this->silence = Silence{ *this->lastContactAt, aAt, std::nullopt, this->lastUnansweredAt };
    }
    this->lastContactAt = aAt;
    return;
  }
  if (!this->silence.has_value() || aAt >= this->silence->returnedAt) {
    return;
  }
  const bool wasOutage = this->WasOutage();
  this->silence->lastContactAt = std::max(this->silence->lastContactAt, aAt);
  if (this->silence->returnedAt - this->silence->lastContactAt < this->minOutage) {
    this->silence.reset();
  }
  if (wasOutage && !this->WasOutage()) {
    for (auto& [id, lapse] : this->lapses) {
      lapse.keptUntil = aAt;
    }
  }
}

void
Directory::RecordContact(core::MonotonicTime aAt, StorePosition aUpTo)
{
  this->RecordContact(aAt);
  if (this->silence.has_value() && !this->silence->returnedUpTo.has_value()) {
    this->silence->returnedUpTo = aUpTo;
  }
}

void
Directory::RecordUnansweredCall(core::MonotonicTime aDueAt)
{
  const auto latest = [aDueAt](const std::optional<core::MonotonicTime>& aKnown) {
    return std::max(aKnown.value_or(aDueAt), aDueAt);
  };
  this->lastUnansweredAt = latest(this->lastUnansweredAt);
  if (this->silence.has_value() && aDueAt < this->silence->returnedAt) {
    this->silence->unansweredAt = latest(this->silence->unansweredAt);
  }
}

bool
Directory::WasOutage() const
{
  return this->silence.has_value() && this->silence->unansweredAt.has_value() &&
         *this->silence->unansweredAt >= this->silence->lastContactAt;
}

// Returns until when an entry that the store has removed is kept, as its lease may have expired in
// an outage.
std::optional<core::MonotonicTime>
Directory::LapseEnd(StorePosition aRemoval, core::MonotonicTime aNow) const
{
  if (!this->WasOutage() || aRemoval > this->silence->returnedUpTo.value_or(aRemoval)) {
    return std::nullopt;
  }
  const core::MonotonicTime end = this->silence->returnedAt + kLapseGracePeriod;
  return aNow < end ? std::optional(end) : std::nullopt;
}

// Returns until when an entry is kept that a full list lacks. Targets that registered after a copy
// was made are missing from it until they write again; one that the store removes after that list
// has not lapsed because of the copy.
std::optional<core::MonotonicTime>
Directory::LapseEndInList(StorePosition aList, core::MonotonicTime aNow) const
{
  const std::optional<core::MonotonicTime> afterOutage = this->LapseEnd(aList, aNow);
  if (afterOutage.has_value() || !this->copyListedAt.has_value()) {
    return afterOutage;
  }
  const core::MonotonicTime end = *this->copyListedAt + kLapseGracePeriod;
  return aNow < end ? std::optional(end) : std::nullopt;
}

bool
Directory::Remove(const core::TargetId& aId,
                  StorePosition aPosition,
                  std::optional<core::MonotonicTime> aLapseEnd)
{
  this->leftovers.erase(aId);
  const auto found = this->targets.find(aId);
  if (found == this->targets.end()) {
    return false;
  }
  if (aLapseEnd.has_value()) {
    this->lapses.try_emplace(aId, Lapse{ aPosition, *aLapseEnd });
    return false;
  }
  if (this->lapses.contains(aId)) {
    return false;
  }
  this->RecordDeparture(found->second, aPosition);
  this->targets.erase(found);
  return true;
}

bool
Directory::IsSuperseded(const Target& aTarget) const
{
  return std::any_of(this->targets.begin(), this->targets.end(), [&](const auto& aEntry) {
    return Supersedes(aEntry.second, aTarget);
  });
}

void
Directory::RemoveSuperseded(const Target& aReplacement)
{
  std::erase_if(this->targets, [&](const auto& aEntry) {
    const bool superseded = Supersedes(aReplacement, aEntry.second);
    if (superseded) {
      this->lapses.erase(aEntry.first);
    }
    return superseded;
  });
}

// Lists a target as usable or leaving, in place of those that it supersedes.
bool
Directory::Use(Target aTarget)
{
  const auto found = this->targets.find(aTarget.id);
  if (found != this->targets.end() && found->second == aTarget) {
    return false;
  }
  if (this->IsSuperseded(aTarget)) {
    return this->targets.erase(aTarget.id) > 0;
  }
  this->RemoveSuperseded(aTarget);
  this->targets.insert_or_assign(aTarget.id, std::move(aTarget));
  return true;
}

bool
Directory::Apply(const DirectoryChange& aChange, core::MonotonicTime aNow)
{
  StorePosition& known = this->positions[aChange.id];
  if (aChange.position <= known) {
    return false;
  }
  const StorePosition previous = std::exchange(known, aChange.position);
  if (aChange.removed) {
    return this->Remove(aChange.id, aChange.position, this->LapseEnd(aChange.position, aNow));
  }
  this->lapses.erase(aChange.id);
  this->leftovers.erase(aChange.id);
  if (!aChange.target.has_value()) {
    return this->targets.erase(aChange.id) > 0;
  }
  Target target = *aChange.target;
  const auto departure = this->departures.find(ProcessOf(target));
  if (departure != this->departures.end() && departure->second.announced) {
    // Without a start time, a restart under the same id looks like the same process.
    target.leaving =
      target.leaving || target.startedAt != 0 || previous.era != aChange.position.era;
  } else if (this->IsLeftover(target, aChange.position)) {
    this->leftovers[aChange.id] = { std::move(target), aNow + this->entryLifetime };
    return this->targets.erase(aChange.id) > 0;
  } else if (departure != this->departures.end()) {
    this->departures.erase(departure);
  }
  if (target.leaving) {
    this->RecordDeparture(target, aChange.position);
  }
  return this->Use(std::move(target));
}

bool
Directory::ApplyAll(const std::vector<DirectoryChange>& aEntries,
                    StorePosition aUpTo,
                    core::MonotonicTime aNow)
{
  if (aUpTo.era > this->eraListedUpTo.era) {
    if (this->eraListedUpTo != StorePosition{}) {
      this->copyListedAt = aNow;
    }
    this->eraListedUpTo = aUpTo;
  }
  bool changed = false;
  std::set<core::TargetId> listed;
  for (const DirectoryChange& entry : aEntries) {
    listed.insert(entry.id);
    changed = this->Apply(entry, aNow) || changed;
  }
  std::vector<core::TargetId> missing;
  for (const auto& [id, target] : this->targets) {
    if (!listed.contains(id) && this->positions[id] <= aUpTo) {
      missing.push_back(id);
    }
  }
  for (const core::TargetId& id : missing) {
    this->positions[id] = aUpTo;
    changed = this->Remove(id, aUpTo, this->LapseEndInList(aUpTo, aNow)) || changed;
  }
  std::erase_if(this->leftovers, [&](const auto& aEntry) {
    return !listed.contains(aEntry.first) && this->positions[aEntry.first] <= aUpTo;
  });
  return changed;
}

bool
Directory::ApplyDeadlines(core::MonotonicTime aNow)
{
  bool changed = false;
  std::erase_if(this->lapses, [&](const auto& aEntry) {
    const auto found = this->targets.find(aEntry.first);
    const bool expired = aNow >= aEntry.second.keptUntil;
    if (expired && found != this->targets.end()) {
      this->RecordDeparture(found->second, aEntry.second.position);
      this->targets.erase(found);
      changed = true;
    }
    return expired;
  });
  std::erase_if(this->leftovers, [&](const auto& aEntry) {
    const bool alive = aNow >= aEntry.second.usableFrom;
    changed = (alive && this->Use(aEntry.second.target)) || changed;
    return alive;
  });
  return changed;
}

} // namespace plantainslip::serving
