#include <plantainslip/serving/admission_rule.hpp>

#include <algorithm>

namespace plantainslip::serving {

namespace {

/// Part of the objective that may be spent waiting; what is left covers reading and the transfer.
constexpr double kWaitShare = 0.9;
/// Shortest and longest wait told to callers: one batch, and the time in which a burst passes.
constexpr milliseconds kShortestReturn{ 150 };
constexpr milliseconds kLongestReturn{ 2'000 };

} // namespace

std::optional<milliseconds>
DecideRefusal(const Route& aRoute, const PrefillPlace& aPlace, milliseconds aElapsed)
{
  const auto objective = static_cast<double>(aRoute.objective.count());
  const auto most = milliseconds(static_cast<std::int64_t>(objective * kWaitShare));
  if (aPlace.wait + aElapsed <= most) {
    return std::nullopt;
  }
  return std::clamp(aPlace.wait, kShortestReturn, kLongestReturn);
}

} // namespace plantainslip::serving
