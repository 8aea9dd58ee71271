#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the routing layer, numbers 600 to 639.
namespace plantainslip::routing::errors {

/// @brief The configuration has no deployment or service of this name. Example: a misspelt `model`.
inline constexpr core::ErrorDescription kUnknownName{ 601,
                                                      "routing.unknown_name",
                                                      absl::StatusCode::kNotFound };
/// @brief No target can accept the request now. Example: all engines are draining.
inline constexpr core::ErrorDescription kNoTarget{ 602,
                                                   "routing.no_target",
                                                   absl::StatusCode::kUnavailable };

} // namespace plantainslip::routing::errors
