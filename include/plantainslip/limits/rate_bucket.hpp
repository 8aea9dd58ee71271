#pragma once

#include <chrono>

#include <plantainslip/config/configuration.hpp>
#include <plantainslip/core/clock.hpp>
#include <plantainslip/limits/limit_messages.hpp>

namespace plantainslip::limits {

/// @brief Token bucket for a workspace's requests and tokens. Constant time; no errors.
struct RateBucket
{
  config::WorkspaceLimit limit;
  double requests = 1.0;
  double tokens = 1.0;
  core::MonotonicTime refilledAt;

  /// @brief Refills the bucket at a share of the limit, up to its capacity.
  /// @param aShareSeconds  share of the limit times the seconds for which it was valid
  /// @param aMaxShareSeconds  capacity of the bucket in the same unit; always at least one request
  /// @param aNow  current time
  void Refill(double aShareSeconds, double aMaxShareSeconds, core::MonotonicTime aNow);

  /// @brief Takes one request from the bucket if possible. Since a request may cost more tokens
  ///        than the bucket's capacity, the token level may become negative.
  /// @param aTokens  tokens that the request may cost
  /// @param aShare  share of the limit that refills the bucket, from which the wait is computed
  LimitDecision TryTake(core::TokenCount aTokens, double aShare);
};

} // namespace plantainslip::limits
