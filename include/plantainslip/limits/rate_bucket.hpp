#pragma once

#include <chrono>

#include <plantainslip/config/configuration.hpp>
#include <plantainslip/core/clock.hpp>
#include <plantainslip/limits/limit_gossip.hpp>

namespace plantainslip::limits {

/// @brief Token bucket for one workspace's requests and tokens. Constant time; no errors.
struct RateBucket
{
  config::WorkspaceLimit limit;
  double requests = 1.0;
  double tokens = 1.0;
  core::MonotonicTime filledAt;

  /// @brief Adds what a share of the limit gave over some time, up to what may be saved.
  /// @param aShareSeconds  share of the limit times the seconds for which it held
  /// @param aSaved  most that is kept, in the same unit; never less than one request
  void Fill(double aShareSeconds, double aSaved, core::MonotonicTime aNow);

  /// @brief Takes one request out, if there is room. A request may cost more tokens than are ever
  ///        saved, so it runs into debt.
  /// @param aShare  share of the limit that fills the bucket, for the wait
  LimitDecision Take(core::TokenCount aTokens, double aShare);
};

} // namespace plantainslip::limits
