#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the configuration layer, numbers 500 to 599.
namespace plantainslip::config::errors {

/// @brief The document violates its schema. Example: a target without a deployment.
inline constexpr core::ErrorDescription kInvalid{ 501,
                                                  "config.invalid",
                                                  absl::StatusCode::kInvalidArgument };
/// @brief The patch is based on another version than the current one. Example: two operators submit
///        patches at the same time.
inline constexpr core::ErrorDescription kVersionConflict{ 502,
                                                          "config.version_conflict",
                                                          absl::StatusCode::kAborted };
/// @brief The store could not be read or written. Example: the store is down.
inline constexpr core::ErrorDescription kStoreUnavailable{ 503,
                                                           "config.store_unavailable",
                                                           absl::StatusCode::kUnavailable };
/// @brief It is unknown whether the patch was accepted. Example: the store goes down between the
///        write and the read that checks its outcome.
inline constexpr core::ErrorDescription kOutcomeUnknown{ 504,
                                                         "config.outcome_unknown",
                                                         absl::StatusCode::kUnknown };
/// @brief The patch or the resulting document exceeds its size limit. Example: a deployment list of
///        two megabytes.
inline constexpr core::ErrorDescription kTooLarge{ 505,
                                                   "config.too_large",
                                                   absl::StatusCode::kOutOfRange };

} // namespace plantainslip::config::errors
