#include <plantainslip/requests/service_calls.hpp>

#include <set>

#include <plantainslip/requests/at_most_once.hpp>
#include <plantainslip/requests/errors.hpp>
#include <plantainslip/requests/problem.hpp>
#include <plantainslip/routing/choose_target.hpp>
#include <plantainslip/targets/errors.hpp>

namespace plantainslip::requests {

namespace {

using observe::RequestEnd;

constexpr std::string_view kPathPrefix = "/v1/services/";
constexpr std::size_t kMaxCallBytes = 1'000'000;
constexpr std::chrono::milliseconds kServiceTimeout = std::chrono::seconds(10);
constexpr int kMaxAttempts = 3;

struct ParsedCall
{
  core::ServiceName service;
  targets::ServiceCall call;
  bool repeatable = false;
};

// Runs one call of a plain service, including its claim or its retries.
class ServiceRun
{
public:
  ServiceRun(RequestContext& aContext, net::HttpExchange& aExchange, core::RequestId aRequest)
    : context(aContext)
    , exchange(aExchange)
    , requestId(std::move(aRequest))
  {
  }

  RequestEnd Run()
  {
    auto parsed = this->Parse();
    if (!parsed.ok()) {
      return this->Refuse(parsed.status());
    }
    return parsed->repeatable ? this->RunRepeatable(*parsed) : this->RunOnce(*parsed);
  }

private:
  absl::StatusOr<ParsedCall> Parse()
  {
    const std::string rest = this->exchange.Path().substr(kPathPrefix.size());
    const std::size_t slash = rest.find('/');
    ParsedCall parsed;
    parsed.service = core::ServiceName(rest.substr(0, slash));
    parsed.call.request = this->requestId;
    parsed.call.method = this->exchange.Method();
    parsed.call.path = slash == std::string::npos ? "/" : rest.substr(slash);
    parsed.call.contentType =
      this->exchange.HeaderValue("Content-Type").value_or("application/json");
    parsed.call.key =
      core::IdempotencyKey(this->exchange.HeaderValue("Idempotency-Key").value_or(""));
    parsed.call.timeout = kServiceTimeout;
    const auto body = this->exchange.ReadBody(kMaxCallBytes);
    if (!body.ok()) {
      return core::MakeError(errors::kBadRequest, body.status().message());
    }
    parsed.call.body = *body;
    const auto view = this->context.board.Current();
    if (view->configuration != nullptr) {
      const auto rule = view->configuration->services.find(parsed.service);
      parsed.repeatable = rule != view->configuration->services.end() && rule->second.repeatable;
    }
    return parsed;
  }

  absl::StatusOr<control::ServiceView> ChooseTarget(const core::ServiceName& aService)
  {
    const auto view = this->context.board.Current();
    const std::scoped_lock lock(this->context.randomMutex);
    return routing::ChooseService(
      *view, this->context.zone, aService, this->excluded, this->context.random);
  }

  RequestEnd RunRepeatable(const ParsedCall& aParsed)
  {
    absl::Status failure;
    core::Outcome outcome = core::Outcome::kNotRun;
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      const auto target = this->ChooseTarget(aParsed.service);
      if (!target.ok()) {
        failure = failure.ok() ? target.status() : failure;
        break;
      }
      const auto reply = this->context.services.Call(target->address, aParsed.call);
      if (reply.ok()) {
        return this->SendReply(reply->status, reply->body);
      }
      failure = reply.status();
      if (targets::OutcomeOfFailure(failure) != core::Outcome::kNotRun) {
        outcome = core::Outcome::kUnknown;
      }
      this->excluded.insert(target->target);
    }
    return this->Fail(failure, outcome);
  }

  RequestEnd RunOnce(const ParsedCall& aParsed)
  {
    if (aParsed.call.key.Empty()) {
      return this->Refuse(core::MakeError(errors::kKeyRequired, aParsed.service.Text()));
    }
    // The target is chosen before claiming, so that a call without an available target leaves no
    // claim behind.
    const auto target = this->ChooseTarget(aParsed.service);
    if (!target.ok()) {
      return this->Refuse(target.status());
    }
    const AtMostOnceResult result =
      CallAtMostOnce({ this->context.claims, this->context.services, this->context.clock },
                     target->address,
                     aParsed.service,
                     aParsed.call);
    return result.reply.ok() ? this->SendReply(result.reply->status, result.reply->body)
                             : this->Fail(result.reply.status(), result.outcome);
  }

  RequestEnd SendReply(int aStatus, const std::string& aBody)
  {
    const bool sent = this->exchange.Respond(
      aStatus, "application/json", aBody, { { "X-Request-Id", this->requestId.Text() } });
    return sent ? RequestEnd::kAnswered : RequestEnd::kCallerGone;
  }

  RequestEnd Refuse(const absl::Status& aCause)
  {
    return this->Fail(aCause, core::Outcome::kNotRun);
  }

  RequestEnd Fail(const absl::Status& aCause, core::Outcome aOutcome)
  {
    if (!RespondProblem(this->exchange, { aCause, aOutcome, this->requestId })) {
      return RequestEnd::kCallerGone;
    }
    return aOutcome == core::Outcome::kNotRun ? RequestEnd::kRefused : RequestEnd::kFailed;
  }

  RequestContext& context;
  net::HttpExchange& exchange;
  core::RequestId requestId;
  std::set<core::TargetId> excluded;
};

} // namespace

RequestEnd
HandleServiceCall(RequestContext& aContext,
                  net::HttpExchange& aExchange,
                  const core::RequestId& aRequest)
{
  return ServiceRun(aContext, aExchange, aRequest).Run();
}

} // namespace plantainslip::requests
