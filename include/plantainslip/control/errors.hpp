#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the control layer, numbers 1100 to 1199.
namespace plantainslip::control::errors {

/// @brief A peer's message cannot be parsed. Example: truncated load records.
inline constexpr core::ErrorDescription kBadMessage{ 1101,
                                                     "control.bad_message",
                                                     absl::StatusCode::kInvalidArgument };

} // namespace plantainslip::control::errors
