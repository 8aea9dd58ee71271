#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the role planning layer, numbers 1200 to 1209.
namespace plantainslip::roles::errors {

/// @brief An entry instance's demand digest cannot be decoded. Example: truncated CBOR.
inline constexpr core::ErrorDescription kBadDigest{ 1201,
                                                    "roles.bad_digest",
                                                    absl::StatusCode::kInvalidArgument };

} // namespace plantainslip::roles::errors
