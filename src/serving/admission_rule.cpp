#include <plantainslip/serving/admission_rule.hpp>

#include <algorithm>

#include <plantainslip/core/random.hpp>

namespace plantainslip::serving {

namespace {

/// A caller is assumed to disconnect after the longest of these: a fixed time, a multiple of the
/// route's objective and a multiple of its event gap.
constexpr milliseconds kMinPatience{ 2'000 };
constexpr int kObjectivesPerPatience = 4;
constexpr int kGapsPerPatience = 8;
/// Share of a caller's patience that may be used; the rest covers errors of the estimate.
constexpr double kUsablePatienceShare = 0.7;
/// Time after the stop signal in which streams are still accepted: the load balancer polls
/// readiness once per second and acts on the second negative answer.
constexpr milliseconds kStreamAcceptancePeriod{ 2'200 };
/// Bounds of the retry delay sent to callers: one batch, and the time in which a burst passes.
constexpr milliseconds kMinRetryDelay{ 150 };
constexpr milliseconds kMaxRetryDelay{ 2'000 };

} // namespace

bool
AcceptDuringShutdown(const Route& aRoute, milliseconds aSinceStop, milliseconds aUntilEnd)
{
  if (aRoute.kind != RequestKind::kStream) {
    return aRoute.timeout <= aUntilEnd;
  }
  // Most streams end within a fraction of their route's timeout. They are accepted until the load
  // balancer has seen that the instance is not ready.
  return aSinceStop <= kStreamAcceptancePeriod;
}

milliseconds
SpreadRetryDelay(milliseconds aWait, milliseconds aTimeLeft, std::uint64_t aSeed)
{
  const double spread = 0.75 + 0.5 * core::RandomSource(aSeed).Fraction();
  const milliseconds delay(static_cast<std::int64_t>(static_cast<double>(aWait.count()) * spread));
  return std::clamp(delay, milliseconds(1), std::max(milliseconds(1), aTimeLeft / 3));
}

std::optional<milliseconds>
RefusalRetryDelay(const Route& aRoute, const PrefillPlacement& aPlace, milliseconds aElapsed)
{
  const milliseconds patience = std::max({ kMinPatience,
                                           aRoute.objective * kObjectivesPerPatience,
                                           aRoute.eventGap * kGapsPerPatience });
  const auto limit = milliseconds(
    static_cast<std::int64_t>(static_cast<double>(patience.count()) * kUsablePatienceShare));
  if (aPlace.queueingTime + aPlace.prefillTime + aElapsed <= limit) {
    return std::nullopt;
  }
  return std::clamp(aPlace.queueingTime, kMinRetryDelay, kMaxRetryDelay);
}

} // namespace plantainslip::serving
