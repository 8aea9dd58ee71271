#include <plantainslip/requests/dispatcher.hpp>

#include <plantainslip/core/log.hpp>
#include <plantainslip/requests/completions.hpp>
#include <plantainslip/requests/errors.hpp>
#include <plantainslip/requests/operator_calls.hpp>
#include <plantainslip/requests/problem.hpp>
#include <plantainslip/requests/service_calls.hpp>

namespace plantainslip::requests {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

using CallerHandler = observe::RequestEnd (*)(RequestContext&,
                                              net::HttpExchange&,
                                              const core::RequestId&);

void
AdmitAndRun(RequestContext& aContext, net::HttpExchange& aExchange, CallerHandler aHandler)
{
  const core::RequestId request(core::MakeUniqueName());
  if (!aContext.gate.Enter()) {
    const absl::Status cause = core::MakeError(errors::kStopping, aContext.instance.Text());
    RespondProblem(aExchange, { cause, core::Outcome::kNotRun, request });
    return;
  }
  {
    observe::LedgerEntry entry(aContext.ledger);
    entry.Close(aHandler(aContext, aExchange, request));
  }
  aContext.gate.Leave();
}

void
ShowReadiness(RequestContext& aContext, net::HttpExchange& aExchange)
{
  const bool configured = aContext.board.Current()->configuration != nullptr;
  const bool ready = aContext.gate.IsOpen() && configured && aContext.drainMarks.IsInitialized();
  aExchange.Respond(ready ? kOk : kUnavailable, "text/plain", ready ? "ready\n" : "not ready\n");
}

void
ShowMetrics(RequestContext& aContext, net::HttpExchange& aExchange)
{
  const std::string identity =
    "# TYPE plantainslip_instance_info gauge\nplantainslip_instance_info{instance=" +
    observe::QuoteLabel(aContext.instance.Text()) +
    ",zone=" + observe::QuoteLabel(aContext.zone.Text()) + "} 1\n";
  const std::string text =
    identity + aContext.ledger.Format() + aContext.deployments.Format() +
    aContext.timeToFirstToken.Format("plantainslip_first_token_seconds") +
    aContext.timeBetweenTokens.Format("plantainslip_between_tokens_seconds") +
    aContext.answerDuration.Format("plantainslip_whole_answer_seconds");
  aExchange.Respond(kOk, "text/plain; version=0.0.4", text);
}

} // namespace

void
Dispatch(RequestContext& aContext, net::HttpExchange& aExchange)
{
  const std::string path = aExchange.Path();
  if (path == "/v1/completions" && aExchange.Method() == "POST") {
    AdmitAndRun(aContext, aExchange, &HandleCompletion);
  } else if (path.starts_with("/v1/services/")) {
    AdmitAndRun(aContext, aExchange, &HandleServiceCall);
  } else if (path.starts_with("/v1/operator/")) {
    HandleOperatorCall(aContext, aExchange);
  } else if (path == "/healthz") {
    aExchange.Respond(kOk, "text/plain", "alive\n");
  } else if (path == "/readyz") {
    ShowReadiness(aContext, aExchange);
  } else if (path == "/metrics") {
    ShowMetrics(aContext, aExchange);
  } else {
    const absl::Status cause = core::MakeError(errors::kNoSuchPath, path);
    RespondProblem(aExchange, { cause, core::Outcome::kNotRun, {} });
  }
}

} // namespace plantainslip::requests
