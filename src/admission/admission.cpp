#include <plantainslip/admission/admission.hpp>

#include <algorithm>
#include <cmath>
#include <string>

#include <plantainslip/admission/errors.hpp>

namespace plantainslip::admission {

namespace {

using routing::RankedEngine;
using routing::Seconds;

constexpr double kMostPriority = 10.0;
constexpr Seconds kLongestRetryAfter(60.0);

// Zero at the least priority, one at priority 0, two at the greatest.
double
PriorityShare(int aPriority)
{
  return std::clamp(1.0 + static_cast<double>(aPriority) / kMostPriority, 0.0, 2.0);
}

bool
HasRoom(const RankedEngine& aEngine, const AdmissionQuery& aQuery, const AdmissionOptions& aOptions)
{
  const double share = PriorityShare(aQuery.priority);
  const double slots = aEngine.capacity.slots;
  const double room = slots + slots * aOptions.waitingPerSlot * share;
  return aEngine.outstanding + 1.0 <= room && aEngine.wait <= aOptions.longestWait * share;
}

std::chrono::seconds
AdviseRetry(Seconds aShortestWait)
{
  const Seconds advised = std::clamp(aShortestWait, Seconds(1.0), kLongestRetryAfter);
  return std::chrono::seconds(static_cast<std::int64_t>(std::ceil(advised.count())));
}

} // namespace

core::MonotonicTime
ExpectEnd(const RankedEngine& aEngine, const AdmissionQuery& aQuery)
{
  const double tokens =
    static_cast<double>(aQuery.maxTokens.Number()) * aEngine.capacity.lengthShare;
  const Seconds left = aEngine.cost + aEngine.capacity.tokenInterval * tokens;
  return aQuery.now + std::chrono::duration_cast<core::MonotonicTime::duration>(left);
}

Admission
Admit(const std::vector<RankedEngine>& aRanking,
      const AdmissionQuery& aQuery,
      const AdmissionOptions& aOptions)
{
  Admission admission;
  Seconds shortestWait = kLongestRetryAfter;
  bool anyRoom = false;
  for (std::size_t place = 0; place < aRanking.size(); ++place) {
    const RankedEngine& engine = aRanking[place];
    const bool room = HasRoom(engine, aQuery, aOptions);
    // An idle engine is always tried: otherwise one bad estimate would shut it out for good.
    const bool idle = engine.outstanding < 1.0;
    if (room && (idle || ExpectEnd(engine, aQuery) <= aQuery.deadline)) {
      admission.engine = place;
      return admission;
    }
    anyRoom = anyRoom || room;
    shortestWait = std::min(shortestWait, engine.wait);
  }
  admission.refusal =
    anyRoom ? core::MakeError(errors::kDeadlineTooNear, "no engine can end the answer in time")
            : core::MakeError(errors::kOverloaded, "the queues of all engines are full");
  admission.retryAfter = AdviseRetry(shortestWait);
  return admission;
}

} // namespace plantainslip::admission
