#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the claims layer, numbers 650 to 699.
namespace plantainslip::claims::errors {

/// @brief The key was claimed before, and no outcome is recorded. Example: the instance that ran
///        the request was killed before it wrote the outcome.
inline constexpr core::ErrorDescription kClaimedBefore{ 651,
                                                        "claims.claimed_before",
                                                        absl::StatusCode::kAlreadyExists };
/// @brief The store did not take the claim, so the request was not run.
inline constexpr core::ErrorDescription kStoreUnavailable{ 652,
                                                           "claims.store_unavailable",
                                                           absl::StatusCode::kUnavailable };
/// @brief The request has no usable `Idempotency-Key`. Example: an empty header.
inline constexpr core::ErrorDescription kBadKey{ 653,
                                                 "claims.bad_key",
                                                 absl::StatusCode::kInvalidArgument };

} // namespace plantainslip::claims::errors
