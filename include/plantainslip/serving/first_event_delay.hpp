#pragma once

#include <map>

#include <plantainslip/serving/fleet.hpp>

namespace plantainslip::serving {

/// @brief Learns, per service, the time from the end of the prefill to the first event.
///
/// Handles services whose decode steps and links differ. The estimate follows the median, so that a
/// few slow decode engines do not make every prompt count as late. Not thread-safe.
class FirstEventDelay
{
public:
  /// @brief Delay assumed before anything is learnt, and the bounds of the estimate.
  static constexpr milliseconds kInitial{ 95 };
  static constexpr milliseconds kMin{ 30 };
  static constexpr milliseconds kMax{ 190 };

  /// @brief Returns the estimated delay. Logarithmic in the number of services.
  milliseconds Delay(const core::ServiceName& aService) const;

  /// @brief Records a first event. Logarithmic in the number of services.
  /// @param aDelay  time since the end of the prompt's prefill
  void Record(const core::ServiceName& aService, milliseconds aDelay);

private:
  /// @brief Estimated medians in milliseconds.
  std::map<core::ServiceName, double> medians;
};

} // namespace plantainslip::serving
