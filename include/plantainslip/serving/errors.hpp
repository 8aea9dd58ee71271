#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the event-driven request path and its control loop.
namespace plantainslip::serving::errors {

using core::ErrorDescription;

/// @brief No connection to the target; no byte of the request was sent.
inline constexpr ErrorDescription kNotConnected{ 1501,
                                                 "serving.not_connected",
                                                 absl::StatusCode::kUnavailable };
/// @brief The connection failed after a byte was sent.
inline constexpr ErrorDescription kConnectionLost{ 1502,
                                                   "serving.connection_lost",
                                                   absl::StatusCode::kUnknown };
/// @brief The response violates the protocol or belongs to another request.
inline constexpr ErrorDescription kBadAnswer{ 1503,
                                              "serving.bad_answer",
                                              absl::StatusCode::kDataLoss };
/// @brief The request was cancelled while the call ran.
inline constexpr ErrorDescription kCancelled{ 1504,
                                              "serving.cancelled",
                                              absl::StatusCode::kCancelled };
/// @brief The call did not finish before its timeout.
inline constexpr ErrorDescription kTimedOut{ 1505,
                                             "serving.timed_out",
                                             absl::StatusCode::kDeadlineExceeded };
/// @brief Cannot listen on an address from the settings.
inline constexpr ErrorDescription kCannotListen{ 1506,
                                                 "serving.cannot_listen",
                                                 absl::StatusCode::kUnavailable };

/// @brief The store refused a call or could not be reached; nothing was written.
inline constexpr ErrorDescription kStoreUnavailable{ 1507,
                                                     "serving.store_unavailable",
                                                     absl::StatusCode::kUnavailable };
/// @brief No response from the store; a write may have taken effect.
inline constexpr ErrorDescription kStoreOutcomeUnknown{ 1508,
                                                        "serving.store_outcome_unknown",
                                                        absl::StatusCode::kUnknown };
/// @brief Another writer changed the value first, or the lease has expired.
inline constexpr ErrorDescription kStoreConflict{ 1509,
                                                  "serving.store_conflict",
                                                  absl::StatusCode::kAborted };
/// @brief The store no longer holds the requested changes; the full state must be read again.
inline constexpr ErrorDescription kHistoryGone{ 1510,
                                                "serving.history_gone",
                                                absl::StatusCode::kOutOfRange };
/// @brief A value or a body from the platform cannot be parsed.
inline constexpr ErrorDescription kBadValue{ 1603,
                                             "wire.bad_body",
                                             absl::StatusCode::kInvalidArgument };
/// @brief The settings file cannot be found, read or parsed, or one of its fields is missing or has
///        the wrong type.
inline constexpr ErrorDescription kBadSettings{ 1604,
                                                "wire.bad_settings",
                                                absl::StatusCode::kInvalidArgument };

} // namespace plantainslip::serving::errors
