#pragma once

#include <absl/status/statusor.h>

#include <plantainslip/claims/claim_book.hpp>
#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/core/outcome.hpp>
#include <plantainslip/net/address.hpp>
#include <plantainslip/targets/plain_service.hpp>

namespace plantainslip::requests {

/// @brief Ports of calls that may run at most once; all have to outlive the call.
struct OncePorts
{
  claims::ClaimBook& claims;
  targets::ServiceClient& services;
  const core::Clock& clock;
};

/// @brief What a caller is to be told of a call that may run at most once.
struct OnceResult
{
  /// @brief The service's answer, of this or of an earlier call with the same key; or why there is
  ///        none: an error of the claims or targets layer.
  absl::StatusOr<targets::ServiceReply> reply;
  /// @brief What is known of the key's run. With error 652 it speaks of this call alone.
  core::Outcome outcome = core::Outcome::kNotRun;
};

/// @brief Claims a call's key, sends the call once, and records its end. Never sends a call again.
/// @param aTarget  where to; chosen before, so that a refusal for want of one leaves no claim
/// @param aCall  has a key and a unique request identifier
/// @note Blocks on the store and on the service.
OnceResult
CallAtMostOnce(const OncePorts& aPorts,
               const net::Address& aTarget,
               const core::ServiceName& aService,
               const targets::ServiceCall& aCall);

} // namespace plantainslip::requests
