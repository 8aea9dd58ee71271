#pragma once

#include <chrono>
#include <string>

#include <absl/status/status.h>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/core/outcome.hpp>
#include <plantainslip/net/http_server.hpp>

namespace plantainslip::requests {

/// @brief A refusal or failure, as a caller gets it in `application/problem+json` (RFC 7807).
struct Problem
{
  absl::Status cause;
  /// @brief What is known of whether the request's work was done.
  core::Outcome outcome = core::Outcome::kNotRun;
  core::RequestId request;
  /// @brief After how long the caller may try again; sent with statuses 429 and 503.
  std::chrono::seconds retryAfter{ 1 };
};

/// @brief Gives the HTTP status that goes with a problem. Constant time.
int
HttpStatusOf(const Problem& aProblem);

/// @brief Writes the problem's JSON text. Linear in the length of its detail.
std::string
FormatProblem(const Problem& aProblem);

/// @brief Answers a request with a problem.
/// @return false if the caller has gone
bool
RespondProblem(net::HttpExchange& aExchange, const Problem& aProblem);

} // namespace plantainslip::requests
