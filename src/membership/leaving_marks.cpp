#include <plantainslip/membership/leaving_marks.hpp>

namespace plantainslip::membership {

bool
LeavingMarks::Adopt(const LeavingMark& aMark)
{
  Kept& kept = this->marks[aMark.name];
  const bool unknown = kept.mark.name.empty();
  const bool newer = aMark.version > kept.mark.version;
  const bool stricter = aMark.version == kept.mark.version && aMark.leaving && !kept.mark.leaving;
  if (!unknown && !newer && !stricter) {
    return false;
  }
  kept.mark = aMark;
  kept.confirmed = false;
  return true;
}

std::vector<LeavingMark>
LeavingMarks::Observe(const std::vector<platform::ListedInstance>& aList, core::MonotonicTime aNow)
{
  std::vector<LeavingMark> made;
  for (const platform::ListedInstance& listed : aList) {
    const auto found = this->marks.find(listed.name);
    const bool marked = found != this->marks.end() && found->second.mark.leaving;
    if (listed.leaving && !marked) {
      const std::uint64_t last = found == this->marks.end() ? 0 : found->second.mark.version;
      made.push_back({ listed.name, last + 1, true });
      continue;
    }
    if (!marked) {
      continue;
    }
    Kept& kept = found->second;
    if (listed.leaving || !kept.confirmed) {
      kept.confirmedAt = aNow;
      kept.confirmed = true;
    } else if (aNow - kept.confirmedAt >= kLiftMarkAfter) {
      made.push_back({ listed.name, kept.mark.version + 1, false });
    }
  }
  for (const LeavingMark& mark : made) {
    this->Adopt(mark);
  }
  return made;
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
  for (const auto& [name, kept] : this->marks) {
    all.push_back(kept.mark);
  }
  return all;
}

} // namespace plantainslip::membership
