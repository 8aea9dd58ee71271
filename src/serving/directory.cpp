#include <plantainslip/serving/directory.hpp>

#include <algorithm>
#include <set>

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

bool
Directory::Remove(const core::TargetId& aId, core::MonotonicTime aNow)
{
  if (!this->targets.contains(aId)) {
    return false;
  }
  if (this->outageAt.has_value() && aNow - *this->outageAt <= kOutageWindow) {
    this->graceDeadlines.try_emplace(aId, aNow + kLapseGracePeriod);
    return false;
  }
  if (this->graceDeadlines.contains(aId)) {
    return false;
  }
  return this->targets.erase(aId) > 0;
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
      this->graceDeadlines.erase(aEntry.first);
    }
    return superseded;
  });
}

bool
Directory::Apply(const DirectoryChange& aChange, core::MonotonicTime aNow)
{
  StorePosition& known = this->positions[aChange.id];
  if (aChange.position <= known) {
    return false;
  }
  known = aChange.position;
  if (aChange.removed) {
    return this->Remove(aChange.id, aNow);
  }
  this->graceDeadlines.erase(aChange.id);
  if (!aChange.target.has_value()) {
    return this->targets.erase(aChange.id) > 0;
  }
  const auto found = this->targets.find(aChange.id);
  if (found != this->targets.end() && found->second == *aChange.target) {
    return false;
  }
  if (this->IsSuperseded(*aChange.target)) {
    return this->targets.erase(aChange.id) > 0;
  }
  this->RemoveSuperseded(*aChange.target);
  this->targets.insert_or_assign(aChange.id, *aChange.target);
  return true;
}

bool
Directory::ApplyAll(const std::vector<DirectoryChange>& aEntries,
                    StorePosition aUpTo,
                    core::MonotonicTime aNow)
{
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
    changed = this->Remove(id, aNow) || changed;
  }
  return changed;
}

bool
Directory::RemoveLapsed(core::MonotonicTime aNow)
{
  bool changed = false;
  std::erase_if(this->graceDeadlines, [&](const auto& aEntry) {
    const bool expired = aNow >= aEntry.second;
    changed = (expired && this->targets.erase(aEntry.first) > 0) || changed;
    return expired;
  });
  return changed;
}

} // namespace plantainslip::serving
