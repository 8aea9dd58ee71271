#pragma once

#include <chrono>
#include <string>

#include <absl/status/status.h>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/core/outcome.hpp>
#include <plantainslip/net/http_server.hpp>

namespace plantainslip::requests {

/// @brief A refusal or failure, sent to the caller as `application/problem+json` (RFC 7807).
struct Problem
{
  absl::Status cause;
  /// @brief Whether the request was executed, as far as known.
  core::Outcome outcome = core::Outcome::kNotRun;
  core::RequestId request;
  /// @brief Delay after which the caller may retry; sent with statuses 429 and 503.
  std::chrono::seconds retryAfter{ 1 };
};

/// @brief Returns the HTTP status of a problem. Constant time.
int
HttpStatusOf(const Problem& aProblem);

/// @brief Formats the problem as JSON text. Linear in the length of its detail.
std::string
FormatProblem(const Problem& aProblem);

/// @brief Responds to a request with a problem.
/// @return false if the caller has disconnected
bool
RespondProblem(net::HttpExchange& aExchange, const Problem& aProblem);

} // namespace plantainslip::requests
