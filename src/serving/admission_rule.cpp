#include <plantainslip/serving/admission_rule.hpp>

#include <algorithm>

namespace plantainslip::serving {

namespace {

/// Callers leave a stream after a gap of the longest of these.
constexpr milliseconds kShortestPatience{ 2'000 };
constexpr int kPatienceObjectives = 4;
constexpr int kPatienceGaps = 8;
/// Left of a caller's patience for errors of the estimate.
constexpr double kPatienceShare = 0.7;
/// The balancer asks once a second and believes the second answer.
constexpr milliseconds kStreamsTakenInStop{ 2'200 };
/// Shortest and longest wait told to callers: one batch, and the time in which a burst passes.
constexpr milliseconds kShortestReturn{ 150 };
constexpr milliseconds kLongestReturn{ 2'000 };

} // namespace

bool
TakenDuringStop(const Route& aRoute, milliseconds aSinceStop, milliseconds aUntilEnd)
{
  if (aRoute.kind != RequestKind::kStream) {
    return aRoute.timeout <= aUntilEnd;
  }
  // Most streams end within a fraction of their route's timeout. They are taken until the balancer
  // has seen that the instance is not ready.
  return aSinceStop <= kStreamsTakenInStop;
}

std::optional<milliseconds>
DecideRefusal(const Route& aRoute, const PrefillPlace& aPlace, milliseconds aElapsed)
{
  const milliseconds patience = std::max(
    { kShortestPatience, aRoute.objective * kPatienceObjectives, aRoute.eventGap * kPatienceGaps });
  const auto most =
    milliseconds(static_cast<std::int64_t>(static_cast<double>(patience.count()) * kPatienceShare));
  if (aPlace.wait + aPlace.reading + aElapsed <= most) {
    return std::nullopt;
  }
  return std::clamp(aPlace.wait, kShortestReturn, kLongestReturn);
}

} // namespace plantainslip::serving
