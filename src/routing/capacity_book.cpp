#include <plantainslip/routing/capacity_book.hpp>

#include <algorithm>
#include <cmath>

namespace plantainslip::routing {

namespace {

// Weight of the newest attempt once the average has settled.
constexpr double kNewestWeight = 0.05;
constexpr double kFewestSlots = 1.0;
constexpr Seconds kFailureHalfLife(5.0);
constexpr double kMostFailures = 16.0;
constexpr double kLeastWaitFactor = 0.25;
constexpr double kMostWaitFactor = 8.0;
// Below this length the fixed costs of a call hide the speed of prefill.
constexpr double kFewestPrefillTokens = 500.0;
constexpr Seconds kShortestPrefill(1e-3);

template<typename Value>
void
MoveTowards(Value& aMean, Value aNewest, double aWeight)
{
  aMean += (aNewest - aMean) * aWeight;
}

} // namespace

void
CapacityBook::AdoptReport(const core::TargetId& aTarget, const targets::EngineReport& aReport)
{
  const std::scoped_lock lock(this->mutex);
  double& slots = this->engines[aTarget].capacity.slots;
  const auto running = static_cast<double>(aReport.running);
  const bool full = aReport.queued > 0 && aReport.running > 0;
  slots = std::max(kFewestSlots, full ? running : std::max(slots, running));
}

void
CapacityBook::AddAttempt(const core::TargetId& aTarget, const FinishedAttempt& aAttempt)
{
  const std::scoped_lock lock(this->mutex);
  Learned& learned = this->engines[aTarget];
  ++learned.attempts;
  const double weight = std::max(kNewestWeight, 1.0 / static_cast<double>(learned.attempts));
  const auto tokens = static_cast<double>(aAttempt.tokens.Number());
  const auto uncached = static_cast<double>(aAttempt.uncached.Number());
  if (aAttempt.startedAtOnce && uncached >= kFewestPrefillTokens) {
    const Seconds prefill = std::max(aAttempt.firstToken, kShortestPrefill);
    MoveTowards(learned.capacity.prefillTokensPerSecond, uncached / prefill.count(), weight);
  }
  const Seconds prefill(uncached / learned.capacity.prefillTokensPerSecond);
  MoveTowards(learned.capacity.attempt, prefill + aAttempt.decode, weight);
  if (tokens > 1.0) {
    MoveTowards(learned.capacity.tokenInterval, aAttempt.decode / (tokens - 1.0), weight);
  }
  if (aAttempt.maxTokens.Number() > 0) {
    const double share = tokens / static_cast<double>(aAttempt.maxTokens.Number());
    MoveTowards(learned.capacity.lengthShare, std::min(share, 1.0), weight);
  }
}

void
CapacityBook::AddWait(int aPriority, Seconds aExpected, Seconds aObserved)
{
  if (aExpected <= Seconds(0.0)) {
    return;
  }
  const std::scoped_lock lock(this->mutex);
  double& factor = this->waitFactors.try_emplace(aPriority, 1.0).first->second;
  const double observed = std::clamp(aObserved / aExpected, kLeastWaitFactor, kMostWaitFactor);
  MoveTowards(factor, observed, kNewestWeight);
}

double
CapacityBook::WaitFactor(int aPriority) const
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->waitFactors.find(aPriority);
  return found == this->waitFactors.end() ? 1.0 : found->second;
}

double
CapacityBook::Decay(const Learned& aLearned, core::MonotonicTime aNow)
{
  const Seconds age = aNow - aLearned.failuresAt;
  return aLearned.failures * std::exp2(-age / kFailureHalfLife);
}

void
CapacityBook::AddFailure(const core::TargetId& aTarget, core::MonotonicTime aNow)
{
  const std::scoped_lock lock(this->mutex);
  Learned& learned = this->engines[aTarget];
  learned.failures = std::min(Decay(learned, aNow) + 1.0, kMostFailures);
  learned.failuresAt = aNow;
}

double
CapacityBook::RecentFailures(const core::TargetId& aTarget, core::MonotonicTime aNow) const
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->engines.find(aTarget);
  return found == this->engines.end() ? 0.0 : Decay(found->second, aNow);
}

EngineCapacity
CapacityBook::Of(const core::TargetId& aTarget) const
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->engines.find(aTarget);
  return found == this->engines.end() ? EngineCapacity() : found->second.capacity;
}

} // namespace plantainslip::routing
