#include "request_path.hpp"

#include <algorithm>

#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

#include <plantainslip/core/log.hpp>

#include <plantainslip/serving/admission_rule.hpp>
#include <plantainslip/serving/key_check.hpp>

#include "response_relay.hpp"

namespace plantainslip::serving {

namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/// `Retry-After` delays: the service time of a plain service after a refusal, and the time in which
/// an instance recovers its configuration or its targets after an outage.
constexpr milliseconds kRetryAfterRefusal{ 200 };
constexpr milliseconds kRetryAfterOutage{ 500 };
/// Another engine can serve immediately, and the caller's objective counts from its first attempt.
constexpr milliseconds kRetryAfterEngineFailure{ 30 };
/// The next connection goes to another instance, which can serve immediately.
constexpr milliseconds kRetryAfterStop{ 20 };
/// From this number of unreachable targets on, another target needs a retry; without one the
/// request is refused.
constexpr std::size_t kMaxUnreachable = 3;
/// Share of the remaining time that an idempotent attempt may take while another target could still
/// serve the request.
constexpr double kFirstAttemptShare = 0.45;

Task<void>
RefuseUnrouted(PathContext& aContext, const CallerRequest& aRequest, AnswerWriter& aWriter)
{
  const bool routesConfirmed =
    aContext.fleet->config != nullptr && aContext.ConfirmationAge() <= kConfirmationLifetime;
  aContext.metrics.Count("unrouted_total",
                         routesConfirmed ? "no_route" : "configuration_unconfirmed");
  HeaderList headers;
  if (!routesConfirmed) {
    headers.push_back(aContext.protocol.RetryAfter(kRetryAfterOutage));
  }
  (void)aRequest;
  std::string empty;
  co_await aWriter.WriteWhole(
    routesConfirmed ? kNotFound : kUnavailable, std::move(headers), std::move(empty));
}

// Returns whether a plain request may still be sent to a target other than the given one.
bool
HasAlternative(PathContext& aContext, const PathRequest& aRequest, const Target& aTarget)
{
  if (static_cast<int>(aRequest.attempts) + 1 >= aRequest.route.maxTargets) {
    return false;
  }
  TriedTargets tried = ExcludedTargets(aRequest);
  tried.push_back(aTarget.id);
  return ChoosePlain(aContext.View(), aRequest.service.name, tried).has_value();
}

std::string
FormatTargets(const TriedTargets& aTargets)
{
  return absl::StrJoin(aTargets, ",", [](std::string* aText, const core::TargetId& aTarget) {
    aText->append(aTarget.Text());
  });
}

std::string_view
KindName(RequestKind aKind)
{
  switch (aKind) {
    case RequestKind::kIdempotent:
      return "idempotent";
    case RequestKind::kAtMostOnce:
      return "at_most_once";
    case RequestKind::kStream:
      break;
  }
  return "stream";
}

// Names how the end of the caller's answer is marked.
std::string_view
AnswerFramingName(const AnswerWriter& aWriter)
{
  if (!aWriter.HasStarted()) {
    return net::FramingName(BodyFraming::kLength);
  }
  return net::FramingName(aWriter.StreamsInChunks() ? BodyFraming::kChunked
                                                    : BodyFraming::kConnectionEnd);
}

} // namespace

void
LogRequestEnd(const PathContext& aContext,
              const PathRequest& aRequest,
              int aStatus,
              const std::string& aReason)
{
  const auto duration =
    std::chrono::duration_cast<milliseconds>(aContext.clock.Now() - aRequest.caller.arrival);
  const auto lastChunk =
    aRequest.chunks == 0
      ? milliseconds(0)
      : std::chrono::duration_cast<milliseconds>(aRequest.lastChunkAt - aRequest.caller.arrival);
  const auto timeUsed =
    aRequest.readUntil.has_value()
      ? std::chrono::duration_cast<milliseconds>(*aRequest.readUntil - aRequest.sentAt)
      : milliseconds(0);
  core::Log(
    core::LogLevel::kInfo,
    "request ended",
    { { "request", aRequest.info.id.Text() },
      { "route", aRequest.route.name },
      { "workspace", aRequest.workspace.Text() },
      { "kind", std::string(KindName(aRequest.route.kind)) },
      { "status", std::to_string(aStatus) },
      { "reason", aReason },
      { "attempts", std::to_string(aRequest.attempts) },
      { "target", aRequest.sentTo.empty() ? "" : aRequest.sentTo.back().Text() },
      { "tried", FormatTargets(aRequest.sentTo) },
      { "digest", FormatTraits({ Trait::OfRequest(aRequest.digest) }) },
      { "parts", FormatParts(aRequest.info.prompt) },
      { "took_ms", std::to_string(duration.count()) },
      { "prefill_engine", aRequest.prefillEngine.Text() },
      { "priority", std::to_string(aRequest.prefillPriority) },
      { "engine_tokens", std::to_string(static_cast<std::uint64_t>(aRequest.engineQueuedTokens)) },
      { "prefill_ms", std::to_string(aRequest.prefillDuration.count()) },
      { "expected_wait_ms", std::to_string(aRequest.expectedPrefillWait.count()) },
      { "expected_reading_ms", std::to_string(aRequest.expectedPrefillDuration.count()) },
      { "first_piece_ms", std::to_string(aRequest.timeToFirstChunk.count()) },
      { "prompt_tokens",
        std::to_string(aRequest.info.prompt.has_value() ? aRequest.info.prompt->promptTokens : 0) },
      { "framing", std::string(aRequest.framing) },
      { "response_end", std::string(aRequest.responseEnd) },
      { "relay", std::string(aRequest.relay) },
      { "answer_framing", std::string(AnswerFramingName(aRequest.writer)) },
      { "given_ms", std::to_string(aRequest.timeGiven.count()) },
      { "used_ms", std::to_string(timeUsed.count()) },
      { "pieces", std::to_string(aRequest.chunks) },
      { "last_piece_ms", std::to_string(lastChunk.count()) },
      { "config",
        std::to_string(
          aContext.fleet->config == nullptr ? 0 : aContext.fleet->config->version.Number()) } });
}

Task<void>
Refuse(PathContext& aContext,
       PathRequest& aRequest,
       int aStatus,
       std::string aReason,
       milliseconds aRetryAfter)
{
  LogRequestEnd(aContext, aRequest, aStatus, aReason);
  aContext.metrics.Count("refused_total", aReason);
  HeaderList headers;
  headers.push_back({ "Content-Type", "application/json" });
  if (aRetryAfter.count() > 0) {
    headers.push_back(aContext.protocol.RetryAfter(aRetryAfter));
  }
  std::string body = nlohmann::json{ { "reason", aReason } }.dump();
  co_await aRequest.writer.WriteWhole(aStatus, std::move(headers), std::move(body));
}

Task<void>
FailRequest(PathContext& aContext, PathRequest& aRequest, std::string aReason)
{
  const auto& cancelled = aRequest.cancellation.Reason();
  if (cancelled == CancelReason::kCallerLeft) {
    LogRequestEnd(aContext, aRequest, 0, "caller_left");
    aContext.metrics.Count("refused_total", "caller_left");
    co_return;
  }
  if (aRequest.writer.HasStarted()) {
    LogRequestEnd(aContext, aRequest, 0, "broken_off: " + aReason);
    aContext.metrics.Count("refused_total", "broken_off");
    aRequest.writer.Abort();
    co_return;
  }
  if (!aRequest.mayHaveRun) {
    const bool isCompletion = aRequest.info.prompt.has_value();
    const milliseconds retryAfter =
      std::max(isCompletion ? kRetryAfterEngineFailure : kRetryAfterRefusal,
               PauseOf(aContext.View(), aRequest.service.name));
    co_await Refuse(aContext, aRequest, kUnavailable, std::move(aReason), retryAfter);
    co_return;
  }
  const bool deadlinePassed = cancelled == CancelReason::kDeadline;
  const int status = deadlinePassed ? kGatewayTimeout : kBadGateway;
  co_await Refuse(aContext, aRequest, status, std::move(aReason), milliseconds(0));
}

Task<bool>
EndIfQuarantined(PathContext& aContext, PathRequest& aRequest)
{
  const auto timeLeft = aContext.quarantine.TimeLeft(aRequest.traits, aContext.clock.Now());
  LogQuarantineChanges(aContext);
  if (!timeLeft.has_value()) {
    co_return false;
  }
  std::string reason = "request_quarantined";
  if (aRequest.mayHaveRun || aRequest.cancellation.Reason().has_value()) {
    co_await FailRequest(aContext, aRequest, std::move(reason));
  } else {
    co_await Refuse(aContext, aRequest, kUnavailable, std::move(reason), *timeLeft);
  }
  co_return true;
}

bool
TryTakeRetry(PathContext& aContext, PathRequest& aRequest)
{
  if (aRequest.cancellation.Reason().has_value()) {
    return false;
  }
  return aContext.Budget(aRequest.service.name).TryTakeRetry();
}

Task<void>
ServePlain(PathContext& aContext, PathRequest& aRequest)
{
  const bool idempotent = aRequest.route.kind == RequestKind::kIdempotent;
  const bool isStream = aRequest.route.kind == RequestKind::kStream;
  ResponseRelay relay(aContext, aRequest);
  while (true) {
    const bool ended = co_await EndIfQuarantined(aContext, aRequest);
    if (ended) {
      co_return;
    }
    PlacementView view = aContext.View();
    view.maxIdle = MaxIdleFor(aContext, aRequest, AttemptStep::kWhole);
    const auto target = ChoosePlain(view, aRequest.service.name, ExcludedTargets(aRequest));
    if (!target.has_value()) {
      std::string reason = "no_target";
      co_await FailRequest(aContext, aRequest, std::move(reason));
      co_return;
    }
    const LoadScope load(aContext.loads, target->id, { 1.0, {} });
    AttemptCall call(aContext, aRequest, *target);
    AttemptPlan plan;
    plan.lastEventId = relay.LastEventId();
    const bool hasAlternative = HasAlternative(aContext, aRequest, *target);
    const auto remaining = TimeLeft(aContext, aRequest);
    const auto limit = idempotent && hasAlternative
                         ? milliseconds(static_cast<std::int64_t>(
                             static_cast<double>(remaining.count()) * kFirstAttemptShare))
                         : remaining + milliseconds(1);
    Attempt attempt = co_await call.SendAndReadHead(plan, limit);
    relay.RejectUnlessContinuing(attempt);
    std::string body;
    if (attempt.state == AttemptState::kAnswered && isStream && relay.RelaysEvents(attempt)) {
      const RelayOutcome outcome = co_await relay.RelayEvents(call, attempt);
      const bool cancelled = aRequest.cancellation.Reason().has_value();
      if (outcome != RelayOutcome::kWhole) {
        attempt.state = cancelled ? AttemptState::kCancelled : AttemptState::kUnknown;
      }
    } else if (attempt.state == AttemptState::kAnswered) {
      aRequest.relay = kRelayedWhole;
      CountUsageOnce(aContext, aRequest);
      body = co_await call.ReadRemainingBody(attempt);
    }
    if (const auto targetResult = ToAttemptResult(attempt)) {
      aContext.health.Record(target->id, *targetResult, aContext.clock.Now());
    }
    if (attempt.state == AttemptState::kTimedOut || attempt.state == AttemptState::kCancelled) {
      aContext.pool.CloseIdle(target->address);
    }
    if (IsUnsent(attempt.state)) {
      aRequest.unreachable.push_back(target->id);
      if (aRequest.unreachable.size() < kMaxUnreachable) {
        continue;
      }
    }
    constexpr int kServerError = 500;
    const bool failed = attempt.state != AttemptState::kAnswered ||
                        (idempotent && attempt.head.status == kServerError);
    const bool isRepeatable = idempotent || !aRequest.mayHaveRun || relay.IsContinuable();
    const bool mayRetry = failed && hasAlternative && isRepeatable;
    if (mayRetry && TryTakeRetry(aContext, aRequest)) {
      continue;
    }
    if (attempt.state == AttemptState::kAnswered) {
      co_await relay.Complete(attempt, std::move(body));
    } else {
      std::string reason = attempt.detail.empty() ? "broken_off" : attempt.detail;
      co_await FailRequest(aContext, aRequest, std::move(reason));
    }
    co_return;
  }
}

namespace {

// Applies the decision about a request's key to the request.
void
SetCallerIdentity(PathRequest& aRequest, const KeyDecision& aDecision)
{
  aRequest.hidesCallerIdentity = aDecision.outcome != KeyOutcome::kNoWorkspaces;
  std::string caller;
  if (aDecision.workspace != nullptr) {
    aRequest.workspace = aDecision.workspace->id;
    aRequest.route.rank = aDecision.workspace->rank.value_or(aRequest.route.rank);
    caller = aRequest.workspace.Text();
  } else if (!aRequest.hidesCallerIdentity) {
    const std::string* const credentials = FindHeader(aRequest.caller.headers, "Authorization");
    caller = credentials == nullptr ? std::string() : *credentials;
  }
  const CallerRequest& received = aRequest.caller;
  aRequest.digest =
    DigestRequest(received.method, received.target, received.headers, caller, received.body);
  aRequest.traits = TraitsOf(aRequest.digest, aRequest.info.prompt);
}

Task<void>
RefuseKey(PathContext& aContext, PathRequest& aRequest, const KeyDecision& aDecision)
{
  std::string reason(aDecision.reason);
  if (aDecision.outcome == KeyOutcome::kUnconfirmed) {
    co_await Refuse(
      aContext, aRequest, kUnavailable, std::move(reason), milliseconds(kRetryAfterOutage));
    co_return;
  }
  LogRequestEnd(aContext, aRequest, kUnauthorized, reason);
  aContext.metrics.Count("unauthorized_total", reason);
  HeaderList headers;
  headers.push_back({ "WWW-Authenticate", "Bearer" });
  std::string empty;
  co_await aRequest.writer.WriteWhole(kUnauthorized, std::move(headers), std::move(empty));
}

} // namespace

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
  RequestInfo info = aContext.protocol.ReadRequest(aRequest.headers);
  const Service* const service = ChooseService(*config, *route, info.id.Text());
  const milliseconds timeLimit = std::min(info.timeLeft.value_or(route->timeout), route->timeout);
  PathRequest request{ aRequest,
                       aWriter,
                       aCancellation,
                       std::move(info),
                       *route,
                       service == nullptr ? Service{} : *service,
                       aRequest.arrival + timeLimit,
                       {},
                       {} };
  const KeyDecision keyDecision = CheckKey(
    *config, *route, aRequest.headers, aContext.ConfirmationAge(), aContext.revocationBound);
  SetCallerIdentity(request, keyDecision);
  aContext.metrics.Count("requests_total", route->name);
  if (!keyDecision.reason.empty()) {
    co_await RefuseKey(aContext, request, keyDecision);
    co_return;
  }
  if (service == nullptr) {
    std::string reason = "no_service";
    co_await Refuse(aContext, request, kUnavailable, std::move(reason), kRetryAfterOutage);
    co_return;
  }
  if (aContext.stopping.has_value()) {
    const core::MonotonicTime now = aContext.clock.Now();
    const auto since = std::chrono::duration_cast<milliseconds>(now - aContext.stopping->since);
    const auto untilEnd = std::chrono::duration_cast<milliseconds>(aContext.stopping->end - now);
    if (!AcceptDuringShutdown(*route, since, untilEnd)) {
      std::string reason = "stopping";
      co_await Refuse(aContext, request, kUnavailable, std::move(reason), kRetryAfterStop);
      co_return;
    }
  }
  const auto remaining = request.deadline - aContext.clock.Now();
  const TimeLimit limit(aContext.executor, remaining, [&aCancellation] {
    aCancellation.Cancel(CancelReason::kDeadline);
  });
  aContext.Budget(service->name).AddRequest();
  if (service->engine.has_value() && request.info.prompt.has_value()) {
    co_await ServeCompletion(aContext, request);
  } else {
    co_await ServePlain(aContext, request);
  }
}

} // namespace plantainslip::serving
