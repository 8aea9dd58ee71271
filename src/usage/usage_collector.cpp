#include <plantainslip/usage/usage_collector.hpp>

namespace plantainslip::usage {

WindowState
JudgeWindow(const WindowRules& aRules,
            Window aWindow,
            FleetTime aNow,
            std::size_t aMissingInstances)
{
  const milliseconds sinceEnd = aNow - aRules.End(aWindow);
  if (sinceEnd.count() < 0) {
    return WindowState::kOpen;
  }
  if (sinceEnd > aRules.due + WindowRules::kMaxAge) {
    return WindowState::kExpired;
  }
  return aMissingInstances == 0 || sinceEnd >= aRules.MaxWait() ? WindowState::kReady
                                                                : WindowState::kOpen;
}

bool
UsageCollector::Merge(const CountsMessage& aMessage, FleetTime aNow)
{
  const bool isOwn = aMessage.sender == aMessage.process.instance;
  const auto [entry, isNew] = this->records.try_emplace(aMessage.process);
  Record& record = entry->second;
  if (isNew) {
    record.merged.process = aMessage.process;
  }
  record.updatedAt = aNow;
  if (isOwn) {
    record.heardAt = aNow;
    record.merged.uptime = aMessage.uptime;
    record.merged.wallNow = aMessage.wallNow;
    const FleetTime startedAt = aNow - aMessage.uptime;
    this->fleetStart = std::min(this->fleetStart.value_or(startedAt), startedAt);
  }
  record.merged.completeBefore = std::max(record.merged.completeBefore, aMessage.completeBefore);
  for (const auto& [window, total] : aMessage.totals) {
    std::uint64_t& known = record.merged.totals[window];
    known = std::max(known, total);
  }
  for (const auto& [window, counts] : aMessage.counts) {
    for (const auto& [workspace, count] : counts) {
      std::uint64_t& known = record.merged.counts[window][workspace];
      known = std::max(known, count);
    }
  }
  const bool replies = isOwn && (isNew || aNow - record.repliedAt >= kReplyInterval);
  record.repliedAt = replies ? aNow : record.repliedAt;
  return replies;
}

// The parts of a table may arrive separately, so its sum tells whether all have.
bool
UsageCollector::IsComplete(const Record& aRecord, Window aWindow)
{
  if (aRecord.merged.completeBefore <= aWindow) {
    return false;
  }
  const auto total = aRecord.merged.totals.find(aWindow);
  if (total == aRecord.merged.totals.end()) {
    return true;
  }
  std::uint64_t sum = 0;
  if (const auto counts = aRecord.merged.counts.find(aWindow);
      counts != aRecord.merged.counts.end()) {
    for (const auto& [workspace, count] : counts->second) {
      sum += count;
    }
  }
  return sum >= total->second;
}

std::size_t
UsageCollector::CountMissing(Window aWindow, const std::vector<core::InstanceId>& aLive) const
{
  return static_cast<std::size_t>(
    std::count_if(aLive.begin(), aLive.end(), [&](const core::InstanceId& aInstance) {
      // Processes are ordered by instance; any process of it may be the live one.
      for (auto record = this->records.lower_bound({ aInstance, 0 });
           record != this->records.end() && record->first.instance == aInstance;
           ++record) {
        if (IsComplete(record->second, aWindow)) {
          return false;
        }
      }
      return true;
    }));
}

Counts
UsageCollector::Sum(Window aWindow) const
{
  Counts sum;
  for (const auto& [process, record] : this->records) {
    if (const auto counts = record.merged.counts.find(aWindow);
        counts != record.merged.counts.end()) {
      for (const auto& [workspace, count] : counts->second) {
        sum[workspace] += count;
      }
    }
  }
  return sum;
}

std::vector<ClosedWindow>
UsageCollector::Close(FleetTime aNow, const std::vector<core::InstanceId>& aLive)
{
  std::vector<ClosedWindow> ready;
  if (!this->fleetStart.has_value()) {
    return ready;
  }
  const Window first = std::max(this->doneBefore, this->rules.FirstFrom(*this->fleetStart));
  for (Window window = first; this->rules.End(window) <= aNow; window = window.Next()) {
    auto found = this->closed.find(window);
    const bool isClosed = found != this->closed.end();
    const std::size_t missing =
      isClosed ? found->second.missingInstances : this->CountMissing(window, aLive);
    const WindowState state = JudgeWindow(this->rules, window, aNow, missing);
    if (state == WindowState::kExpired) {
      ++this->missed;
      this->doneBefore = window.Next();
      continue;
    }
    if (state == WindowState::kReady && !isClosed) {
      ClosedWindow closing{ window, std::make_shared<const Counts>(this->Sum(window)), missing };
      found = this->closed.emplace(window, std::move(closing)).first;
    }
    if (found != this->closed.end()) {
      ready.push_back(found->second);
    }
  }
  return ready;
}

void
UsageCollector::SetDone(Window aBefore)
{
  this->doneBefore = std::max(this->doneBefore, aBefore);
  this->closed.erase(this->closed.begin(), this->closed.lower_bound(this->doneBefore));
}

std::uint64_t
UsageCollector::TakeMissed()
{
  return std::exchange(this->missed, 0);
}

std::vector<CountsMessage>
UsageCollector::CountsOfSilent(FleetTime aNow) const
{
  std::vector<CountsMessage> silent;
  for (const auto& [process, record] : this->records) {
    if (aNow - record.heardAt > kSilence && !record.merged.totals.empty()) {
      silent.push_back(record.merged);
    }
  }
  return silent;
}

void
UsageCollector::Prune(FleetTime aNow)
{
  const milliseconds maxAge = this->rules.due + WindowRules::kMaxAge;
  const Window oldest = std::max(this->doneBefore, this->rules.At(aNow - maxAge));
  for (auto& [process, record] : this->records) {
    CountsMessage& merged = record.merged;
    merged.totals.erase(merged.totals.begin(), merged.totals.lower_bound(oldest));
    merged.counts.erase(merged.counts.begin(), merged.counts.lower_bound(oldest));
  }
  std::erase_if(this->records,
                [&](const auto& aEntry) { return aNow - aEntry.second.updatedAt > maxAge; });
}

} // namespace plantainslip::usage
