#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the request layer, numbers 700 to 799. Callers receive them as reasons.
namespace plantainslip::requests::errors {

/// @brief The request's body is invalid. Example: `max_tokens` is a string.
inline constexpr core::ErrorDescription kBadRequest{ 701,
                                                     "requests.bad_request",
                                                     absl::StatusCode::kInvalidArgument };
/// @brief The path does not exist. Example: `POST /v2/completions`.
inline constexpr core::ErrorDescription kNoSuchPath{ 702,
                                                     "requests.no_such_path",
                                                     absl::StatusCode::kNotFound };
/// @brief The instance is stopping. Example: a request that arrives after SIGTERM.
inline constexpr core::ErrorDescription kStopping{ 703,
                                                   "requests.stopping",
                                                   absl::StatusCode::kUnavailable };
/// @brief An operator call is not authenticated. Example: a patch without the operators' key.
inline constexpr core::ErrorDescription kNotAuthorized{ 704,
                                                        "requests.not_authorized",
                                                        absl::StatusCode::kUnauthenticated };
/// @brief All attempts at targets failed. Example: every engine crashes during the answer.
inline constexpr core::ErrorDescription kTargetsFailed{ 705,
                                                        "requests.targets_failed",
                                                        absl::StatusCode::kUnavailable };
/// @brief A call that must not be repeated has no `Idempotency-Key`.
inline constexpr core::ErrorDescription kKeyRequired{ 706,
                                                      "requests.key_required",
                                                      absl::StatusCode::kInvalidArgument };
/// @brief The body exceeds the size limit.
inline constexpr core::ErrorDescription kTooLarge{ 707,
                                                   "requests.too_large",
                                                   absl::StatusCode::kOutOfRange };
/// @brief The resume token is invalid or belongs to another request. Example: a token sent with
///        another prompt.
inline constexpr core::ErrorDescription kBadResume{ 710,
                                                    "requests.bad_resume",
                                                    absl::StatusCode::kInvalidArgument };
/// @brief The answer cannot be resumed because no engine serves its version any more. Example: the
///        deployment was moved to a new version in the meantime.
inline constexpr core::ErrorDescription kVersionGone{ 711,
                                                      "requests.version_gone",
                                                      absl::StatusCode::kNotFound };
/// @brief The caller's deadline has passed. Example: `deadline_ms` of 100 for a long answer.
inline constexpr core::ErrorDescription kDeadlinePassed{ 720,
                                                         "requests.deadline_passed",
                                                         absl::StatusCode::kDeadlineExceeded };

} // namespace plantainslip::requests::errors
