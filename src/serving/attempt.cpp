#include "attempt.hpp"

#include <plantainslip/core/log.hpp>
#include <plantainslip/serving/errors.hpp>
#include <plantainslip/serving/event_stream.hpp>

#include "http_head.hpp"
#include "request_path.hpp"
#include "simple_call.hpp"
#include "spawn.hpp"

namespace plantainslip::serving {

namespace {

/// Max size of a response that is read whole before it is forwarded.
constexpr std::size_t kMaxBufferedBodyBytes = 8'388'608;
/// Requests that may be sent again use any connection that the pool still keeps.
constexpr milliseconds kMaxIdleRepeatable{ 60'000 };
/// A target that is busy with a long step still sends its report within this time.
constexpr milliseconds kReportTimeout{ 500 };
/// Excludes all idle connections.
constexpr milliseconds kNewConnection{ -1 };

constexpr int kFirstServerError = 500;
constexpr int kMisdirected = 421;

std::string_view
StepName(AttemptStep aStep)
{
  switch (aStep) {
    case AttemptStep::kPrefill:
      return "prefill";
    case AttemptStep::kDecode:
      return "decode";
    case AttemptStep::kWhole:
      break;
  }
  return "whole";
}

void
RecordLimit(PathContext& aContext, const Target& aTarget, std::optional<double> aRequestsPerSecond)
{
  if (!aContext.limits.Record(ProcessOf(aTarget), aRequestsPerSecond, aContext.clock.Now())) {
    return;
  }
  aContext.metrics.Count("target_limits_total", aTarget.service.Text());
  core::Log(core::LogLevel::kInfo,
            "target states another rate limit",
            { { "target", aTarget.id.Text() },
              { "service", aTarget.service.Text() },
              { "requests_per_s",
                aRequestsPerSecond.has_value() ? std::to_string(*aRequestsPerSecond) : "none" } });
}

/// @brief An attempt whose connection was lost before its answer had begun.
struct LostAttempt
{
  Target target;
  AttemptStep step = AttemptStep::kWhole;
  core::RequestId request;
  RequestDigest digest;
  std::optional<PromptInfo> prompt;
  TraitSet traits;
  core::MonotonicTime at;
  /// @brief Whether an attempt of the same request was lost before.
  bool isRepeat = false;
  /// @brief How long the connection had been idle, if nothing was received on a reused one.
  std::optional<milliseconds> idleFor = {};
};

// Tells the end of a target's process, which is evidence against the request, from the loss of one
// connection.
Task<void>
CheckTarget(PathContext& aContext, LostAttempt aLost)
{
  const bool ended = co_await aContext.pool.IsConnectionRefused(aLost.target.address);
  const std::string service = aLost.target.service.Text();
  aContext.metrics.Count(ended ? "targets_ended_total" : "connections_lost_total", service);
  core::Log(core::LogLevel::kWarning,
            ended ? "target ended during a request" : "connection lost during a request",
            { { "target", aLost.target.id.Text() },
              { "service", service },
              { "step", std::string(StepName(aLost.step)) },
              { "request", aLost.request.Text() },
              { "digest", FormatTraits({ Trait::OfRequest(aLost.digest) }) },
              { "parts", FormatParts(aLost.prompt) } });
  if (!ended && aLost.idleFor.has_value()) {
    aContext.idleReuse.Record(aLost.target.service, *aLost.idleFor, true);
  }
  if (ended) {
    const RequestQuarantine::Crash crash{ aLost.target.id, aLost.at, aLost.isRepeat };
    aContext.quarantine.RecordCrash(crash, aLost.traits, aContext.clock.Now());
    LogQuarantineChanges(aContext);
  }
}

} // namespace

void
LogQuarantineChanges(PathContext& aContext)
{
  for (const RequestQuarantine::Change& change : aContext.quarantine.TakeChanges()) {
    aContext.metrics.Count("quarantine_changes_total",
                           change.quarantined ? "quarantined" : "released");
    core::Log(core::LogLevel::kWarning,
              change.quarantined ? "requests quarantined" : "requests released",
              { { "traits", FormatTraits(change.traits) },
                { "ended_targets", std::to_string(change.crashes) } });
  }
}

void
RecordNotices(PathContext& aContext, const Target& aTarget, const ResponseInfo& aInfo)
{
  const core::MonotonicTime now = aContext.clock.Now();
  if (aInfo.leaving && aContext.notices.RecordLeaving(ProcessOf(aTarget), now)) {
    const auto listed = aContext.fleet->targets.find(aTarget.id);
    const bool isListed = listed != aContext.fleet->targets.end();
    aContext.metrics.Count("leaving_targets_total", aTarget.service.Text());
    core::Log(
      core::LogLevel::kInfo,
      "target states that it is leaving",
      { { "target", aTarget.id.Text() },
        { "service", aTarget.service.Text() },
        { "directory", !isListed ? "absent" : (listed->second.leaving ? "leaving" : "ready") } });
  }
  if (aInfo.requestsPerSecond.has_value()) {
    RecordLimit(aContext, aTarget, aInfo.requestsPerSecond);
  }
  if (aInfo.retryAfter.has_value()) {
    aContext.notices.RecordPause(ProcessOf(aTarget), *aInfo.retryAfter, now);
    aContext.metrics.Count("target_pauses_total", aTarget.service.Text());
    core::Log(core::LogLevel::kInfo,
              "target wants no requests for a time",
              { { "target", aTarget.id.Text() },
                { "service", aTarget.service.Text() },
                { "duration_ms", std::to_string(aInfo.retryAfter->count()) } });
  }
}

bool
IsNotRunStatus(int aStatus)
{
  return aStatus == 408 || aStatus == kMisdirected || aStatus == 429 || aStatus == 503;
}

std::optional<AttemptResult>
ToAttemptResult(const Attempt& aAttempt)
{
  switch (aAttempt.state) {
    case AttemptState::kAnswered:
      return aAttempt.head.status >= kFirstServerError ? AttemptResult::kFailed
                                                       : AttemptResult::kAnswered;
    case AttemptState::kNotRun:
      return aAttempt.head.status == kMisdirected ? AttemptResult::kMisdirected
                                                  : AttemptResult::kRefused;
    case AttemptState::kUnknown:
      return AttemptResult::kFailed;
    case AttemptState::kTimedOut:
    case AttemptState::kNotSent:
      return AttemptResult::kUnreachable;
    case AttemptState::kWithdrawn:
    case AttemptState::kCancelled:
      break;
  }
  return std::nullopt;
}

bool
MayRepeat(const PathRequest& aRequest, AttemptStep aStep)
{
  const Route& route = aRequest.route;
  const bool isResumable = route.kind == RequestKind::kStream && route.resumable;
  return aStep == AttemptStep::kPrefill || route.kind == RequestKind::kIdempotent ||
         (isResumable && !aRequest.writer.HasStarted());
}

milliseconds
MaxIdleFor(const PathContext& aContext, const PathRequest& aRequest, AttemptStep aStep)
{
  return MayRepeat(aRequest, aStep) ? kMaxIdleRepeatable
                                    : aContext.idleReuse.Limit(aRequest.service.name);
}

milliseconds
TimeLeft(const PathContext& aContext, const PathRequest& aRequest)
{
  return std::chrono::duration_cast<milliseconds>(aRequest.deadline - aContext.clock.Now());
}

HeaderList
ForwardedResponseHeaders(const HeaderList& aHeaders)
{
  HeaderList forwarded;
  for (const Header& header : aHeaders) {
    if (!IsHopByHop(aHeaders, header.name) && !EqualIgnoringCase(header.name, "Content-Length")) {
      forwarded.push_back(header);
    }
  }
  return forwarded;
}

std::string
AttemptCall::RequestHead(AttemptPlan& aPlan) const
{
  HeaderList headers;
  const HeaderList& callerHeaders = this->request.caller.headers;
  for (const Header& header : callerHeaders) {
    const bool dropped =
      IsHopByHop(callerHeaders, header.name) || this->context.protocol.IsReserved(header.name) ||
      (this->request.hidesCallerIdentity && this->context.protocol.IsCallerIdentity(header.name)) ||
      EqualIgnoringCase(header.name, "Content-Length") ||
      (!aPlan.lastEventId.empty() && EqualIgnoringCase(header.name, "Last-Event-ID"));
    if (!dropped) {
      headers.push_back(header);
    }
  }
  aPlan.timeLeft = std::max(milliseconds(1), TimeLeft(this->context, this->request));
  aPlan.target = this->target.id;
  aPlan.workspace = this->request.workspace;
  for (Header& header : this->context.protocol.AttemptHeaders(aPlan)) {
    headers.push_back(std::move(header));
  }
  return FormatRequestHead(this->request.caller.method,
                           this->request.caller.target,
                           headers,
                           this->request.caller.body.size());
}

AttemptState
AttemptCall::ClassifyFailure(const absl::Status& aStatus) const
{
  if (this->request.cancellation.Reason().has_value()) {
    return AttemptState::kCancelled;
  }
  if (this->limit != nullptr && this->limit->Expired()) {
    return AttemptState::kTimedOut;
  }
  return core::IsError(aStatus, errors::kNotConnected) ? AttemptState::kNotSent
                                                       : AttemptState::kUnknown;
}

// Checks the target if the attempt got nothing but a lost connection: the request may have ended
// the target's process.
void
AttemptCall::CheckTargetAfter(const absl::Status& aFailure)
{
  if (this->hasAnswer || !core::IsError(aFailure, errors::kConnectionLost)) {
    return;
  }
  LostAttempt lost{ this->target,
                    this->step,
                    this->request.info.id,
                    this->request.digest,
                    this->request.info.prompt,
                    this->request.traits,
                    this->context.clock.Now(),
                    this->request.lostConnections > 0,
                    this->call->HasReceived() ? std::nullopt : this->idleFor };
  ++this->request.lostConnections;
  Spawn(this->context.executor, "check target", [&context = this->context, lost] {
    return CheckTarget(context, lost);
  });
}

void
AttemptCall::RecordAnswer()
{
  if (this->hasAnswer) {
    return;
  }
  this->hasAnswer = true;
  if (this->step != AttemptStep::kPrefill && net::IsSuccess(this->end.status)) {
    this->context.quarantine.RecordAnswer(this->request.traits, this->context.clock.Now());
    LogQuarantineChanges(this->context);
  }
}

Task<bool>
AttemptCall::IsTargetRunning()
{
  SimpleRequest report;
  report.address = this->target.address;
  report.method = "GET";
  report.path = this->context.protocol.ReportPath();
  report.headers.push_back(this->context.protocol.ExpectedTarget(this->target.id));
  report.timeout = kReportTimeout;
  report.idempotent = true;
  const auto answer = co_await SendSimpleRequest(this->context.pool, std::move(report));
  if (!answer.ok()) {
    core::Log(core::LogLevel::kInfo,
              "target's report not received",
              { { "target", this->target.id.Text() },
                { "error", std::string(answer.status().message()) } });
    co_return false;
  }
  const ResponseInfo info = this->context.protocol.ReadResponse(answer->status, answer->headers);
  RecordNotices(this->context, this->target, info);
  const auto startedAt = this->context.protocol.ReadStartTime(answer->body);
  const bool running = IsRunning(this->target, answer->status, info.notRun, startedAt);
  core::Log(core::LogLevel::kInfo,
            "target's report received",
            { { "target", this->target.id.Text() },
              { "service", this->target.service.Text() },
              { "status", std::to_string(answer->status) },
              { "started_at", startedAt.has_value() ? std::to_string(*startedAt) : "" },
              { "listed_start", std::to_string(this->target.startedAt) },
              { "confirms", running ? "yes" : "no" } });
  co_return running;
}

void
AttemptCall::RecordReadTime()
{
  this->request.readUntil = this->context.clock.Now();
  this->end.timeUsed = *this->request.readUntil - this->request.sentAt;
}

Task<absl::Status>
AttemptCall::CheckEnd(net::EventsRead aEvents)
{
  this->end.events = aEvents;
  if (this->end.framing == net::BodyFraming::kConnectionEnd) {
    this->context.metrics.Count("unframed_ends_total", this->request.route.name);
  }
  net::EndJudgement judgement = net::JudgeEnd(this->end);
  if (judgement == net::EndJudgement::kAskSender) {
    const bool running = co_await this->IsTargetRunning();
    this->end.sender = running ? net::SenderState::kRunning : net::SenderState::kUnconfirmed;
    judgement = net::JudgeEnd(this->end);
  }
  this->request.responseEnd = net::Describe(judgement);
  if (judgement == net::EndJudgement::kWhole) {
    co_return absl::OkStatus();
  }
  this->context.metrics.Count("responses_cut_total", this->request.route.name);
  core::Log(core::LogLevel::kInfo,
            "response counts as cut",
            { { "request", this->request.info.id.Text() },
              { "target", this->target.id.Text() },
              { "status", std::to_string(this->end.status) },
              { "framing", std::string(net::FramingName(this->end.framing)) },
              { "reason", std::string(net::Describe(judgement)) } });
  const absl::Status cut =
    core::MakeError(errors::kConnectionLost, std::string(net::Describe(judgement)));
  // A target that stops when its time is over has not been ended by the request.
  if (judgement != net::EndJudgement::kTimeOver) {
    this->CheckTargetAfter(cut);
  }
  co_return cut;
}

Task<absl::StatusOr<bool>>
AttemptCall::ReadSome(std::string& aBody)
{
  absl::StatusOr<bool> more = co_await this->call->ReadSome(aBody);
  this->RecordReadTime();
  this->CheckTargetAfter(more.status());
  co_return more;
}

milliseconds
AttemptCall::MaxIdle(AttemptStep aStep) const
{
  const auto& sentTo = this->request.sentTo;
  if (std::find(sentTo.begin(), sentTo.end(), this->target.id) != sentTo.end()) {
    // A second copy of the previous response bears the same request id, so it could be taken for
    // the response to this attempt.
    return kNewConnection;
  }
  return MaxIdleFor(this->context, this->request, aStep);
}

Task<absl::StatusOr<ResponseHead>>
AttemptCall::SendOn(std::unique_ptr<OutgoingConnection> aConnection,
                    const std::string& aRequestHead)
{
  this->idleFor = aConnection->reused ? std::optional(aConnection->idleFor) : std::nullopt;
  this->context.metrics.Count("target_connections_total",
                              aConnection->reused ? "reused" : "opened");
  this->call = std::make_unique<TargetCall>(std::move(aConnection),
                                            this->request.info.id.Text(),
                                            this->context.protocol.RequestIdHeader(),
                                            this->cancellation);
  std::string requestHead = aRequestHead;
  const absl::Status sent =
    co_await this->call->Send(std::move(requestHead), this->request.caller.body);
  this->end.requestSent = sent.ok();
  // A target may respond before it has read the whole request and then close the connection, so the
  // response is read even if sending failed.
  auto head = co_await this->call->ReadHead(this->request.caller.method == "HEAD");
  if (head.ok() && this->idleFor.has_value()) {
    this->context.idleReuse.Record(this->target.service, *this->idleFor, false);
  }
  co_return head;
}

Task<absl::StatusOr<ResponseHead>>
AttemptCall::Exchange(std::unique_ptr<OutgoingConnection> aConnection, std::string aRequestHead)
{
  auto head = co_await this->SendOn(std::move(aConnection), aRequestHead);
  // A connection that was in use shortly before is lost because of the target, not of its idleness.
  const bool isStale = !head.ok() && core::IsError(head.status(), errors::kConnectionLost) &&
                       this->idleFor.value_or(milliseconds(0)) > IdleReuse::kInitialLimit &&
                       !this->call->HasReceived();
  if (!isStale || !MayRepeat(this->request, this->step) ||
      !TryTakeRetry(this->context, this->request)) {
    co_return head;
  }
  // A target that has ended refuses the connection; the request may then be the cause.
  auto connection =
    co_await this->context.pool.Acquire(this->target.address, kNewConnection, this->cancellation);
  if (!connection.ok()) {
    co_return head;
  }
  this->context.idleReuse.Record(this->target.service, *this->idleFor, true);
  this->context.metrics.Count("stale_connections_total", this->target.service.Text());
  core::Log(core::LogLevel::kInfo,
            "request sent again: its connection had been dropped while idle",
            { { "request", this->request.info.id.Text() },
              { "target", this->target.id.Text() },
              { "step", std::string(StepName(this->step)) },
              { "idle_ms", std::to_string(this->idleFor->count()) } });
  this->context.pool.CloseIdle(this->target.address);
  head = co_await this->SendOn(std::move(*connection), aRequestHead);
  co_return head;
}

bool
AttemptCall::ClaimRequest()
{
  const core::MonotonicTime now = this->context.clock.Now();
  const auto& targets = this->context.fleet->targets;
  const auto listed = targets.find(this->target.id);
  return listed != targets.end() && ProcessOf(listed->second) == ProcessOf(this->target) &&
         !this->context.notices.IsLeaving(listed->second) &&
         this->context.notices.PauseLeft(ProcessOf(this->target), now).count() == 0 &&
         this->context.limits.TryTake(ProcessOf(this->target), now);
}

std::string
AttemptCall::BeginSending(AttemptPlan& aPlan)
{
  ++this->request.attempts;
  this->request.sentTo.push_back(this->target.id);
  this->request.sentAt = this->context.clock.Now();
  this->request.readUntil.reset();
  this->request.relay = {};
  this->request.responseEnd = {};
  std::string requestHead = this->RequestHead(aPlan);
  this->request.timeGiven = aPlan.timeLeft;
  this->end.timeGiven = aPlan.timeLeft;
  return requestHead;
}

Task<Attempt>
AttemptCall::SendAndReadHead(AttemptPlan aPlan, milliseconds aLimit)
{
  const auto cancel = [this] { this->cancellation.Cancel(CancelReason::kDeadline); };
  this->requestCancelScope =
    std::make_unique<Cancellation::Scope>(this->request.cancellation, cancel);
  this->limit = std::make_unique<TimeLimit>(this->context.executor, aLimit, cancel);
  Attempt attempt;
  if (this->request.cancellation.Reason().has_value()) {
    attempt.state = AttemptState::kCancelled;
    co_return attempt;
  }
  auto connection = co_await this->context.pool.Acquire(
    this->target.address, this->MaxIdle(aPlan.step), this->cancellation);
  if (!connection.ok()) {
    attempt.state = this->ClassifyFailure(connection.status());
    // Nothing was sent, whatever ended the wait for the connection.
    attempt.state =
      attempt.state == AttemptState::kCancelled ? attempt.state : AttemptState::kNotSent;
    attempt.detail = std::string(connection.status().message());
    co_return attempt;
  }
  if (!this->ClaimRequest()) {
    this->context.pool.Release(this->target.address, std::move(*connection), milliseconds(0));
    attempt.state = AttemptState::kWithdrawn;
    attempt.detail = "target withdrawn";
    co_return attempt;
  }
  this->step = aPlan.step;
  const bool runsRequest = aPlan.step != AttemptStep::kPrefill;
  const bool ranBefore = this->request.mayHaveRun;
  this->request.mayHaveRun = ranBefore || runsRequest;
  std::string requestHead = this->BeginSending(aPlan);
  auto head = co_await this->Exchange(std::move(*connection), std::move(requestHead));
  if (!head.ok()) {
    attempt.state = this->ClassifyFailure(head.status());
    attempt.detail = std::string(head.status().message());
    this->CheckTargetAfter(head.status());
    co_return attempt;
  }
  attempt.info = this->context.protocol.ReadResponse(head->status, head->headers);
  RecordNotices(this->context, this->target, attempt.info);
  if (!attempt.info.requestsPerSecond.has_value() && head->status != kMisdirected) {
    // Only the target's own response to a request ends its limit by stating none.
    RecordLimit(this->context, this->target, std::nullopt);
  }
  attempt.head = std::move(*head);
  attempt.state = AttemptState::kAnswered;
  this->end.status = attempt.head.status;
  this->end.framing = attempt.head.framing;
  const bool isStream = this->request.route.kind == RequestKind::kStream;
  this->end.expectsEvents = runsRequest && (isStream || IsEventStream(attempt.head.headers));
  this->request.framing = net::FramingName(this->end.framing);
  const bool success = net::IsSuccess(this->end.status);
  if (attempt.info.notRun) {
    attempt.state = AttemptState::kNotRun;
    this->request.mayHaveRun = ranBefore;
  } else if ((success && !attempt.info.hasSignature && runsRequest) ||
             IsNotRunStatus(this->end.status)) {
    attempt.state = AttemptState::kUnknown;
  }
  if (attempt.state != AttemptState::kAnswered) {
    attempt.detail = "status " + std::to_string(this->end.status);
    const auto rest = co_await this->ReadAll();
    if (rest.ok() && attempt.state == AttemptState::kNotRun) {
      this->ReturnConnection();
    }
  }
  co_return attempt;
}

Task<std::string>
AttemptCall::ReadRemainingBody(Attempt& aAttempt)
{
  auto body = co_await this->ReadAll();
  if (!body.ok()) {
    aAttempt.state = this->ClassifyFailure(body.status());
    aAttempt.detail = std::string(body.status().message());
    co_return std::string();
  }
  this->ReturnConnection();
  co_return std::move(*body);
}

Task<absl::StatusOr<std::string>>
AttemptCall::ReadAll()
{
  auto body = co_await this->call->ReadAll(kMaxBufferedBodyBytes);
  this->RecordReadTime();
  if (!body.ok()) {
    this->CheckTargetAfter(body.status());
    co_return body;
  }
  const net::EventsRead events = this->end.expectsEvents ? ReadEvents(*body) : net::EventsRead();
  if (const absl::Status ended = co_await this->CheckEnd(events); !ended.ok()) {
    co_return ended;
  }
  this->RecordAnswer();
  co_return body;
}

} // namespace plantainslip::serving
