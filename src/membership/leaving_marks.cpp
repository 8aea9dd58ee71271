#include <plantainslip/membership/leaving_marks.hpp>

namespace plantainslip::membership {

bool
LeavingMarks::Merge(const LeavingMark& aMark)
{
  Entry& entry = this->marks[aMark.name];
  const bool unknown = entry.mark.name.empty();
  const bool newer = aMark.version > entry.mark.version;
  const bool stricter = aMark.version == entry.mark.version && aMark.leaving && !entry.mark.leaving;
  if (!unknown && !newer && !stricter) {
    return false;
  }
  entry.mark = aMark;
  entry.hasConfirmation = false;
  return true;
}

std::vector<LeavingMark>
LeavingMarks::ApplyList(const std::vector<platform::ListedInstance>& aList,
                        core::MonotonicTime aNow)
{
  std::vector<LeavingMark> changed;
  for (const platform::ListedInstance& listed : aList) {
    const auto found = this->marks.find(listed.name);
    const bool marked = found != this->marks.end() && found->second.mark.leaving;
    if (listed.leaving && !marked) {
      const std::uint64_t last = found == this->marks.end() ? 0 : found->second.mark.version;
      changed.push_back({ listed.name, last + 1, true });
      continue;
    }
    if (!marked) {
      continue;
    }
    Entry& entry = found->second;
    if (listed.leaving || !entry.hasConfirmation) {
      entry.confirmedAt = aNow;
      entry.hasConfirmation = true;
    } else if (aNow - entry.confirmedAt >= kMarkClearDelay) {
      changed.push_back({ listed.name, entry.mark.version + 1, false });
    }
  }
  for (const LeavingMark& mark : changed) {
    this->Merge(mark);
  }
  return changed;
}

bool
LeavingMarks::IsLeaving(const std::string& aName) const
{
  const auto found = this->marks.find(aName);
  return found != this->marks.end() && found->second.mark.leaving;
}

std::vector<LeavingMark>
LeavingMarks::All() const
{
  std::vector<LeavingMark> all;
  all.reserve(this->marks.size());
  for (const auto& [name, entry] : this->marks) {
    all.push_back(entry.mark);
  }
  return all;
}

} // namespace plantainslip::membership
