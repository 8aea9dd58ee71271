#include <plantainslip/requests/completions.hpp>

#include <map>
#include <optional>
#include <set>
#include <thread>

#include <plantainslip/admission/errors.hpp>
#include <plantainslip/core/log.hpp>
#include <plantainslip/limits/errors.hpp>
#include <plantainslip/net/errors.hpp>
#include <plantainslip/requests/answer_assembly.hpp>
#include <plantainslip/requests/answer_sink.hpp>
#include <plantainslip/requests/completion_request.hpp>
#include <plantainslip/requests/errors.hpp>
#include <plantainslip/requests/placement.hpp>
#include <plantainslip/requests/resume_token.hpp>
#include <plantainslip/requests/spill_over.hpp>
#include <plantainslip/targets/errors.hpp>

namespace plantainslip::requests {

namespace {

using observe::RequestEnd;

constexpr std::chrono::milliseconds kMaxEngineSilence = std::chrono::seconds(30);

enum class AttemptEnd
{
  kFinished,
  kCallerGone,
  kDeadlinePassed,
  kFailed,
};

// Start time, time of the first token, and number of tokens of one attempt.
struct AttemptTiming
{
  core::MonotonicTime startedAt;
  core::MonotonicTime firstTokenAt;
  std::uint64_t tokens = 0;
};

// Returns the counters of a deployment. Callers may send any name, so all names that are not
// configured share the counters of "unknown". Returns null for a request that another instance
// spilled over, because the instance that received it from the caller counts it.
observe::DeploymentCounters*
FindCounters(RequestContext& aContext, const core::DeploymentName& aDeployment, bool aSpilled)
{
  if (aSpilled) {
    return nullptr;
  }
  const auto view = aContext.board.Current();
  const bool known =
    view->configuration != nullptr && view->configuration->deployments.contains(aDeployment);
  return &aContext.deployments.Of(known ? aDeployment : core::DeploymentName("unknown"));
}

// Runs one completion, including its retries.
class CompletionRun
{
public:
  CompletionRun(RequestContext& aContext,
                const CompletionRequest& aRequest,
                const CompletionStart& aStart,
                AnswerSink& aSink)
    : context(aContext)
    , request(aRequest)
    , requestId(aStart.request)
    , sink(aSink)
    , assembly(aStart.request, aStart.offset)
    , counters(FindCounters(aContext, aRequest.deployment, !aStart.maySpill))
    , startedAt(aContext.clock.Now())
    , lastTokenAt(this->startedAt)
    , deadline(this->startedAt + aRequest.deadline)
    , maySpill(aStart.maySpill)
    , startVersion(aStart.version)
    , version(aStart.version)
    , startOffset(aStart.offset)
  {
  }

  RequestEnd Run()
  {
    const RequestEnd end = this->RunToEnd();
    if (this->counters != nullptr) {
      this->counters->CountEnd(end);
    }
    return end;
  }

private:
  // Callers may send any name, so only configured deployments are counted.
  void CountDemand()
  {
    const auto view = this->context.board.Current();
    if (view->configuration != nullptr &&
        view->configuration->deployments.contains(this->request.deployment)) {
      this->context.demand.CountRequest(this->request.deployment, this->request.prompt.size());
    }
  }

  RequestEnd RunToEnd()
  {
    this->context.retryBudget.AddRequest();
    this->CountDemand();
    for (;;) {
      const auto placement = this->AwaitPlacement();
      if (!placement.has_value()) {
        return this->GiveUp();
      }
      switch (this->RunAttemptAt(*placement)) {
        case AttemptEnd::kFinished:
          this->context.answerDuration.Record(this->context.clock.Now() - this->startedAt);
          this->context.demand.CountAnswer(this->request.deployment,
                                           core::TokenCount(this->assembly.Offset().Number()));
          return RequestEnd::kAnswered;
        case AttemptEnd::kCallerGone:
          return RequestEnd::kCallerGone;
        case AttemptEnd::kDeadlinePassed:
          return this->GiveUp();
        case AttemptEnd::kFailed:
          if (!this->WaitForRetry()) {
            return this->GiveUp();
          }
      }
    }
  }

  bool HasStarted() const { return this->assembly.Offset() != core::TokenOffset(); }

  std::optional<Placement> FindNextPlacement()
  {
    // An answer that has started must keep its version; otherwise the version may change.
    if (!this->HasStarted()) {
      this->version = this->startVersion;
    }
    const bool admitted = this->triedEngine || this->outcome != core::Outcome::kNotRun;
    PlacementQuery query{ this->request,  this->version,         this->deadline,   admitted,
                          this->maySpill, this->FailedEngines(), this->failedPeers };
    PlacementFailure placementFailure;
    auto placement = FindPlacement(this->context, query, placementFailure);
    if (!placement.has_value() && !this->failedAt.empty()) {
      // No other placement is left, so engines that have sent a load report since they failed are
      // tried again. An engine without a new report is probably dead.
      query.failedEngines = this->FailedEnginesWithoutNewReport();
      placement = FindPlacement(this->context, query, placementFailure);
    }
    if (!placement.has_value()) {
      this->retryAfter = placementFailure.retryAfter;
      this->failure = placementFailure.cause;
    }
    return placement;
  }

  std::set<core::TargetId> FailedEngines() const
  {
    std::set<core::TargetId> failed;
    for (const auto& [target, at] : this->failedAt) {
      failed.insert(target);
    }
    return failed;
  }

  std::set<core::TargetId> FailedEnginesWithoutNewReport() const
  {
    std::set<core::TargetId> withoutReport = this->FailedEngines();
    for (const control::EngineView& engine : this->context.board.Current()->engines) {
      const auto failed = this->failedAt.find(engine.target);
      const bool reported = failed != this->failedAt.end() && engine.report.has_value() &&
                            engine.reportedAt > failed->second;
      if (reported) {
        withoutReport.erase(engine.target);
      }
    }
    return withoutReport;
  }

  // Waits for a placement if the caller has already received part of the answer, because giving up
  // would truncate it. A peer that has received nothing from this instance yet is refused
  // immediately, since it can try another instance.
  std::optional<Placement> AwaitPlacement()
  {
    const core::MonotonicTime waitingSince = this->context.clock.Now();
    auto placement = this->FindNextPlacement();
    const bool wouldTruncate =
      this->HasStarted() && (this->maySpill || this->assembly.Offset() > this->startOffset);
    while (!placement.has_value() && wouldTruncate &&
           retries::MayWaitForTarget(waitingSince, this->deadline, this->context.clock.Now())) {
      std::this_thread::sleep_for(retries::kTargetPollInterval);
      placement = this->FindNextPlacement();
    }
    if (!placement.has_value()) {
      // Recorded here so that it is logged once, however many searches failed.
      this->RememberFailure(this->failure, core::Outcome::kNotRun);
    }
    return placement;
  }

  bool WaitForRetry()
  {
    const retries::FailedAttempt failed{
      this->assembly.Attempt().Number(), this->outcome, true, false, this->deadline
    };
    std::optional<std::chrono::milliseconds> wait;
    {
      const std::scoped_lock lock(this->context.randomMutex);
      wait = retries::DecideRetry(
        failed, this->context.clock.Now(), this->context.retryBudget, this->context.random);
    }
    if (wait.has_value()) {
      std::this_thread::sleep_for(*wait);
    }
    return wait.has_value();
  }

  std::chrono::milliseconds TimeLeft() const
  {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->deadline - this->context.clock.Now());
    return std::max(left, std::chrono::milliseconds(1));
  }

  AttemptEnd RunAttemptAt(const Placement& aPlacement)
  {
    return aPlacement.engine.has_value() ? this->TryEngine(*aPlacement.engine)
                                         : this->TryPeer(*aPlacement.peer);
  }

  targets::GenerateRequest MakeAttempt(const control::EngineView& aEngine)
  {
    targets::GenerateRequest attempt;
    attempt.request = this->requestId;
    attempt.attempt = this->assembly.NextAttempt();
    attempt.model = aEngine.report->model;
    if (this->version.empty()) {
      this->version = aEngine.report->version;
    }
    attempt.version = this->version;
    attempt.adapter = this->request.adapter;
    attempt.prompt = this->request.prompt;
    attempt.maxTokens = this->request.maxTokens;
    attempt.offset = this->assembly.Offset();
    attempt.priority = this->request.priority;
    attempt.timeout = std::min(this->TimeLeft(), kMaxEngineSilence);
    return attempt;
  }

  AttemptEnd TryEngine(const routing::RankedEngine& aRanked)
  {
    const control::EngineView& engine = aRanked.engine;
    this->triedEngine = true;
    this->times = { this->context.clock.Now(), {}, 0 };
    this->context.inFlight.Add(engine.target, this->times.startedAt);
    this->context.knowledge.prefixes.AddExpected(
      engine.target, aRanked.pieces, this->times.startedAt);
    const AttemptEnd end = this->RunAttempt(engine.target.Text(), this->OpenStream(engine));
    this->context.inFlight.Remove(engine.target, this->context.clock.Now());
    if (end != AttemptEnd::kFailed || this->times.tokens > 0) {
      this->RecordQueueWait(aRanked);
    }
    if (end == AttemptEnd::kFinished) {
      this->RecordCapacity(aRanked);
    } else if (end == AttemptEnd::kFailed) {
      this->failedAt[engine.target] = this->context.clock.Now();
      this->context.knowledge.capacity.RecordFailure(engine.target, this->context.clock.Now());
    } else {
      this->CancelAttempt(engine);
    }
    return end;
  }

  // TryEngine() counts the attempt as in flight before this function checks the drain mark, so that
  // no attempt starts unnoticed on a draining target.
  absl::StatusOr<std::unique_ptr<targets::TokenStream>> OpenStream(
    const control::EngineView& aEngine)
  {
    const targets::GenerateRequest attempt = this->MakeAttempt(aEngine);
    if (!this->context.drainMarks.MayStartAttempt(aEngine.target)) {
      return core::MakeError(targets::errors::kRefused, aEngine.target.Text() + " is draining");
    }
    return this->context.engines.Generate(aEngine.address, attempt);
  }

  AttemptEnd TryPeer(const control::EntryView& aPeer)
  {
    SpilledCompletion spilled;
    spilled.request = this->requestId;
    spilled.attempt = this->assembly.NextAttempt();
    spilled.completion = this->request;
    spilled.completion.deadline = this->TimeLeft();
    spilled.offset = this->assembly.Offset();
    spilled.version = this->version = this->VersionForPeer();
    this->times = { this->context.clock.Now(), {}, 0 };
    const AttemptEnd end =
      this->RunAttempt(aPeer.instance.Text(),
                       OpenSpilledCompletion(this->context.peers,
                                             aPeer.peerAddress,
                                             spilled,
                                             std::min(this->TimeLeft(), kMaxEngineSilence)));
    if (end == AttemptEnd::kFailed) {
      this->failedPeers.insert(aPeer.instance);
    }
    return end;
  }

  // A peer's answer does not include its version, so the version is fixed before the attempt.
  std::string VersionForPeer() const
  {
    return this->version.empty() ? this->Deployment().version : this->version;
  }

  config::Deployment Deployment() const
  {
    const auto view = this->context.board.Current();
    const auto& deployments = view->configuration->deployments;
    const auto found = deployments.find(this->request.deployment);
    return found == deployments.end() ? config::Deployment() : found->second;
  }

  AttemptEnd RunAttempt(const std::string& aTargetName,
                        absl::StatusOr<std::unique_ptr<targets::TokenStream>> aStream)
  {
    if (!aStream.ok()) {
      this->RememberFailure(aStream.status());
      return AttemptEnd::kFailed;
    }
    this->sink.SetResumeToken(this->context.resume.SignFor(
      this->request, { this->requestId, this->Deployment().model, this->version, aTargetName, 0 }));
    for (;;) {
      const auto chunk = (*aStream)->Next();
      if (this->context.clock.Now() >= this->deadline) {
        const std::string limit = std::to_string(this->request.deadline.count()) + " ms";
        this->RememberFailure(core::MakeError(errors::kDeadlinePassed, limit),
                              core::Outcome::kUnknown);
        return AttemptEnd::kDeadlinePassed;
      }
      if (!chunk.ok()) {
        this->RememberFailure(chunk.status());
        return AttemptEnd::kFailed;
      }
      if (const auto end = this->HandleChunk(*chunk); end.has_value()) {
        return *end;
      }
    }
  }

  // Returns how the attempt ended, or nothing if it continues.
  std::optional<AttemptEnd> HandleChunk(const targets::TokenChunk& aChunk)
  {
    switch (this->assembly.ClassifyChunk(aChunk)) {
      case ChunkAction::kDeliver:
        return this->Deliver(aChunk) ? std::nullopt : std::optional(AttemptEnd::kCallerGone);
      case ChunkAction::kFinish:
        return this->sink.Finish(aChunk.finishReason, aChunk.offset) ? AttemptEnd::kFinished
                                                                     : AttemptEnd::kCallerGone;
      case ChunkAction::kBroken:
        this->RememberFailure(core::MakeError(targets::errors::kBadAnswer, "a chunk is missing"));
        return AttemptEnd::kFailed;
      default:
        return std::nullopt;
    }
  }

  bool Deliver(const targets::TokenChunk& aChunk)
  {
    const core::MonotonicTime now = this->context.clock.Now();
    if (aChunk.offset == this->startOffset) {
      this->context.timeToFirstToken.Record(now - this->startedAt);
    } else {
      this->context.timeBetweenTokens.Record(now - this->lastTokenAt);
    }
    this->CountToken(aChunk.offset == this->startOffset, now);
    this->lastTokenAt = now;
    if (this->times.tokens++ == 0) {
      this->times.firstTokenAt = now;
    }
    return this->sink.Text(aChunk.offset, aChunk.text);
  }

  void CountToken(bool aFirst, core::MonotonicTime aNow)
  {
    if (this->counters == nullptr) {
      return;
    }
    if (aFirst) {
      this->counters->CountFirstToken(aNow - this->startedAt);
    } else {
      this->counters->CountTokenGap(aNow - this->lastTokenAt);
    }
  }

  // An attempt without a first token has waited at least until now.
  void RecordQueueWait(const routing::RankedEngine& aRanked)
  {
    const bool begun = this->times.tokens > 0;
    const core::MonotonicTime until = begun ? this->times.firstTokenAt : this->context.clock.Now();
    const routing::Seconds prefill = aRanked.cost - aRanked.wait;
    const routing::Seconds waited = until - this->times.startedAt - prefill;
    this->context.knowledge.capacity.RecordWait(this->request.priority, aRanked.queueWait, waited);
  }

  void RecordCapacity(const routing::RankedEngine& aRanked)
  {
    if (this->times.tokens == 0) {
      return;
    }
    routing::FinishedAttempt finished;
    finished.firstToken = this->times.firstTokenAt - this->times.startedAt;
    finished.decode = this->lastTokenAt - this->times.firstTokenAt;
    finished.uncached = aRanked.uncached;
    finished.startedAtOnce = aRanked.wait == routing::Seconds(0.0);
    finished.tokens = core::TokenCount(this->times.tokens);
    finished.maxTokens = this->request.maxTokens;
    this->context.knowledge.capacity.RecordAttempt(aRanked.engine.target, finished);
  }

  // Cancels the attempt, because an abandoned answer would keep occupying a slot of the engine.
  void CancelAttempt(const control::EngineView& aEngine)
  {
    const absl::Status cancelled =
      this->context.engines.Cancel(aEngine.address, this->requestId, this->assembly.Attempt());
    core::Log(
      core::LogLevel::kInfo,
      "attempt cancelled",
      { { "request", this->requestId.Text() }, { "taken", cancelled.ok() ? "yes" : "no" } });
  }

  void RememberFailure(const absl::Status& aStatus)
  {
    this->RememberFailure(aStatus, targets::OutcomeOfFailure(aStatus));
  }

  void RememberFailure(const absl::Status& aStatus, core::Outcome aOutcome)
  {
    if (aOutcome != core::Outcome::kNotRun) {
      this->outcome = core::Outcome::kUnknown;
    }
    core::Log(core::LogLevel::kWarning,
              "attempt failed",
              { { "request", this->requestId.Text() },
                { "attempt", std::to_string(this->assembly.Attempt().Number()) },
                { "problem", std::string(aStatus.message()) } });
    this->failure = aStatus;
  }

  // Reports a refusal before the first attempt, a refused admission or a missed deadline unchanged;
  // any other failure becomes error 705 (requests.targets_failed).
  absl::Status Cause() const
  {
    const bool neverTried = this->assembly.Attempt().Number() == 0;
    const bool notAdmitted = core::IsError(this->failure, admission::errors::kOverloaded) ||
                             core::IsError(this->failure, admission::errors::kDeadlineTooNear);
    if (neverTried || notAdmitted || core::IsError(this->failure, errors::kDeadlinePassed)) {
      return this->failure;
    }
    return core::MakeError(errors::kTargetsFailed, this->failure.message());
  }

  RequestEnd GiveUp()
  {
    if (!this->sink.Fail({ this->Cause(), this->outcome, this->requestId, this->retryAfter })) {
      return RequestEnd::kCallerGone;
    }
    return this->outcome == core::Outcome::kNotRun ? RequestEnd::kRefused : RequestEnd::kFailed;
  }

  RequestContext& context;
  const CompletionRequest& request;
  core::RequestId requestId;
  AnswerSink& sink;
  AnswerAssembly assembly;
  observe::DeploymentCounters* counters;
  core::MonotonicTime startedAt;
  core::MonotonicTime lastTokenAt;
  core::MonotonicTime deadline;
  bool maySpill;
  bool triedEngine = false;
  std::string startVersion;
  std::string version;
  core::TokenOffset startOffset;
  AttemptTiming times;
  std::map<core::TargetId, core::MonotonicTime> failedAt;
  std::set<core::InstanceId> failedPeers;
  core::Outcome outcome = core::Outcome::kNotRun;
  absl::Status failure;
  std::chrono::seconds retryAfter{ 1 };
};

absl::StatusOr<CompletionRequest>
ReadRequest(net::HttpExchange& aExchange)
{
  const auto body = aExchange.ReadBody(kMaxCompletionBytes);
  if (body.ok()) {
    return ParseCompletionRequest(*body);
  }
  const bool tooLarge = core::IsError(body.status(), net::errors::kBodyTooLarge);
  return core::MakeError(tooLarge ? errors::kTooLarge : errors::kBadRequest,
                         body.status().message());
}

// The instance that receives a request charges it with the maximum number of tokens it may use.
limits::LimitDecision
CheckWorkspaceLimit(RequestContext& aContext, const CompletionRequest& aRequest)
{
  const auto view = aContext.board.Current();
  if (aContext.limits == nullptr || view->configuration == nullptr) {
    return {};
  }
  const config::Configuration& configuration = *view->configuration;
  const auto own = configuration.limits.find(aRequest.workspace);
  const config::WorkspaceLimit& limit =
    own == configuration.limits.end() ? configuration.defaultLimit : own->second;
  const core::TokenCount tokens(aRequest.maxTokens.Number() - aRequest.resumeOffset.Number());
  return aContext.limits->Admit(aRequest.workspace, limit, tokens);
}

} // namespace

RequestEnd
RunCompletion(RequestContext& aContext,
              const CompletionRequest& aRequest,
              const CompletionStart& aStart,
              AnswerSink& aSink)
{
  return CompletionRun(aContext, aRequest, aStart, aSink).Run();
}

RequestEnd
HandleCompletion(RequestContext& aContext,
                 net::HttpExchange& aExchange,
                 const core::RequestId& aRequest)
{
  auto request = ReadRequest(aExchange);
  const absl::Status prepared =
    request.ok() ? PrepareResume(aContext.resume, *aContext.board.Current(), *request)
                 : request.status();
  if (!prepared.ok()) {
    const Problem problem{ prepared, core::Outcome::kNotRun, aRequest };
    return RespondProblem(aExchange, problem) ? RequestEnd::kRefused : RequestEnd::kCallerGone;
  }
  const limits::LimitDecision limit = CheckWorkspaceLimit(aContext, *request);
  if (!limit.admitted) {
    const absl::Status cause = core::MakeError(limits::errors::kLimited, request->workspace.Text());
    const Problem problem{ cause, core::Outcome::kNotRun, aRequest, limit.RetryAfter() };
    return RespondProblem(aExchange, problem) ? RequestEnd::kRefused : RequestEnd::kCallerGone;
  }
  const std::string model = request->deployment.Text();
  const auto sink = request->stream ? MakeEventSink(aExchange, aRequest, model)
                                    : MakeJsonSink(aExchange, aRequest, model);
  return RunCompletion(
    aContext, *request, { aRequest, request->resumeOffset, request->version, true }, *sink);
}

} // namespace plantainslip::requests
