#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the layer that plans roles, numbers 950 to 959.
namespace plantainslip::roles::errors {

/// @brief An entry instance's demand cannot be read. Example: truncated CBOR.
inline constexpr core::ErrorDescription kBadDigest{ 951,
                                                    "roles.bad_digest",
                                                    absl::StatusCode::kInvalidArgument };

} // namespace plantainslip::roles::errors
