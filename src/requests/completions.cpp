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

constexpr std::chrono::milliseconds kLongestEngineSilence = std::chrono::seconds(30);

enum class AttemptEnd
{
  kFinished,
  kCallerGone,
  kDeadlinePassed,
  kFailed,
};

// When the pieces of one attempt came.
struct AttemptTimes
{
  core::MonotonicTime begunAt;
  core::MonotonicTime firstTokenAt;
  std::uint64_t tokens = 0;
};

// Callers may send any name, so only configured ones are counted apart. A request that another
// instance spilled over is counted there, where its caller is; nothing is given for it here.
observe::DeploymentCounters*
CountersOf(RequestContext& aContext, const core::DeploymentName& aDeployment, bool aSpilled)
{
  if (aSpilled) {
    return nullptr;
  }
  const auto view = aContext.board.Current();
  const bool known =
    view->configuration != nullptr && view->configuration->deployments.contains(aDeployment);
  return &aContext.deployments.Of(known ? aDeployment : core::DeploymentName("unknown"));
}

// One completion from its first attempt to its end.
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
    , counters(CountersOf(aContext, aRequest.deployment, !aStart.maySpill))
    , begunAt(aContext.clock.Now())
    , lastTokenAt(this->begunAt)
    , deadline(this->begunAt + aRequest.deadline)
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
  // Callers may send any name, so only configured ones are counted.
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
      const auto place = this->AwaitPlace();
      if (!place.has_value()) {
        return this->GiveUp();
      }
      switch (this->Try(*place)) {
        case AttemptEnd::kFinished:
          this->context.wholeAnswer.Record(this->context.clock.Now() - this->begunAt);
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

  bool HasBegun() const { return this->assembly.Offset() != core::TokenOffset(); }

  std::optional<Placement> Place()
  {
    // A resumed answer must go on in the version that it began in; one that has not begun may move.
    if (!this->HasBegun()) {
      this->version = this->startVersion;
    }
    const bool admitted = this->triedEngine || this->outcome != core::Outcome::kNotRun;
    PlacementQuery query{ this->request,  this->version,         this->deadline,   admitted,
                          this->maySpill, this->FailedEngines(), this->failedPeers };
    NoPlace noPlace;
    auto place = FindPlace(this->context, query, noPlace);
    if (!place.has_value() && !this->failedAt.empty()) {
      // Every other place is used up, so engines that have reported since they failed are tried
      // again; one that is silent is likely to be dead.
      query.failedEngines = this->SilentEngines();
      place = FindPlace(this->context, query, noPlace);
    }
    if (!place.has_value()) {
      this->retryAfter = noPlace.retryAfter;
      this->failure = noPlace.cause;
    }
    return place;
  }

  std::set<core::TargetId> FailedEngines() const
  {
    std::set<core::TargetId> failed;
    for (const auto& [target, at] : this->failedAt) {
      failed.insert(target);
    }
    return failed;
  }

  std::set<core::TargetId> SilentEngines() const
  {
    std::set<core::TargetId> silent = this->FailedEngines();
    for (const control::EngineView& engine : this->context.board.Current()->engines) {
      const auto failed = this->failedAt.find(engine.target);
      const bool reported = failed != this->failedAt.end() && engine.report.has_value() &&
                            engine.reportedAt > failed->second;
      if (reported) {
        silent.erase(engine.target);
      }
    }
    return silent;
  }

  // Giving up would cut an answer that the caller has a part of, so a place is waited for. A peer
  // that has got nothing from this instance yet is refused at once, since it can look elsewhere.
  std::optional<Placement> AwaitPlace()
  {
    const core::MonotonicTime waitingSince = this->context.clock.Now();
    auto place = this->Place();
    const bool wouldCut =
      this->HasBegun() && (this->maySpill || this->assembly.Offset() > this->startOffset);
    while (!place.has_value() && wouldCut &&
           retries::MayWaitForTarget(waitingSince, this->deadline, this->context.clock.Now())) {
      std::this_thread::sleep_for(retries::kTargetPollInterval);
      place = this->Place();
    }
    if (!place.has_value()) {
      // Logged once, however often a place was looked for.
      this->RememberFailure(this->failure, core::Outcome::kNotRun);
    }
    return place;
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

  AttemptEnd Try(const Placement& aPlace)
  {
    return aPlace.engine.has_value() ? this->TryEngine(*aPlace.engine)
                                     : this->TryPeer(*aPlace.peer);
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
    attempt.timeout = std::min(this->TimeLeft(), kLongestEngineSilence);
    return attempt;
  }

  AttemptEnd TryEngine(const routing::RankedEngine& aRanked)
  {
    const control::EngineView& engine = aRanked.engine;
    this->triedEngine = true;
    this->times = { this->context.clock.Now(), {}, 0 };
    this->context.inFlight.Add(engine.target, this->times.begunAt);
    this->context.knowledge.prefixes.AddExpected(
      engine.target, aRanked.pieces, this->times.begunAt);
    const AttemptEnd end = this->RunAttempt(engine.target.Text(), this->OpenStream(engine));
    this->context.inFlight.Remove(engine.target, this->context.clock.Now());
    if (end != AttemptEnd::kFailed || this->times.tokens > 0) {
      this->TeachWait(aRanked);
    }
    if (end == AttemptEnd::kFinished) {
      this->TeachCapacity(aRanked);
    } else if (end == AttemptEnd::kFailed) {
      this->failedAt[engine.target] = this->context.clock.Now();
      this->context.knowledge.capacity.RecordFailure(engine.target, this->context.clock.Now());
    } else {
      this->CancelAt(engine);
    }
    return end;
  }

  // The attempt is counted in before the mark is looked at, so no work slips past a drain.
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
                                             std::min(this->TimeLeft(), kLongestEngineSilence)));
    if (end == AttemptEnd::kFailed) {
      this->failedPeers.insert(aPeer.instance);
    }
    return end;
  }

  // The peer's answer does not tell its version, so it is fixed beforehand.
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

  AttemptEnd RunAttempt(const std::string& aPlace,
                        absl::StatusOr<std::unique_ptr<targets::TokenStream>> aStream)
  {
    if (!aStream.ok()) {
      this->RememberFailure(aStream.status());
      return AttemptEnd::kFailed;
    }
    this->sink.OfferResume(this->context.resume.SignFor(
      this->request, { this->requestId, this->Deployment().model, this->version, aPlace, 0 }));
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
      if (const auto end = this->TakeChunk(*chunk); end.has_value()) {
        return *end;
      }
    }
  }

  // Gives the attempt's end, or nothing if it goes on.
  std::optional<AttemptEnd> TakeChunk(const targets::TokenChunk& aChunk)
  {
    switch (this->assembly.Judge(aChunk)) {
      case ChunkVerdict::kDeliver:
        return this->Deliver(aChunk) ? std::nullopt : std::optional(AttemptEnd::kCallerGone);
      case ChunkVerdict::kFinish:
        return this->sink.Finish(aChunk.finishReason, aChunk.offset) ? AttemptEnd::kFinished
                                                                     : AttemptEnd::kCallerGone;
      case ChunkVerdict::kBroken:
        this->RememberFailure(core::MakeError(targets::errors::kBadAnswer, "a piece is missing"));
        return AttemptEnd::kFailed;
      default:
        return std::nullopt;
    }
  }

  bool Deliver(const targets::TokenChunk& aChunk)
  {
    const core::MonotonicTime now = this->context.clock.Now();
    if (aChunk.offset == this->startOffset) {
      this->context.firstToken.Record(now - this->begunAt);
    } else {
      this->context.betweenTokens.Record(now - this->lastTokenAt);
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
      this->counters->CountFirstToken(aNow - this->begunAt);
    } else {
      this->counters->CountTokenGap(aNow - this->lastTokenAt);
    }
  }

  // An attempt without a first token has waited until now, at the least.
  void TeachWait(const routing::RankedEngine& aRanked)
  {
    const bool begun = this->times.tokens > 0;
    const core::MonotonicTime until = begun ? this->times.firstTokenAt : this->context.clock.Now();
    const routing::Seconds prefill = aRanked.cost - aRanked.wait;
    const routing::Seconds waited = until - this->times.begunAt - prefill;
    this->context.knowledge.capacity.RecordWait(this->request.priority, aRanked.queueWait, waited);
  }

  void TeachCapacity(const routing::RankedEngine& aRanked)
  {
    if (this->times.tokens == 0) {
      return;
    }
    routing::FinishedAttempt finished;
    finished.firstToken = this->times.firstTokenAt - this->times.begunAt;
    finished.decode = this->lastTokenAt - this->times.firstTokenAt;
    finished.uncached = aRanked.uncached;
    finished.startedAtOnce = aRanked.wait == routing::Seconds(0.0);
    finished.tokens = core::TokenCount(this->times.tokens);
    finished.maxTokens = this->request.maxTokens;
    this->context.knowledge.capacity.RecordAttempt(aRanked.engine.target, finished);
  }

  // An answer that nobody waits for would hold a slot of the engine.
  void CancelAt(const control::EngineView& aEngine)
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

  // A refusal before the first attempt, and a deadline, are told as they are.
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
  core::MonotonicTime begunAt;
  core::MonotonicTime lastTokenAt;
  core::MonotonicTime deadline;
  bool maySpill;
  bool triedEngine = false;
  std::string startVersion;
  std::string version;
  core::TokenOffset startOffset;
  AttemptTimes times;
  std::map<core::TargetId, core::MonotonicTime> failedAt;
  std::set<core::InstanceId> failedPeers;
  core::Outcome outcome = core::Outcome::kNotRun;
  absl::Status failure;
  std::chrono::seconds retryAfter{ 1 };
};

absl::StatusOr<CompletionRequest>
ReadRequest(net::HttpExchange& aExchange)
{
  const auto body = aExchange.ReadBody(kLargestCompletionBytes);
  if (body.ok()) {
    return ParseCompletionRequest(*body);
  }
  const bool tooLarge = core::IsError(body.status(), net::errors::kBodyTooLarge);
  return core::MakeError(tooLarge ? errors::kTooLarge : errors::kBadRequest,
                         body.status().message());
}

// A request is charged where it comes in, with all tokens that it may take.
limits::LimitDecision
AskLimit(RequestContext& aContext, const CompletionRequest& aRequest)
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
  const absl::Status usable =
    request.ok() ? PrepareResume(aContext.resume, *aContext.board.Current(), *request)
                 : request.status();
  if (!usable.ok()) {
    const Problem problem{ usable, core::Outcome::kNotRun, aRequest };
    return RespondProblem(aExchange, problem) ? RequestEnd::kRefused : RequestEnd::kCallerGone;
  }
  const limits::LimitDecision limit = AskLimit(aContext, *request);
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
