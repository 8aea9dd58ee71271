#pragma once

#include <plantainslip/core/error.hpp>
#include <plantainslip/core/outcome.hpp>

namespace plantainslip::claims {

/// @brief Errors of the claims layer, numbers 650 to 699.
namespace errors {

/// @brief The key was claimed before, and no outcome is recorded. Example: the instance that ran
///        the request was killed before it wrote the outcome.
inline constexpr core::ErrorDescription kClaimedBefore{ 651,
                                                        "claims.claimed_before",
                                                        absl::StatusCode::kAlreadyExists };
/// @brief The store did not take the claim, so this call was not run. Example: the store is down.
inline constexpr core::ErrorDescription kStoreUnavailable{ 652,
                                                           "claims.store_unavailable",
                                                           absl::StatusCode::kUnavailable };
/// @brief The `Idempotency-Key` is no version 7 UUID. Example: `key-1`.
inline constexpr core::ErrorDescription kBadKey{ 653,
                                                 "claims.bad_key",
                                                 absl::StatusCode::kInvalidArgument };
/// @brief The key is older than the retention, so an earlier run cannot be ruled out. Example: a
///        key of last week.
inline constexpr core::ErrorDescription kKeyTooOld{ 654,
                                                    "claims.key_too_old",
                                                    absl::StatusCode::kAlreadyExists };
/// @brief The key was created in the future. Example: the caller's clock is an hour ahead.
inline constexpr core::ErrorDescription kKeyFromFuture{ 655,
                                                        "claims.key_from_future",
                                                        absl::StatusCode::kInvalidArgument };
/// @brief The key was used for another request. Example: the same key with another fee.
inline constexpr core::ErrorDescription kKeyReused{ 656,
                                                    "claims.key_reused",
                                                    absl::StatusCode::kInvalidArgument };
/// @brief The key's segment has no room. Example: thousands of keys of the same second.
inline constexpr core::ErrorDescription kSegmentFull{ 657,
                                                      "claims.segment_full",
                                                      absl::StatusCode::kUnavailable };
/// @brief The store cannot be asked whether an earlier call with this key ran. Example: the store
///        is down, and the key was created a minute ago.
inline constexpr core::ErrorDescription kEarlierCallUnknown{ 658,
                                                             "claims.earlier_call_unknown",
                                                             absl::StatusCode::kUnavailable };
/// @brief A message or segment of claims cannot be read. Example: a truncated value.
inline constexpr core::ErrorDescription kBadMessage{ 659,
                                                     "claims.bad_message",
                                                     absl::StatusCode::kInternal };
/// @brief An earlier call with this key is recorded as not run, and the key stays unused. Example:
///        the target could not be reached after the claim.
inline constexpr core::ErrorDescription kSpent{ 660,
                                                "claims.spent",
                                                absl::StatusCode::kFailedPrecondition };
/// @brief An earlier call with this key ran, but its answer was too large to be kept.
inline constexpr core::ErrorDescription kAnswerNotKept{ 661,
                                                        "claims.answer_not_kept",
                                                        absl::StatusCode::kAlreadyExists };
/// @brief The claim was granted too late to be used. Example: the instance stood still meanwhile.
inline constexpr core::ErrorDescription kGrantedLate{ 662,
                                                      "claims.granted_late",
                                                      absl::StatusCode::kUnavailable };

} // namespace errors

/// @brief Tells what is known of the run of a key whose claim was refused.
/// @param aStatus  a status of this layer that is not OK
/// @return `kUnknown` or `kRan` where an earlier call may have run or ran, otherwise `kNotRun`;
///         constant time
core::Outcome
OutcomeOfRefusal(const absl::Status& aStatus);

} // namespace plantainslip::claims
