#include <plantainslip/serving/target_notices.hpp>

#include <algorithm>

namespace plantainslip::serving {

bool
TargetNotices::RecordLeaving(const TargetProcess& aProcess, core::MonotonicTime aNow)
{
  if (!this->leaving.try_emplace(aProcess, aNow).second) {
    return false;
  }
  if (this->leaving.size() > kMaxLeaving) {
    this->leaving.erase(std::min_element(
      this->leaving.begin(), this->leaving.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      }));
  }
  return true;
}

std::optional<core::MonotonicTime>
TargetNotices::LeavingSince(const TargetProcess& aProcess) const
{
  const auto found = this->leaving.find(aProcess);
  return found == this->leaving.end() ? std::nullopt
                                      : std::optional<core::MonotonicTime>(found->second);
}

void
TargetNotices::RecordPause(const TargetProcess& aProcess,
                           milliseconds aDuration,
                           core::MonotonicTime aNow)
{
  std::erase_if(this->pausedUntil, [&](const auto& aEntry) { return aEntry.second <= aNow; });
  core::MonotonicTime& until = this->pausedUntil[aProcess];
  until = std::max(until, aNow + aDuration);
}

milliseconds
TargetNotices::PauseLeft(const TargetProcess& aProcess, core::MonotonicTime aNow) const
{
  const auto found = this->pausedUntil.find(aProcess);
  return found == this->pausedUntil.end() || found->second <= aNow
           ? milliseconds(0)
           : std::chrono::ceil<milliseconds>(found->second - aNow);
}

std::vector<TargetProcess>
TargetNotices::NewsFor(const std::map<core::TargetId, Target>& aListed) const
{
  std::vector<TargetProcess> news;
  for (const auto& [process, since] : this->leaving) {
    const auto found = aListed.find(process.id);
    if (found != aListed.end() && !found->second.leaving && ProcessOf(found->second) == process) {
      news.push_back(process);
    }
  }
  return news;
}

} // namespace plantainslip::serving
