#include <plantainslip/admission/admission.hpp>

#include <algorithm>
#include <cmath>
#include <string>

#include <plantainslip/admission/errors.hpp>

namespace plantainslip::admission {

namespace {

using routing::RankedEngine;
using routing::Seconds;

constexpr double kMaxPriority = 10.0;
constexpr Seconds kMaxRetryAfter(60.0);

// Zero at the lowest priority, one at priority 0, two at the highest.
double
PriorityFactor(int aPriority)
{
  return std::clamp(1.0 + static_cast<double>(aPriority) / kMaxPriority, 0.0, 2.0);
}

bool
HasQueueSpace(const RankedEngine& aEngine,
              const AdmissionQuery& aQuery,
              const AdmissionOptions& aOptions)
{
  const double factor = PriorityFactor(aQuery.priority);
  const double slots = aEngine.capacity.slots;
  const double maxOutstanding = slots + slots * aOptions.maxQueuedPerSlot * factor;
  return aEngine.outstanding + 1.0 <= maxOutstanding && aEngine.wait <= aOptions.maxWait * factor;
}

std::chrono::seconds
RetryDelay(Seconds aMinWait)
{
  const Seconds delay = std::clamp(aMinWait, Seconds(1.0), kMaxRetryAfter);
  return std::chrono::seconds(static_cast<std::int64_t>(std::ceil(delay.count())));
}

} // namespace

core::MonotonicTime
EstimateEnd(const RankedEngine& aEngine, const AdmissionQuery& aQuery)
{
  const double tokens =
    static_cast<double>(aQuery.maxTokens.Number()) * aEngine.capacity.outputLengthRatio;
  const Seconds remaining = aEngine.cost + aEngine.capacity.tokenInterval * tokens;
  return aQuery.now + std::chrono::duration_cast<core::MonotonicTime::duration>(remaining);
}

Admission
Admit(const std::vector<RankedEngine>& aRanking,
      const AdmissionQuery& aQuery,
      const AdmissionOptions& aOptions)
{
  Admission admission;
  Seconds minWait = kMaxRetryAfter;
  bool anySpace = false;
  for (std::size_t index = 0; index < aRanking.size(); ++index) {
    const RankedEngine& engine = aRanking[index];
    const bool hasSpace = HasQueueSpace(engine, aQuery, aOptions);
    // An idle engine is always admitted to: otherwise a single wrong estimate would exclude it for
    // good, because its prefill and decode speeds are measured on attempts only.
    const bool idle = engine.outstanding < 1.0;
    if (hasSpace && (idle || EstimateEnd(engine, aQuery) <= aQuery.deadline)) {
      admission.engine = index;
      return admission;
    }
    anySpace = anySpace || hasSpace;
    minWait = std::min(minWait, engine.wait);
  }
  admission.refusal =
    anySpace ? core::MakeError(errors::kDeadlineTooNear,
                               "no engine can complete the response before the deadline")
             : core::MakeError(errors::kOverloaded, "the queues of all engines are full");
  admission.retryAfter = RetryDelay(minWait);
  return admission;
}

} // namespace plantainslip::admission
