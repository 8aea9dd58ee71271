#include "duty_caller.hpp"

#include <plantainslip/core/log.hpp>
#include <plantainslip/serving/errors.hpp>

namespace plantainslip::serving {

namespace {

/// Less than the margin of the lease, so that a call ends before the lease does.
constexpr std::chrono::milliseconds kCallTimeout{ 600 };

} // namespace

DutyCaller::DutyCaller(LeaseKeeper& aLease,
                       const DutyCodec& aCodec,
                       ConnectionPool& aPool,
                       PathMetrics& aMetrics,
                       core::InstanceId aSelf,
                       PlatformCallOptions aOptions,
                       std::chrono::milliseconds aLeaseDuration)
  : lease(aLease)
  , codec(aCodec)
  , pool(aPool)
  , metrics(aMetrics)
  , self(std::move(aSelf))
  , options(std::move(aOptions))
  , rules(this->options.callsPerSecond, core::MakeSeed())
  , reach(aLeaseDuration)
{
}

Task<absl::StatusOr<SimpleAnswer>>
DutyCaller::Send(PlatformCall aCall, core::FencingToken aToken)
{
  SimpleRequest request;
  request.address = this->options.address;
  request.method = "POST";
  request.path = std::move(aCall.path);
  request.headers = this->codec.AuthorityHeaders(this->self, aToken);
  request.body = std::move(aCall.body);
  request.timeout = kCallTimeout;
  // The process may have been paused while it connected.
  request.maySend = [this, aToken] { return this->MayCall() && this->lease.Token() == aToken; };
  co_return co_await SendSimpleRequest(this->pool, std::move(request));
}

CallOutcome
DutyCaller::Settle(const std::string& aSubject, const absl::StatusOr<SimpleAnswer>& aAnswer)
{
  const bool isUnsent = !aAnswer.ok() && (core::IsError(aAnswer.status(), errors::kNotConnected) ||
                                          core::IsError(aAnswer.status(), errors::kCancelled));
  const CallOutcome outcome = aAnswer.ok() ? this->codec.ReadOutcome(aAnswer->status)
                              : isUnsent   ? CallOutcome::kNotSent
                                           : CallOutcome::kUnknown;
  if (outcome == CallOutcome::kUnknown) {
    this->rules.OnUnanswered(aSubject, ReadBootTime());
  } else {
    this->rules.OnEnded(aSubject);
  }
  if (outcome == CallOutcome::kThrottled) {
    this->rules.OnThrottled(ReadBootTime());
  } else if (outcome == CallOutcome::kDone) {
    this->rules.OnAccepted();
  }
  const bool isFailure =
    outcome == CallOutcome::kUnknown || core::IsError(aAnswer.status(), errors::kNotConnected);
  if (aAnswer.ok() && !isFailure) {
    this->reach.OnAnswered();
  } else if (isFailure && this->reach.OnFailed(ReadBootTime())) {
    this->lease.GiveUp("platform not reachable", this->reach.NextAbsence());
  }
  return outcome;
}

Task<CallOutcome>
DutyCaller::Call(std::string aDuty, std::string aSubject, PlatformCall aCall)
{
  const std::string subject = aDuty + " " + aSubject;
  const std::string text = aCall.path + "\n" + aCall.body;
  if (!this->MayCall() || !this->rules.TryBegin(subject, text, ReadBootTime())) {
    this->metrics.Count("duty_calls_total", aDuty + "_" + OutcomeName(CallOutcome::kNotSent));
    co_return CallOutcome::kNotSent;
  }
  const core::FencingToken token = this->lease.Token();
  const std::string body = aCall.body;
  const auto answer = co_await this->Send(std::move(aCall), token);
  const CallOutcome outcome = this->Settle(subject, answer);
  this->metrics.Count("duty_calls_total", aDuty + "_" + OutcomeName(outcome));
  constexpr std::size_t kLoggedBytes = 200;
  core::Log(
    core::LogLevel::kInfo,
    "duties: call made",
    { { "duty", aDuty },
      { "subject", aSubject },
      { "body", body.substr(0, kLoggedBytes) },
      { "token", std::to_string(token.Number()) },
      { "outcome", OutcomeName(outcome) },
      { "answer",
        answer.ok() ? std::to_string(answer->status) : std::string(answer.status().message()) } });
  co_return outcome;
}

} // namespace plantainslip::serving
