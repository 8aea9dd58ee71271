#pragma once

#include <absl/status/status.h>

#include "settings.hpp"

namespace plantainslip::apps {

/// @brief Serves callers until SIGTERM or SIGINT, then lets open requests end.
/// @return OK after a stop, or the error that kept the instance from starting
absl::Status
RunGateway(const wire::Settings& aSettings);

} // namespace plantainslip::apps
