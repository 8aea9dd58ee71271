#include <plantainslip/control/report_exchange.hpp>

#include <algorithm>

#include <xxhash.h>

namespace plantainslip::control {

namespace {

std::uint64_t
RendezvousWeight(const core::InstanceId& aInstance, std::uint32_t aTargetHash)
{
  return XXH64(aInstance.Text().data(), aInstance.Text().size(), aTargetHash);
}

std::uint16_t
Saturate(std::uint64_t aValue)
{
  return static_cast<std::uint16_t>(std::min<std::uint64_t>(aValue, UINT16_MAX));
}

} // namespace

ReportExchange::ReportExchange(core::InstanceId aSelf, ReportExchangeOptions aOptions)
  : self(std::move(aSelf))
  , options(aOptions)
{
}

void
ReportExchange::SetFleet(const std::vector<core::InstanceId>& aInstances,
                         const std::vector<core::TargetId>& aEngines)
{
  std::map<std::uint32_t, Engine> next;
  for (const core::TargetId& target : aEngines) {
    const std::uint32_t hash = HashTarget(target);
    const auto found = this->engines.find(hash);
    Engine engine = found == this->engines.end() ? Engine() : std::move(found->second);
    engine.target = target;
    const std::uint64_t ownWeight = RendezvousWeight(this->self, hash);
    engine.owned =
      std::none_of(aInstances.begin(), aInstances.end(), [&](const core::InstanceId& aOther) {
        return aOther != this->self && RendezvousWeight(aOther, hash) > ownWeight;
      });
    next.emplace(hash, std::move(engine));
  }
  this->engines = std::move(next);
}

std::vector<core::TargetId>
ReportExchange::StartDuePolls(core::MonotonicTime aNow)
{
  std::vector<core::TargetId> due;
  for (auto& [hash, engine] : this->engines) {
    const bool stale = !engine.known || aNow - engine.reportedAt > this->options.staleAge;
    const bool shouldPoll = engine.owned || stale || engine.outdated;
    if (shouldPoll && !engine.polling && aNow >= engine.pollAt) {
      engine.polling = true;
      engine.pollAt = aNow + this->options.pollInterval;
      due.push_back(engine.target);
    }
  }
  return due;
}

void
ReportExchange::SetPolledReport(const core::TargetId& aTarget,
                                const targets::EngineReport& aReport,
                                core::MonotonicTime aNow)
{
  Engine* engine = this->FindByHash(HashTarget(aTarget));
  if (engine == nullptr) {
    return;
  }
  engine->report = aReport;
  engine->identity = HashIdentity(aReport);
  engine->reportedAt = aNow;
  engine->known = true;
  engine->outdated = false;
  engine->polling = false;
}

void
ReportExchange::SetUnreachable(const core::TargetId& aTarget, core::MonotonicTime aNow)
{
  Engine* engine = this->FindByHash(HashTarget(aTarget));
  if (engine == nullptr) {
    return;
  }
  engine->report.reset();
  engine->identity = 0;
  engine->reportedAt = aNow;
  engine->known = true;
  engine->outdated = false;
  engine->polling = false;
}

bool
ReportExchange::MergeRecords(const std::vector<LoadRecord>& aRecords, core::MonotonicTime aNow)
{
  bool changed = false;
  for (const LoadRecord& record : aRecords) {
    Engine* engine = this->FindByHash(record.target);
    if (engine != nullptr) {
      changed = this->MergeRecord(*engine, record, aNow) || changed;
    }
  }
  return changed;
}

bool
ReportExchange::MergeRecord(Engine& aEngine,
                            const LoadRecord& aRecord,
                            core::MonotonicTime aNow) const
{
  const core::MonotonicTime reportedAt = aNow - aRecord.age;
  if (aEngine.known && reportedAt <= aEngine.reportedAt) {
    return false;
  }
  aEngine.known = true;
  aEngine.reportedAt = reportedAt;
  if (aRecord.identity == 0) {
    aEngine.report.reset();
    aEngine.identity = 0;
    return true;
  }
  if (!aEngine.report.has_value() || aRecord.identity != aEngine.identity) {
    // A record contains only a hash of the identity. If that has changed, or there is no report,
    // the engine itself must be polled.
    aEngine.outdated = true;
    return false;
  }
  aEngine.report->running = aRecord.running;
  aEngine.report->queued = aRecord.queued;
  aEngine.report->queuedPrefill = core::TokenCount(aRecord.queuedPrefill);
  return true;
}

std::vector<LoadRecord>
ReportExchange::MakeRecords(core::MonotonicTime aNow) const
{
  std::vector<LoadRecord> records;
  for (const auto& [hash, engine] : this->engines) {
    const bool shareable =
      engine.known && !engine.outdated && aNow - engine.reportedAt <= this->options.maxForwardAge;
    if (!shareable) {
      continue;
    }
    LoadRecord record;
    record.target = hash;
    record.identity = engine.identity;
    record.age = std::chrono::duration_cast<std::chrono::milliseconds>(aNow - engine.reportedAt);
    if (engine.report.has_value()) {
      record.running = Saturate(engine.report->running);
      record.queued = Saturate(engine.report->queued);
      record.queuedPrefill = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(engine.report->queuedPrefill.Number(), UINT32_MAX));
    }
    records.push_back(record);
  }
  return records;
}

std::optional<TimedReport>
ReportExchange::Find(const core::TargetId& aTarget) const
{
  const auto found = this->engines.find(HashTarget(aTarget));
  if (found == this->engines.end() || !found->second.report.has_value()) {
    return std::nullopt;
  }
  return TimedReport{ *found->second.report, found->second.reportedAt };
}

bool
ReportExchange::Owns(const core::TargetId& aTarget) const
{
  const auto found = this->engines.find(HashTarget(aTarget));
  return found != this->engines.end() && found->second.owned;
}

ReportExchange::Engine*
ReportExchange::FindByHash(std::uint32_t aHash)
{
  const auto found = this->engines.find(aHash);
  return found == this->engines.end() ? nullptr : &found->second;
}

} // namespace plantainslip::control
