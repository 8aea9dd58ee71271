#pragma once

#include <chrono>
#include <optional>
#include <vector>

#include <absl/status/status.h>

#include <plantainslip/routing/choose_target.hpp>

namespace plantainslip::admission {

/// @brief Limits of admission.
struct AdmissionOptions
{
  /// @brief Maximum number of queued requests per engine slot at priority 0. Scales linearly with
  ///        the priority: zero at -10, which may use free slots only, and twice as much at 10.
  double maxQueuedPerSlot = 1.0;
  /// @brief Maximum estimated wait for a slot at priority 0; scales in the same way.
  routing::Seconds maxWait{ 10.0 };
};

/// @brief The request to be admitted.
struct AdmissionQuery
{
  /// @brief From -10 to 10; requests with a higher priority are served first.
  int priority = 0;
  core::TokenCount maxTokens;
  core::MonotonicTime now;
  core::MonotonicTime deadline;
};

/// @brief Result of an admission decision.
struct Admission
{
  /// @brief Index of the engine in the ranking; empty if the request is refused.
  std::optional<std::size_t> engine;
  /// @brief Reason for the refusal: error 641 (admission.overloaded) or 642
  ///        (admission.deadline_too_near).
  absl::Status refusal;
  /// @brief Time after which a refused caller should retry.
  std::chrono::seconds retryAfter{ 1 };
};

/// @brief Estimates when an engine would complete a request. Constant time.
core::MonotonicTime
EstimateEnd(const routing::RankedEngine& aEngine, const AdmissionQuery& aQuery);

/// @brief Admits a request at the first engine that has queue space for it and can meet its
///        deadline.
/// @param aRanking  engines that can serve it, best first; at least one
/// @param aQuery  the request
/// @param aOptions  the limits
/// @return the decision; linear in the number of engines, no errors
Admission
Admit(const std::vector<routing::RankedEngine>& aRanking,
      const AdmissionQuery& aQuery,
      const AdmissionOptions& aOptions);

} // namespace plantainslip::admission
