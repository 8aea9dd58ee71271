#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the observation layer, numbers 1000 to 1099.
namespace plantainslip::observe::errors {

/// @brief A page of metrics cannot be read. Example: an instance's address is another program's.
inline constexpr core::ErrorDescription kBadPage{ 1001,
                                                  "observe.bad_page",
                                                  absl::StatusCode::kInvalidArgument };
/// @brief A line of saved samples cannot be read. Example: a file that was cut in mid-line.
inline constexpr core::ErrorDescription kBadSample{ 1002,
                                                    "observe.bad_sample",
                                                    absl::StatusCode::kInvalidArgument };

} // namespace plantainslip::observe::errors
