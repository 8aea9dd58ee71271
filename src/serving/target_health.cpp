#include <plantainslip/serving/target_health.hpp>

#include <algorithm>

namespace plantainslip::serving {

void
TargetHealth::Record(const core::TargetId& aTarget, AttemptResult aResult, core::MonotonicTime aNow)
{
  Judgement& judgement = this->records[aTarget];
  const bool failed = aResult == AttemptResult::kFailed || aResult == AttemptResult::kUnreachable;
  judgement.failureRate += kNewestWeight * ((failed ? 1.0 : 0.0) - judgement.failureRate);
  if (aResult != AttemptResult::kUnreachable) {
    judgement.unreachableInARow = 0;
    judgement.avoidedUntil = {};
    return;
  }
  constexpr int kMostDoublings = 10;
  const int doublings = std::min(judgement.unreachableInARow, kMostDoublings);
  judgement.avoidedUntil = aNow + std::min(kFirstAvoidance * (1 << doublings), kLongestAvoidance);
  ++judgement.unreachableInARow;
}

bool
TargetHealth::Avoided(const core::TargetId& aTarget, core::MonotonicTime aNow) const
{
  const auto found = this->records.find(aTarget);
  return found != this->records.end() && aNow < found->second.avoidedUntil;
}

double
TargetHealth::FailureRate(const core::TargetId& aTarget) const
{
  const auto found = this->records.find(aTarget);
  return found == this->records.end() ? 0.0 : found->second.failureRate;
}

} // namespace plantainslip::serving
