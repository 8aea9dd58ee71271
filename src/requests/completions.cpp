#include <plantainslip/requests/completions.hpp>

#include <set>

#include <plantainslip/core/log.hpp>
#include <plantainslip/net/errors.hpp>
#include <plantainslip/requests/answer_assembly.hpp>
#include <plantainslip/requests/answer_sink.hpp>
#include <plantainslip/requests/completion_request.hpp>
#include <plantainslip/requests/errors.hpp>
#include <plantainslip/requests/resume_token.hpp>
#include <plantainslip/routing/choose_target.hpp>
#include <plantainslip/routing/errors.hpp>
#include <plantainslip/targets/errors.hpp>

namespace plantainslip::requests {

namespace {

using observe::RequestEnd;

constexpr std::uint64_t kMostAttempts = 4;
constexpr std::chrono::milliseconds kLongestEngineSilence = std::chrono::seconds(30);

enum class AttemptEnd
{
  kFinished,
  kCallerGone,
  kFailed,
};

// One completion from its first attempt to its end.
class CompletionRun
{
public:
  CompletionRun(RequestContext& aContext,
                const CompletionRequest& aRequest,
                core::RequestId aRequestId,
                AnswerSink& aSink)
    : context(aContext)
    , request(aRequest)
    , requestId(aRequestId)
    , sink(aSink)
    , assembly(std::move(aRequestId), aRequest.resumeOffset)
    , begunAt(aContext.clock.Now())
    , version(aRequest.version)
  {
  }

  RequestEnd Run()
  {
    while (this->assembly.Attempt().Number() < kMostAttempts) {
      const auto engine = this->Choose();
      if (!engine.ok()) {
        this->RememberFailure(engine.status());
        break;
      }
      switch (this->TryEngine(*engine)) {
        case AttemptEnd::kFinished:
          this->context.wholeAnswer.Record(this->context.clock.Now() - this->begunAt);
          return RequestEnd::kAnswered;
        case AttemptEnd::kCallerGone:
          return RequestEnd::kCallerGone;
        case AttemptEnd::kFailed:
          this->excluded.insert(engine->target);
      }
    }
    return this->GiveUp();
  }

private:
  absl::StatusOr<control::EngineView> Choose()
  {
    routing::EngineQuery query{ this->context.zone,
                                this->request.deployment,
                                this->request.adapter,
                                this->request.prompt,
                                this->excluded };
    const auto view = this->context.board.Current();
    const std::scoped_lock lock(this->context.randomMutex);
    return routing::ChooseEngine(*view, query, this->context.inFlight, this->context.random);
  }

  targets::GenerateRequest MakeAttempt(const control::EngineView& aEngine)
  {
    targets::GenerateRequest attempt;
    attempt.request = this->requestId;
    attempt.attempt = this->assembly.NextAttempt();
    attempt.model = aEngine.report->model;
    // A resumed answer must go on in the version that it began in.
    if (this->version.empty()) {
      this->version = aEngine.report->version;
    }
    attempt.version = this->version;
    attempt.adapter = this->request.adapter;
    attempt.prompt = this->request.prompt;
    attempt.maxTokens = this->request.maxTokens;
    attempt.offset = this->assembly.Offset();
    attempt.priority = this->request.priority;
    attempt.timeout = std::min(this->request.deadline, kLongestEngineSilence);
    return attempt;
  }

  AttemptEnd TryEngine(const control::EngineView& aEngine)
  {
    this->context.inFlight.Add(aEngine.target);
    const AttemptEnd end = this->RunAttempt(aEngine);
    this->context.inFlight.Remove(aEngine.target);
    if (end == AttemptEnd::kCallerGone) {
      const absl::Status cancelled =
        this->context.engines.Cancel(aEngine.address, this->requestId, this->assembly.Attempt());
      core::Log(
        core::LogLevel::kInfo,
        "caller gone",
        { { "request", this->requestId.Text() }, { "cancelled", cancelled.ok() ? "yes" : "no" } });
    }
    return end;
  }

  AttemptEnd RunAttempt(const control::EngineView& aEngine)
  {
    auto stream = this->context.engines.Generate(aEngine.address, this->MakeAttempt(aEngine));
    if (!stream.ok()) {
      this->RememberFailure(stream.status());
      return AttemptEnd::kFailed;
    }
    this->sink.OfferResume(this->context.resume.SignFor(
      this->request, { this->requestId, aEngine.report->model, this->version, aEngine.target, 0 }));
    for (;;) {
      const auto chunk = (*stream)->Next();
      if (!chunk.ok()) {
        this->RememberFailure(chunk.status());
        return AttemptEnd::kFailed;
      }
      switch (this->assembly.Judge(*chunk)) {
        case ChunkVerdict::kDeliver:
          if (!this->Deliver(*chunk)) {
            return AttemptEnd::kCallerGone;
          }
          break;
        case ChunkVerdict::kFinish:
          return this->sink.Finish(chunk->finishReason, chunk->offset) ? AttemptEnd::kFinished
                                                                       : AttemptEnd::kCallerGone;
        case ChunkVerdict::kDrop:
          break;
        case ChunkVerdict::kBroken:
          this->RememberFailure(core::MakeError(targets::errors::kBadAnswer, "a piece is missing"));
          return AttemptEnd::kFailed;
      }
    }
  }

  bool Deliver(const targets::TokenChunk& aChunk)
  {
    if (aChunk.offset == core::TokenOffset()) {
      this->context.firstToken.Record(this->context.clock.Now() - this->begunAt);
    }
    return this->sink.Text(aChunk.offset, aChunk.text);
  }

  void RememberFailure(const absl::Status& aStatus)
  {
    const bool fromRouting = core::IsError(aStatus, routing::errors::kNoTarget) ||
                             core::IsError(aStatus, routing::errors::kUnknownName);
    if (!fromRouting && targets::OutcomeOfFailure(aStatus) != core::Outcome::kNotRun) {
      this->outcome = core::Outcome::kUnknown;
    }
    core::Log(core::LogLevel::kWarning,
              "attempt failed",
              { { "request", this->requestId.Text() },
                { "attempt", std::to_string(this->assembly.Attempt().Number()) },
                { "problem", std::string(aStatus.message()) } });
    this->failure = aStatus;
  }

  RequestEnd GiveUp()
  {
    const bool started = this->outcome != core::Outcome::kNotRun;
    const absl::Status cause =
      started || !core::IsError(this->failure, routing::errors::kUnknownName)
        ? core::MakeError(errors::kTargetsFailed, this->failure.message())
        : this->failure;
    if (!this->sink.Fail({ cause, this->outcome, this->requestId })) {
      return RequestEnd::kCallerGone;
    }
    return started ? RequestEnd::kFailed : RequestEnd::kRefused;
  }

  RequestContext& context;
  const CompletionRequest& request;
  core::RequestId requestId;
  AnswerSink& sink;
  AnswerAssembly assembly;
  core::MonotonicTime begunAt;
  std::string version;
  std::set<core::TargetId> excluded;
  core::Outcome outcome = core::Outcome::kNotRun;
  absl::Status failure;
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

} // namespace

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
  const std::string model = request->deployment.Text();
  const auto sink = request->stream ? MakeEventSink(aExchange, aRequest, model)
                                    : MakeJsonSink(aExchange, aRequest, model);
  return CompletionRun(aContext, *request, aRequest, *sink).Run();
}

} // namespace plantainslip::requests
