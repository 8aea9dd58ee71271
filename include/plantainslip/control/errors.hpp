#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the control layer, numbers 950 to 999.
namespace plantainslip::control::errors {

/// @brief A peer's message cannot be read. Example: load records that are cut in the middle.
inline constexpr core::ErrorDescription kBadMessage{ 951,
                                                     "control.bad_message",
                                                     absl::StatusCode::kInvalidArgument };

} // namespace plantainslip::control::errors
