#include "request_path.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include <plantainslip/core/log.hpp>

#include <plantainslip/serving/admission_rule.hpp>

#include "attempt.hpp"

namespace plantainslip::serving {

namespace {

constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/// Waits told to callers: one service time of a plain service, and the time in which an instance
/// finds its configuration or its targets again.
constexpr milliseconds kReturnAfterRefusal{ 200 };
constexpr milliseconds kReturnAfterOutage{ 500 };
/// Another engine can serve at once, and the caller's objective counts from its first attempt.
constexpr milliseconds kReturnAfterEngineFailure{ 30 };
/// The next connection goes to another instance, which can serve at once.
constexpr milliseconds kReturnAfterStop{ 20 };
/// Age of the store's last confirmation from which an unknown route may just be new.
constexpr milliseconds kConfirmationLifetime{ 2'500 };
/// Most targets that are given up for want of a connection before the request is refused.
constexpr std::size_t kMostUnreachable = 3;
/// Part of the time left that a first idempotent attempt may take before another target is tried.
constexpr double kFirstAttemptShare = 0.45;

Task<void>
RefuseUnrouted(PathContext& aContext, const CallerRequest& aRequest, AnswerWriter& aWriter)
{
  const bool known = aContext.fleet->config != nullptr &&
                     aContext.clock.Now() - aContext.confirmedAt <= kConfirmationLifetime;
  aContext.metrics.Count("unrouted_total", known ? "no_route" : "configuration_unconfirmed");
  HeaderList headers;
  if (!known) {
    headers.push_back(aContext.protocol.RetryAfter(kReturnAfterOutage));
  }
  (void)aRequest;
  std::string empty;
  co_await aWriter.WriteWhole(
    known ? kNotFound : kUnavailable, std::move(headers), std::move(empty));
}

// Answers with a target's answer, read whole. False if it broke off.
Task<bool>
PassOn(PathContext& aContext, PathRequest& aRequest, AttemptCall& aCall, const Attempt& aAttempt)
{
  absl::StatusOr<std::string> body = co_await aCall.ReadAll();
  if (!body.ok()) {
    co_return false;
  }
  aCall.Finish();
  LogEnd(aContext, aRequest, aAttempt.head.status, "answered");
  HeaderList headers = ForwardedAnswerHeaders(aAttempt.head.headers);
  co_await aRequest.writer.WriteWhole(aAttempt.head.status, std::move(headers), std::move(*body));
  co_return true;
}

} // namespace

void
LogEnd(const PathContext& aContext,
       const PathRequest& aRequest,
       int aStatus,
       const std::string& aReason)
{
  const auto took =
    std::chrono::duration_cast<milliseconds>(aContext.clock.Now() - aRequest.caller.arrival);
  const auto lastPiece =
    aRequest.pieces == 0
      ? milliseconds(0)
      : std::chrono::duration_cast<milliseconds>(aRequest.lastPieceAt - aRequest.caller.arrival);
  core::Log(
    core::LogLevel::kInfo,
    "request ended",
    { { "request", aRequest.facts.id.Text() },
      { "route", aRequest.route.name },
      { "status", std::to_string(aStatus) },
      { "reason", aReason },
      { "attempts", std::to_string(aRequest.attempts) },
      { "target", aRequest.sentTo.empty() ? "" : aRequest.sentTo.back().Text() },
      { "took_ms", std::to_string(took.count()) },
      { "prefill_engine", aRequest.prefillEngine.Text() },
      { "priority", std::to_string(aRequest.prefillPriority) },
      { "engine_tokens", std::to_string(static_cast<std::uint64_t>(aRequest.engineTokens)) },
      { "prefill_ms", std::to_string(aRequest.prefillTook.count()) },
      { "expected_wait_ms", std::to_string(aRequest.prefillWait.count()) },
      { "expected_reading_ms", std::to_string(aRequest.prefillReading.count()) },
      { "first_piece_ms", std::to_string(aRequest.firstPiece.count()) },
      { "prompt_tokens",
        std::to_string(aRequest.facts.prompt.has_value() ? aRequest.facts.prompt->promptTokens
                                                         : 0) },
      { "pieces", std::to_string(aRequest.pieces) },
      { "last_piece_ms", std::to_string(lastPiece.count()) },
      { "config",
        std::to_string(
          aContext.fleet->config == nullptr ? 0 : aContext.fleet->config->version.Number()) } });
}

Task<void>
Refuse(PathContext& aContext,
       PathRequest& aRequest,
       int aStatus,
       std::string aReason,
       milliseconds aReturn)
{
  LogEnd(aContext, aRequest, aStatus, aReason);
  aContext.metrics.Count("refused_total", aReason);
  HeaderList headers;
  headers.push_back({ "Content-Type", "application/json" });
  if (aReturn.count() > 0) {
    headers.push_back(aContext.protocol.RetryAfter(aReturn));
  }
  std::string body = nlohmann::json{ { "reason", aReason } }.dump();
  co_await aRequest.writer.WriteWhole(aStatus, std::move(headers), std::move(body));
}

Task<void>
GiveUp(PathContext& aContext, PathRequest& aRequest, std::string aReason)
{
  const auto& cancelled = aRequest.cancellation.Reason();
  if (cancelled == CancelReason::kCallerLeft) {
    LogEnd(aContext, aRequest, 0, "caller_left");
    aContext.metrics.Count("refused_total", "caller_left");
    co_return;
  }
  if (aRequest.writer.Begun()) {
    LogEnd(aContext, aRequest, 0, "broken_off: " + aReason);
    aContext.metrics.Count("refused_total", "broken_off");
    aRequest.writer.Break();
    co_return;
  }
  if (!aRequest.mayHaveRun) {
    const bool byEngine = aRequest.facts.prompt.has_value();
    const milliseconds comeBack = byEngine ? kReturnAfterEngineFailure : kReturnAfterRefusal;
    co_await Refuse(aContext, aRequest, kUnavailable, std::move(aReason), comeBack);
    co_return;
  }
  const bool late = cancelled == CancelReason::kDeadline;
  const int status = late ? kGatewayTimeout : kBadGateway;
  co_await Refuse(aContext, aRequest, status, std::move(aReason), milliseconds(0));
}

bool
TakeRetry(PathContext& aContext, PathRequest& aRequest)
{
  if (aRequest.cancellation.Reason().has_value()) {
    return false;
  }
  return aContext.Budget(aRequest.service.name).TakeRetry();
}

Task<void>
ServePlain(PathContext& aContext, PathRequest& aRequest)
{
  const bool idempotent = aRequest.route.kind == RequestKind::kIdempotent;
  while (true) {
    const auto target = ChoosePlain(aContext.View(), aRequest.service.name, AllTried(aRequest));
    if (!target.has_value()) {
      std::string reason = "no_target";
      co_await GiveUp(aContext, aRequest, std::move(reason));
      co_return;
    }
    const LoadScope load(aContext.loads, target->id, { 1.0, {} });
    AttemptCall call(aContext, aRequest, *target);
    AttemptPlan plan;
    const bool last = static_cast<int>(aRequest.attempts) + 1 >= aRequest.route.mostTargets;
    const auto left = TimeLeft(aContext, aRequest);
    const auto limit = idempotent && !last
                         ? milliseconds(static_cast<std::int64_t>(
                             static_cast<double>(left.count()) * kFirstAttemptShare))
                         : left + milliseconds(1);
    Attempt attempt = co_await call.Open(plan, limit);
    if (const auto judged = JudgeTarget(attempt)) {
      aContext.health.Record(target->id, *judged, aContext.clock.Now());
    }
    if (attempt.state == AttemptState::kTimedOut || attempt.state == AttemptState::kCancelled) {
      aContext.pool.Forget(target->address);
    }
    if (attempt.state == AttemptState::kNotSent) {
      aRequest.unreachable.push_back(target->id);
      if (aRequest.unreachable.size() < kMostUnreachable) {
        continue;
      }
    }
    constexpr int kServerError = 500;
    const bool failed = attempt.state != AttemptState::kAnswered ||
                        (idempotent && attempt.head.status == kServerError);
    const bool again = failed && !last && (idempotent || !aRequest.mayHaveRun);
    if (again && TakeRetry(aContext, aRequest)) {
      continue;
    }
    bool passedOn = false;
    if (attempt.state == AttemptState::kAnswered) {
      passedOn = co_await PassOn(aContext, aRequest, call, attempt);
    }
    if (!passedOn) {
      std::string reason = attempt.detail.empty() ? "broken_off" : attempt.detail;
      co_await GiveUp(aContext, aRequest, std::move(reason));
    }
    co_return;
  }
}

Task<void>
ServeRequest(PathContext& aContext,
             const CallerRequest& aRequest,
             AnswerWriter& aWriter,
             Cancellation& aCancellation)
{
  const auto config = aContext.fleet->config;
  const Route* const route =
    config == nullptr ? nullptr : FindRoute(*config, aRequest.host, aRequest.target);
  if (route == nullptr) {
    co_await RefuseUnrouted(aContext, aRequest, aWriter);
    co_return;
  }
  RequestFacts facts = aContext.protocol.ReadRequest(aRequest.headers);
  const Service* const service = ChooseService(*config, *route, facts.id.Text());
  const milliseconds patience = std::min(facts.timeLeft.value_or(route->timeout), route->timeout);
  PathRequest request{ aRequest,
                       aWriter,
                       aCancellation,
                       std::move(facts),
                       *route,
                       service == nullptr ? Service{} : *service,
                       aRequest.arrival + patience,
                       {},
                       {},
                       false,
                       0 };
  aContext.metrics.Count("requests_total", route->name);
  if (service == nullptr) {
    std::string reason = "no_service";
    co_await Refuse(aContext, request, kUnavailable, std::move(reason), kReturnAfterOutage);
    co_return;
  }
  if (aContext.stopping.has_value()) {
    const core::MonotonicTime now = aContext.clock.Now();
    const auto since = std::chrono::duration_cast<milliseconds>(now - aContext.stopping->since);
    const auto untilEnd = std::chrono::duration_cast<milliseconds>(aContext.stopping->end - now);
    if (!TakenDuringStop(*route, since, untilEnd)) {
      std::string reason = "stopping";
      co_await Refuse(aContext, request, kUnavailable, std::move(reason), kReturnAfterStop);
      co_return;
    }
  }
  const auto left = request.deadline - aContext.clock.Now();
  const TimeLimit limit(
    aContext.executor, left, [&aCancellation] { aCancellation.Cancel(CancelReason::kDeadline); });
  aContext.Budget(service->name).AddRequest();
  if (service->engine.has_value() && request.facts.prompt.has_value()) {
    co_await ServeCompletion(aContext, request);
  } else {
    co_await ServePlain(aContext, request);
  }
}

} // namespace plantainslip::serving
