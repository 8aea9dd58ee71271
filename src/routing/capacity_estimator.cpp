#include <plantainslip/routing/capacity_estimator.hpp>

#include <algorithm>
#include <cmath>

namespace plantainslip::routing {

namespace {

// Weight of the newest sample in a moving average that has enough samples.
constexpr double kNewestWeight = 0.05;
constexpr double kMinSlots = 1.0;
constexpr Seconds kFailureHalfLife(5.0);
constexpr double kMaxFailures = 16.0;
constexpr double kMinWaitFactor = 0.25;
constexpr double kMaxWaitFactor = 8.0;
// For fewer tokens the fixed overhead of a call dominates the prefill time.
constexpr double kMinPrefillTokens = 500.0;
constexpr Seconds kMinPrefillTime(1e-3);

template<typename Value>
void
UpdateAverage(Value& aMean, Value aNewest, double aWeight)
{
  aMean += (aNewest - aMean) * aWeight;
}

} // namespace

void
CapacityEstimator::UpdateFromReport(const core::TargetId& aTarget,
                                    const targets::EngineReport& aReport)
{
  const std::scoped_lock lock(this->mutex);
  double& slots = this->engines[aTarget].capacity.slots;
  const auto running = static_cast<double>(aReport.running);
  const bool full = aReport.queued > 0 && aReport.running > 0;
  slots = std::max(kMinSlots, full ? running : std::max(slots, running));
}

void
CapacityEstimator::RecordAttempt(const core::TargetId& aTarget, const FinishedAttempt& aAttempt)
{
  const std::scoped_lock lock(this->mutex);
  EngineRecord& record = this->engines[aTarget];
  ++record.attempts;
  const double weight = std::max(kNewestWeight, 1.0 / static_cast<double>(record.attempts));
  const auto tokens = static_cast<double>(aAttempt.tokens.Number());
  const auto uncached = static_cast<double>(aAttempt.uncached.Number());
  if (aAttempt.startedAtOnce && uncached >= kMinPrefillTokens) {
    const Seconds prefill = std::max(aAttempt.firstToken, kMinPrefillTime);
    UpdateAverage(record.capacity.prefillTokensPerSecond, uncached / prefill.count(), weight);
  }
  const Seconds prefill(uncached / record.capacity.prefillTokensPerSecond);
  UpdateAverage(record.capacity.meanSlotTime, prefill + aAttempt.decode, weight);
  if (tokens > 1.0) {
    UpdateAverage(record.capacity.tokenInterval, aAttempt.decode / (tokens - 1.0), weight);
  }
  if (aAttempt.maxTokens.Number() > 0) {
    const double share = tokens / static_cast<double>(aAttempt.maxTokens.Number());
    UpdateAverage(record.capacity.outputLengthRatio, std::min(share, 1.0), weight);
  }
}

void
CapacityEstimator::RecordWait(int aPriority, Seconds aExpected, Seconds aObserved)
{
  if (aExpected <= Seconds(0.0)) {
    return;
  }
  const std::scoped_lock lock(this->mutex);
  double& factor = this->waitFactorByPriority.try_emplace(aPriority, 1.0).first->second;
  const double observed = std::clamp(aObserved / aExpected, kMinWaitFactor, kMaxWaitFactor);
  UpdateAverage(factor, observed, kNewestWeight);
}

double
CapacityEstimator::WaitFactor(int aPriority) const
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->waitFactorByPriority.find(aPriority);
  return found == this->waitFactorByPriority.end() ? 1.0 : found->second;
}

double
CapacityEstimator::DecayedFailures(const EngineRecord& aRecord, core::MonotonicTime aNow)
{
  const Seconds age = aNow - aRecord.failuresAt;
  return aRecord.failures * std::exp2(-age / kFailureHalfLife);
}

void
CapacityEstimator::RecordFailure(const core::TargetId& aTarget, core::MonotonicTime aNow)
{
  const std::scoped_lock lock(this->mutex);
  EngineRecord& record = this->engines[aTarget];
  record.failures = std::min(DecayedFailures(record, aNow) + 1.0, kMaxFailures);
  record.failuresAt = aNow;
}

double
CapacityEstimator::RecentFailures(const core::TargetId& aTarget, core::MonotonicTime aNow) const
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->engines.find(aTarget);
  return found == this->engines.end() ? 0.0 : DecayedFailures(found->second, aNow);
}

EngineCapacity
CapacityEstimator::Get(const core::TargetId& aTarget) const
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->engines.find(aTarget);
  return found == this->engines.end() ? EngineCapacity() : found->second.capacity;
}

} // namespace plantainslip::routing
