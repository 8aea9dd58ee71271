#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the request layer, numbers 700 to 799. They are the reasons that callers see.
namespace plantainslip::requests::errors {

/// @brief The request's body cannot be read. Example: `max_tokens` is a text.
inline constexpr core::ErrorDescription kBadRequest{ 701,
                                                     "requests.bad_request",
                                                     absl::StatusCode::kInvalidArgument };
/// @brief There is no such path. Example: `POST /v2/completions`.
inline constexpr core::ErrorDescription kNoSuchPath{ 702,
                                                     "requests.no_such_path",
                                                     absl::StatusCode::kNotFound };
/// @brief The instance is stopping. Example: a request that comes after SIGTERM.
inline constexpr core::ErrorDescription kStopping{ 703,
                                                   "requests.stopping",
                                                   absl::StatusCode::kUnavailable };
/// @brief Operators have to prove who they are. Example: a patch without the operators' key.
inline constexpr core::ErrorDescription kNotAuthorized{ 704,
                                                        "requests.not_authorized",
                                                        absl::StatusCode::kUnauthenticated };
/// @brief All attempts at targets failed. Example: every engine crashes in mid-answer.
inline constexpr core::ErrorDescription kTargetsFailed{ 705,
                                                        "requests.targets_failed",
                                                        absl::StatusCode::kUnavailable };
/// @brief A call that may not be repeated has no `Idempotency-Key`.
inline constexpr core::ErrorDescription kKeyRequired{ 706,
                                                      "requests.key_required",
                                                      absl::StatusCode::kInvalidArgument };
/// @brief The body is larger than the instance takes.
inline constexpr core::ErrorDescription kTooLarge{ 707,
                                                   "requests.too_large",
                                                   absl::StatusCode::kOutOfRange };
/// @brief The resume token is not one of ours, or belongs to another request. Example: a token with
///        another prompt.
inline constexpr core::ErrorDescription kBadResume{ 710,
                                                    "requests.bad_resume",
                                                    absl::StatusCode::kInvalidArgument };
/// @brief The answer cannot be gone on with, since no engine has its version any more. Example: the
///        deployment was moved to a new version meanwhile.
inline constexpr core::ErrorDescription kVersionGone{ 711,
                                                      "requests.version_gone",
                                                      absl::StatusCode::kNotFound };
/// @brief The caller's deadline has passed. Example: `deadline_ms` of 100 for a long answer.
inline constexpr core::ErrorDescription kDeadlinePassed{ 720,
                                                         "requests.deadline_passed",
                                                         absl::StatusCode::kDeadlineExceeded };

} // namespace plantainslip::requests::errors
