#include <plantainslip/serving/stage_demand.hpp>

#include <algorithm>
#include <cmath>

namespace plantainslip::serving {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;
constexpr double kMillisecondsPerSecond = 1'000.0;

} // namespace

void
DemandTotals::Add(const DemandTotals& aOther, double aFactor)
{
  this->prompts += aFactor * aOther.prompts;
  this->prefillMs += aFactor * aOther.prefillMs;
  this->slackMs += aFactor * aOther.slackMs;
  this->handoverTokens += aFactor * aOther.handoverTokens;
  this->prefillLate += aFactor * aOther.prefillLate;
  this->decodeLate += aFactor * aOther.decodeLate;
  this->streamMs += aFactor * aOther.streamMs;
  this->streamTokenMs += aFactor * aOther.streamTokenMs;
}

DemandTotals
DemandMeter::Record::IntegratedTotals(core::MonotonicTime aNow) const
{
  DemandTotals integrated = this->totals;
  const double elapsedMs = Milliseconds(aNow - this->integratedAt).count();
  integrated.streamMs += this->openStreams * elapsedMs;
  integrated.streamTokenMs += this->openTokens * elapsedMs;
  return integrated;
}

void
DemandMeter::Record::Integrate(core::MonotonicTime aNow)
{
  this->totals = this->IntegratedTotals(aNow);
  this->integratedAt = aNow;
}

void
DemandMeter::AddPrompt(const core::ServiceName& aService, double aPrefillMs, milliseconds aSlack)
{
  DemandTotals& totals = this->records[aService].totals;
  totals.prompts += 1.0;
  totals.prefillMs += aPrefillMs;
  totals.slackMs += std::max(0.0, static_cast<double>(aSlack.count()));
}

void
DemandMeter::AddLate(const core::ServiceName& aService, double aPrefillPart, double aDecodePart)
{
  DemandTotals& totals = this->records[aService].totals;
  totals.prefillLate += aPrefillPart;
  totals.decodeLate += aDecodePart;
}

void
DemandMeter::BeginStream(const core::ServiceName& aService,
                         std::uint64_t aPromptTokens,
                         bool aHandover,
                         core::MonotonicTime aNow)
{
  Record& record = this->records[aService];
  record.Integrate(aNow);
  const auto tokens = static_cast<double>(aPromptTokens);
  record.openStreams += 1.0;
  record.openTokens += tokens;
  record.totals.handoverTokens += aHandover ? tokens : 0.0;
}

void
DemandMeter::EndStream(const core::ServiceName& aService,
                       std::uint64_t aPromptTokens,
                       core::MonotonicTime aNow)
{
  Record& record = this->records[aService];
  record.Integrate(aNow);
  record.openStreams -= 1.0;
  record.openTokens -= static_cast<double>(aPromptTokens);
}

DemandTable
DemandMeter::Totals(core::MonotonicTime aNow) const
{
  DemandTable totals;
  for (const auto& [service, record] : this->records) {
    totals[service] = record.IntegratedTotals(aNow);
  }
  return totals;
}

void
FleetDemand::SetReport(const core::InstanceId& aInstance,
                       const DemandTable& aTotals,
                       const core::ZoneId& aZone)
{
  for (const auto& [service, totals] : aTotals) {
    this->hasTraffic = this->hasTraffic || totals.prompts > 0.0;
  }
  const auto [found, isNew] = this->reports.try_emplace(aInstance, aTotals);
  if (isNew) {
    return;
  }
  for (const auto& [service, totals] : aTotals) {
    DemandTotals& before = found->second[service];
    const bool restarted = totals.prompts < before.prompts || totals.streamMs < before.streamMs;
    for (DemandTotals* total : { &this->sum[service], &this->zoneSums[aZone][service] }) {
      total->Add(totals);
      if (!restarted) {
        total->Add(before, -1.0);
      }
    }
    before = totals;
  }
}

void
DemandEstimator::Update(const DemandTotals& aTotals, core::MonotonicTime aNow)
{
  if (!this->lastAt.has_value()) {
    this->last = aTotals;
    this->lastAt = aNow;
    return;
  }
  const Milliseconds elapsed = aNow - *this->lastAt;
  if (elapsed < kMinInterval) {
    return;
  }
  if (!this->trafficSince.has_value() && aTotals.prompts > this->last.prompts) {
    this->trafficSince = this->lastAt;
  }
  if (this->trafficSince.has_value()) {
    const double share = 1.0 - std::exp(-elapsed / Milliseconds(kTimeConstant));
    DemandTotals growth = aTotals;
    growth.Add(this->last, -1.0);
    this->rates.Add(this->rates, -share);
    this->rates.Add(growth, share * kMillisecondsPerSecond / elapsed.count());
    this->weight += share * (1.0 - this->weight);
  }
  this->last = aTotals;
  this->lastAt = aNow;
}

std::optional<StageDemand>
DemandEstimator::Current() const
{
  if (!this->trafficSince.has_value() || *this->lastAt - *this->trafficSince < kMinObservation ||
      this->rates.prompts <= 0.0) {
    return std::nullopt;
  }
  StageDemand demand;
  demand.promptsPerSecond = this->rates.prompts / this->weight;
  demand.busyPrefillEngines = this->rates.prefillMs / this->weight / kMillisecondsPerSecond;
  demand.meanPrefillMs = this->rates.prefillMs / this->rates.prompts;
  demand.meanSlackMs = this->rates.slackMs / this->rates.prompts;
  demand.openStreams = this->rates.streamMs / this->weight / kMillisecondsPerSecond;
  demand.streamTokens = this->rates.streamTokenMs / this->weight / kMillisecondsPerSecond;
  demand.handoverTokensPerSecond = this->rates.handoverTokens / this->weight;
  demand.prefillLateShare = std::min(1.0, this->rates.prefillLate / this->rates.prompts);
  demand.decodeLateShare = std::min(1.0, this->rates.decodeLate / this->rates.prompts);
  return demand;
}

} // namespace plantainslip::serving
