#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the platform layer, numbers 300 to 399.
namespace plantainslip::platform::errors {

/// @brief The store did not take the call; nothing was written. Example: the store is down.
inline constexpr core::ErrorDescription kUnavailable{ 301,
                                                      "platform.unavailable",
                                                      absl::StatusCode::kUnavailable };
/// @brief A write may or may not have taken effect. Example: the answer to a write is lost.
inline constexpr core::ErrorDescription kOutcomeUnknown{ 302,
                                                         "platform.outcome_unknown",
                                                         absl::StatusCode::kUnknown };
/// @brief The value has another revision than expected. Example: two writers race.
inline constexpr core::ErrorDescription kRevisionConflict{ 303,
                                                           "platform.revision_conflict",
                                                           absl::StatusCode::kAborted };
/// @brief Another holder has the lease. Example: the zone's other controller is alive.
inline constexpr core::ErrorDescription kLeaseHeld{ 304,
                                                    "platform.lease_held",
                                                    absl::StatusCode::kFailedPrecondition };
/// @brief The platform's answer cannot be read. Example: a proxy answers with a page.
inline constexpr core::ErrorDescription kBadAnswer{ 305,
                                                    "platform.bad_answer",
                                                    absl::StatusCode::kInternal };
/// @brief A value is larger than the store takes. Example: a configuration of two megabytes.
inline constexpr core::ErrorDescription kValueTooLarge{ 306,
                                                        "platform.value_too_large",
                                                        absl::StatusCode::kOutOfRange };

} // namespace plantainslip::platform::errors
