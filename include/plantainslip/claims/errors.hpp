#pragma once

#include <plantainslip/core/error.hpp>
#include <plantainslip/core/outcome.hpp>

namespace plantainslip::claims {

/// @brief Errors of the claims layer, numbers 650 to 699.
namespace errors {

/// @brief The key was claimed earlier, and no outcome is recorded. Example: the instance that ran
///        the request was killed before it wrote the outcome.
inline constexpr core::ErrorDescription kClaimedBefore{ 651,
                                                        "claims.claimed_before",
                                                        absl::StatusCode::kAlreadyExists };
/// @brief The claim could not be written to the store, so this call was not run. Example: the
///        store is down.
inline constexpr core::ErrorDescription kStoreUnavailable{ 652,
                                                           "claims.store_unavailable",
                                                           absl::StatusCode::kUnavailable };
/// @brief The `Idempotency-Key` is not a version 7 UUID. Example: `key-1`.
inline constexpr core::ErrorDescription kBadKey{ 653,
                                                 "claims.bad_key",
                                                 absl::StatusCode::kInvalidArgument };
/// @brief The key is older than the retention, so an earlier run cannot be ruled out. Example: a
///        key created last week.
inline constexpr core::ErrorDescription kKeyTooOld{ 654,
                                                    "claims.key_too_old",
                                                    absl::StatusCode::kAlreadyExists };
/// @brief The key was created in the future. Example: the caller's clock is an hour ahead.
inline constexpr core::ErrorDescription kKeyFromFuture{ 655,
                                                        "claims.key_from_future",
                                                        absl::StatusCode::kInvalidArgument };
/// @brief The key was already used for a different request. Example: the same key with another fee.
inline constexpr core::ErrorDescription kKeyReused{ 656,
                                                    "claims.key_reused",
                                                    absl::StatusCode::kInvalidArgument };
/// @brief The key's segment is full. Example: thousands of keys created in the same second.
inline constexpr core::ErrorDescription kSegmentFull{ 657,
                                                      "claims.segment_full",
                                                      absl::StatusCode::kUnavailable };
/// @brief The store is unavailable, so it is unknown whether an earlier call with this key ran.
///        Example: the store is down, and the key was created a minute ago.
inline constexpr core::ErrorDescription kEarlierCallUnknown{ 658,
                                                             "claims.earlier_call_unknown",
                                                             absl::StatusCode::kUnavailable };
/// @brief A claim message or a stored segment cannot be parsed. Example: a truncated value.
inline constexpr core::ErrorDescription kBadMessage{ 659,
                                                     "claims.bad_message",
                                                     absl::StatusCode::kInternal };
/// @brief An earlier call with this key is recorded as not run, and the key cannot be used again.
///        Example: the target could not be reached after the claim.
inline constexpr core::ErrorDescription kSpent{ 660,
                                                "claims.spent",
                                                absl::StatusCode::kFailedPrecondition };
/// @brief An earlier call with this key ran, but its answer was not recorded because it was
///        too large or not valid UTF-8.
inline constexpr core::ErrorDescription kAnswerNotKept{ 661,
                                                        "claims.answer_not_kept",
                                                        absl::StatusCode::kAlreadyExists };
/// @brief The claim was granted too late to be used. Example: the instance was paused meanwhile.
inline constexpr core::ErrorDescription kGrantedLate{ 662,
                                                      "claims.granted_late",
                                                      absl::StatusCode::kUnavailable };

} // namespace errors

/// @brief Determines what is known about earlier runs of a key whose claim was refused.
/// @param aStatus  a status of this layer that is not OK
/// @return `kRan` if an earlier call ran, `kUnknown` if one may have run, otherwise `kNotRun`;
///         constant time
core::Outcome
OutcomeOfRefusal(const absl::Status& aStatus);

} // namespace plantainslip::claims
