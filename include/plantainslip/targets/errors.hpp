#pragma once

#include <plantainslip/core/error.hpp>
#include <plantainslip/core/outcome.hpp>

namespace plantainslip::targets {

/// @brief Errors of the target layer, numbers 400 to 499.
namespace errors {

/// @brief No byte reached the target. Example: the engine's process is not running.
inline constexpr core::ErrorDescription kUnreachable{ 401,
                                                      "targets.unreachable",
                                                      absl::StatusCode::kUnavailable };
/// @brief The target refused the request without starting it. Example: an engine changing its role.
inline constexpr core::ErrorDescription kRefused{ 402,
                                                  "targets.refused",
                                                  absl::StatusCode::kFailedPrecondition };
/// @brief Bytes were sent, but no complete answer arrived. Example: the engine crashed.
inline constexpr core::ErrorDescription kLost{ 403, "targets.lost", absl::StatusCode::kUnknown };
/// @brief The answer cannot be parsed. Example: a chunk without an offset.
inline constexpr core::ErrorDescription kBadAnswer{ 404,
                                                    "targets.bad_answer",
                                                    absl::StatusCode::kInternal };
/// @brief An order carries an old fencing token. Example: a controller that lost its lease.
inline constexpr core::ErrorDescription kOrderFenced{ 405,
                                                      "targets.order_fenced",
                                                      absl::StatusCode::kPermissionDenied };
/// @brief The engine refused an order. Example: it is executing another order.
inline constexpr core::ErrorDescription kOrderRefused{ 406,
                                                       "targets.order_refused",
                                                       absl::StatusCode::kFailedPrecondition };

} // namespace errors

/// @brief Returns whether the request of a failed call may have run.
/// @param aStatus  a status of this layer that is not OK
/// @return `kNotRun` for errors 401 and 402, `kUnknown` for all others; constant time
core::Outcome
OutcomeOfFailure(const absl::Status& aStatus);

} // namespace plantainslip::targets
