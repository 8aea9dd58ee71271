#include <plantainslip/serving/first_event_delay.hpp>

#include <algorithm>

namespace plantainslip::serving {

milliseconds
FirstEventDelay::Delay(const core::ServiceName& aService) const
{
  const auto found = this->medians.find(aService);
  return found == this->medians.end() ? kInitial
                                      : milliseconds(static_cast<std::int64_t>(found->second));
}

void
FirstEventDelay::Record(const core::ServiceName& aService, milliseconds aDelay)
{
  // Equal steps up and down lead to the median, whatever the distribution.
  constexpr double kStepMs = 1.0;
  double& median =
    this->medians.try_emplace(aService, static_cast<double>(kInitial.count())).first->second;
  const auto delay = static_cast<double>(aDelay.count());
  median += std::clamp(delay - median, -kStepMs, kStepMs);
  median = std::clamp(median, static_cast<double>(kMin.count()), static_cast<double>(kMax.count()));
}

} // namespace plantainslip::serving
