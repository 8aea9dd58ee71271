#pragma once

#include <absl/status/status.h>

#include "settings.hpp"

namespace plantainslip::apps {

/// @brief Serves callers until SIGTERM or SIGINT, then drains open requests.
/// @return OK after a stop, or the error that prevented the start
absl::Status
RunGateway(const wire::Settings& aSettings);

} // namespace plantainslip::apps
