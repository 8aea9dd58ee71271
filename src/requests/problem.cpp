#include <plantainslip/requests/problem.hpp>

#include <nlohmann/json.hpp>

#include <plantainslip/core/error.hpp>

namespace plantainslip::requests {

int
HttpStatusOf(const Problem& aProblem)
{
  switch (aProblem.cause.code()) {
    case absl::StatusCode::kInvalidArgument:
      return 400;
    case absl::StatusCode::kUnauthenticated:
      return 401;
    case absl::StatusCode::kNotFound:
      return 404;
    case absl::StatusCode::kAborted:
    case absl::StatusCode::kAlreadyExists:
      return 409;
    case absl::StatusCode::kOutOfRange:
      return 413;
    case absl::StatusCode::kResourceExhausted:
      return 429;
    case absl::StatusCode::kUnknown:
    case absl::StatusCode::kInternal:
      return 502;
    case absl::StatusCode::kDeadlineExceeded:
      return 504;
    default:
      return 503;
  }
}

std::string
FormatProblem(const Problem& aProblem)
{
  const int number = core::ErrorNumber(aProblem.cause).value_or(0);
  const nlohmann::ordered_json text = {
    { "type", "about:blank" },
    { "status", HttpStatusOf(aProblem) },
    { "error", number },
    { "detail", std::string(aProblem.cause.message()) },
    { "outcome", core::OutcomeName(aProblem.outcome) },
    { "request", aProblem.request.Text() },
  };
  return text.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

bool
RespondProblem(net::HttpExchange& aExchange, const Problem& aProblem)
{
  const int status = HttpStatusOf(aProblem);
  std::vector<net::Header> headers;
  if (status == 503 || status == 429) {
    headers.push_back({ "Retry-After", std::to_string(aProblem.retryAfter.count()) });
  }
  return aExchange.Respond(status, "application/problem+json", FormatProblem(aProblem), headers);
}

} // namespace plantainslip::requests
