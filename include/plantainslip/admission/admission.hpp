#pragma once

#include <chrono>
#include <optional>
#include <vector>

#include <absl/status/status.h>

#include <plantainslip/routing/choose_target.hpp>

namespace plantainslip::admission {

/// @brief Bounds of admission.
struct AdmissionOptions
{
  /// @brief Requests of priority 0 that may wait at an engine for each of its slots. Priority -10
  ///        takes free slots only, priority 10 twice the share.
  double waitingPerSlot = 1.0;
  /// @brief Longest expected wait for a slot at priority 0, in proportion at others.
  routing::Seconds longestWait{ 10.0 };
};

/// @brief The request that asks to be let in.
struct AdmissionQuery
{
  /// @brief From -10 to 10; higher goes first.
  int priority = 0;
  core::TokenCount maxTokens;
  core::MonotonicTime now;
  core::MonotonicTime deadline;
};

/// @brief Whether a request is let in, and where.
struct Admission
{
  /// @brief Position of the engine in the ranking; nothing if the request is refused.
  std::optional<std::size_t> engine;
  /// @brief Why it is refused: error 641 (admission.overloaded) or 642
  ///        (admission.deadline_too_near).
  absl::Status refusal;
  /// @brief After how long a refused caller may find a free slot.
  std::chrono::seconds retryAfter{ 1 };
};

/// @brief Gives the moment at which an engine is expected to end a request. Constant time.
core::MonotonicTime
ExpectEnd(const routing::RankedEngine& aEngine, const AdmissionQuery& aQuery);

/// @brief Lets a request in at the best engine that has room for it and can meet its deadline.
/// @param aRanking  engines that can serve it, best first; at least one
/// @param aQuery  the request
/// @return the decision; linear in the number of engines, no errors
Admission
Admit(const std::vector<routing::RankedEngine>& aRanking,
      const AdmissionQuery& aQuery,
      const AdmissionOptions& aOptions);

} // namespace plantainslip::admission
