#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the configuration layer, numbers 500 to 599.
namespace plantainslip::config::errors {

/// @brief The document breaks its schema. Example: a target that names no deployment.
inline constexpr core::ErrorDescription kInvalid{ 501,
                                                  "config.invalid",
                                                  absl::StatusCode::kInvalidArgument };
/// @brief The patch was made against another version. Example: two operators race.
inline constexpr core::ErrorDescription kVersionConflict{ 502,
                                                          "config.version_conflict",
                                                          absl::StatusCode::kAborted };
/// @brief The store did not take the patch. Example: the store is down.
inline constexpr core::ErrorDescription kStoreUnavailable{ 503,
                                                           "config.store_unavailable",
                                                           absl::StatusCode::kUnavailable };
/// @brief It is not known whether the patch was accepted. Example: the store goes down between
///        the write and the look at its outcome.
inline constexpr core::ErrorDescription kOutcomeUnknown{ 504,
                                                         "config.outcome_unknown",
                                                         absl::StatusCode::kUnknown };
/// @brief The document would not fit into the store. Example: a deployment list of two megabytes.
inline constexpr core::ErrorDescription kTooLarge{ 505,
                                                   "config.too_large",
                                                   absl::StatusCode::kOutOfRange };

} // namespace plantainslip::config::errors
