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
/// @brief The target's answer breaks the protocol or belongs to another request.
inline constexpr ErrorDescription kBadAnswer{ 1503,
                                              "serving.bad_answer",
                                              absl::StatusCode::kDataLoss };
/// @brief The request was cancelled while the call ran.
inline constexpr ErrorDescription kCancelled{ 1504,
                                              "serving.cancelled",
                                              absl::StatusCode::kCancelled };
/// @brief The call did not end in time.
inline constexpr ErrorDescription kTimedOut{ 1505,
                                             "serving.timed_out",
                                             absl::StatusCode::kDeadlineExceeded };
/// @brief An address of the settings cannot be listened on.
inline constexpr ErrorDescription kCannotListen{ 1506,
                                                 "serving.cannot_listen",
                                                 absl::StatusCode::kUnavailable };

/// @brief The store refused a call or could not be reached; nothing was written.
inline constexpr ErrorDescription kStoreUnavailable{ 1507,
                                                     "serving.store_unavailable",
                                                     absl::StatusCode::kUnavailable };
/// @brief The store's answer is missing; a write may have taken effect.
inline constexpr ErrorDescription kStoreOutcomeUnknown{ 1508,
                                                        "serving.store_outcome_unknown",
                                                        absl::StatusCode::kUnknown };
/// @brief Another writer was first, or the lease has ended.
inline constexpr ErrorDescription kStoreConflict{ 1509,
                                                  "serving.store_conflict",
                                                  absl::StatusCode::kAborted };
/// @brief The store no longer holds the changes asked for; the whole must be read.
inline constexpr ErrorDescription kHistoryGone{ 1510,
                                                "serving.history_gone",
                                                absl::StatusCode::kOutOfRange };
/// @brief A settings file or a value of the platform cannot be read.
inline constexpr ErrorDescription kBadValue{ 1603,
                                             "wire.bad_body",
                                             absl::StatusCode::kInvalidArgument };
/// @brief A field of the settings is missing or has the wrong type.
inline constexpr ErrorDescription kBadSettings{ 1604,
                                                "wire.bad_settings",
                                                absl::StatusCode::kInvalidArgument };

} // namespace plantainslip::serving::errors
