#pragma once

#include <absl/status/statusor.h>

#include <plantainslip/claims/claim_book.hpp>
#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/core/outcome.hpp>
#include <plantainslip/net/address.hpp>
#include <plantainslip/targets/plain_service.hpp>

namespace plantainslip::requests {

/// @brief Dependencies of at-most-once calls; all must outlive the call.
struct AtMostOnceDependencies
{
  claims::ClaimBook& claims;
  targets::ServiceClient& services;
  const core::Clock& clock;
};

/// @brief Result of an at-most-once call, as reported to the caller.
struct AtMostOnceResult
{
  /// @brief Response of the service to this or an earlier call with the same key, or an error of
  ///        the claims or targets layer.
  absl::StatusOr<targets::ServiceReply> reply;
  /// @brief Whether the call with this key was executed. With error 652 it covers this call only.
  core::Outcome outcome = core::Outcome::kNotRun;
};

/// @brief Claims the call's key, sends the call once and records its outcome. Never retries.
/// @param aTarget  target of the call; chosen before claiming, so that a call without an available
///                 target leaves no claim
/// @param aCall  must have a key and a unique request identifier
/// @note Blocks on the store and on the service.
AtMostOnceResult
CallAtMostOnce(const AtMostOnceDependencies& aDependencies,
               const net::Address& aTarget,
               const core::ServiceName& aService,
               const targets::ServiceCall& aCall);

} // namespace plantainslip::requests
