#include <plantainslip/serving/directory.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace plantainslip::serving {

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
    const Target& other = aEntry.second;
    return other.id != aTarget.id && other.address == aTarget.address && aTarget.startedAt != 0 &&
           other.startedAt > aTarget.startedAt;
  });
}

void
Directory::DropSuperseded(const Target& aBy)
{
  std::erase_if(this->targets, [&](const auto& aEntry) {
    const Target& other = aEntry.second;
    const bool gone = other.id != aBy.id && other.address == aBy.address && other.startedAt != 0 &&
                      aBy.startedAt > other.startedAt;
    if (gone) {
      this->lapsing.erase(other.id);
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
