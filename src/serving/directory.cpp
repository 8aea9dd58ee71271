#include <plantainslip/serving/directory.hpp>

#include <algorithm>
#include <set>

namespace plantainslip::serving {

namespace {

// A process that started later at the same address. Those that do not say when are left alone.
bool
HasTakenOver(const Target& aLater, const Target& aEarlier)
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
  if (this->outageAt.has_value() && aNow - *this->outageAt <= kOutageMemory) {
    this->lapsing.try_emplace(aId, aNow + kLapseGrace);
    return false;
  }
  if (this->lapsing.contains(aId)) {
    return false;
  }
  return this->targets.erase(aId) > 0;
}

bool
Directory::Superseded(const Target& aTarget) const
{
  return std::any_of(this->targets.begin(), this->targets.end(), [&](const auto& aEntry) {
    return HasTakenOver(aEntry.second, aTarget);
  });
}

void
Directory::DropSuperseded(const Target& aBy)
{
  std::erase_if(this->targets, [&](const auto& aEntry) {
    const bool gone = HasTakenOver(aBy, aEntry.second);
    if (gone) {
      this->lapsing.erase(aEntry.first);
    }
    return gone;
  });
}

bool
Directory::Apply(const DirectoryChange& aChange, core::MonotonicTime aNow)
{
  core::Revision& known = this->revisions[aChange.id];
  if (aChange.revision <= known) {
    return false;
  }
  known = aChange.revision;
  if (aChange.removed) {
    return this->Remove(aChange.id, aNow);
  }
  this->lapsing.erase(aChange.id);
  if (!aChange.target.has_value()) {
    return this->targets.erase(aChange.id) > 0;
  }
  const auto found = this->targets.find(aChange.id);
  if (found != this->targets.end() && found->second == *aChange.target) {
    return false;
  }
  if (this->Superseded(*aChange.target)) {
    return this->targets.erase(aChange.id) > 0;
  }
  this->DropSuperseded(*aChange.target);
  this->targets.insert_or_assign(aChange.id, *aChange.target);
  return true;
}

bool
Directory::ApplyAll(const std::vector<DirectoryChange>& aEntries,
                    core::Revision aUpTo,
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
    if (!listed.contains(id) && this->revisions[id] <= aUpTo) {
      missing.push_back(id);
    }
  }
  for (const core::TargetId& id : missing) {
    changed = this->Remove(id, aNow) || changed;
  }
  return changed;
}

bool
Directory::Expire(core::MonotonicTime aNow)
{
  bool changed = false;
  std::erase_if(this->lapsing, [&](const auto& aEntry) {
    const bool over = aNow >= aEntry.second;
    changed = (over && this->targets.erase(aEntry.first) > 0) || changed;
    return over;
  });
  return changed;
}

} // namespace plantainslip::serving
