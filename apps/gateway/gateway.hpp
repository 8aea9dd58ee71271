#pragma once

#include <optional>

#include <absl/status/status.h>

#include <plantainslip/scaling/service_planner.hpp>
#include <plantainslip/serving/request_quarantine.hpp>
#include <plantainslip/serving/stage_plan.hpp>

#include "settings.hpp"

namespace plantainslip::apps {

/// @brief Settings of the project's own, given on the command line.
struct GatewayOptions
{
  /// @brief Share of a service's engines that decode until its demand is known; by the batch slots
  ///        if not set.
  std::optional<double> initialDecodeShare;
  serving::StageChangeCosts stageChangeCosts = {};
  serving::QuarantineOptions quarantine = {};
  scaling::ScalingOptions scaling = {};
};

/// @brief Serves callers until SIGTERM or SIGINT, then drains open requests.
/// @return OK after a stop, or the error that prevented the start
absl::Status
RunGateway(const wire::Settings& aSettings, const GatewayOptions& aOptions);

} // namespace plantainslip::apps
