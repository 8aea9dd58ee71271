#include <algorithm>

#include <plantainslip/core/log.hpp>
#include <plantainslip/serving/admission_rule.hpp>
#include <plantainslip/serving/dispatch_rule.hpp>
#include <plantainslip/serving/event_stream.hpp>

#include "attempt.hpp"
#include "http_head.hpp"
#include "request_path.hpp"
#include "simple_call.hpp"

namespace plantainslip::serving {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/// A prefill that takes this many times its estimate and this long besides will not come.
constexpr int kPrefillPatience = 3;
constexpr milliseconds kPrefillSlack{ 800 };
/// Callers wait this long for a first event; an engine that only is busy is not given up before.
constexpr milliseconds kShortestPrefillLimit{ 2'000 };
constexpr milliseconds kReleaseTimeout{ 500 };
/// Interval at which a prompt that is kept back is placed anew; below a chunk's time.
constexpr milliseconds kRecheckInterval{ 12 };
constexpr std::size_t kMostUnreachable = 4;

/// @brief Where the cache of a prompt lies.
struct HeldPrompt
{
  Target engine;
  std::string handle;
};

/// @brief One completion from its admission to the end of its stream.
class Completion
{
public:
  Completion(PathContext& aContext, PathRequest& aRequest)
    : context(aContext)
    , request(aRequest)
    , prompt(*aRequest.facts.prompt)
  {
  }

  Task<void> Serve();

private:
  enum class PrefillEnd
  {
    kHeld,
    kNoEngine,
    kEnded,
  };
  enum class StreamEnd
  {
    kComplete,
    kBroken,
    kCallerGone,
  };

  milliseconds Elapsed() const;
  std::optional<PrefillPlace> Place() const;
  Task<bool> SendPrompt(const PrefillPlace& aPlace,
                        const TargetLoad& aEngineLoad,
                        Attempt& aAttempt);
  Task<PrefillEnd> Prefill();
  Task<void> Decode();
  Task<Attempt> OpenOutput(AttemptCall& aCall, const Target& aEngine);
  std::optional<Target> NextOutputEngine(const Target& aEngine, const Attempt& aAttempt);
  Task<void> EndWhole(AttemptCall& aCall, const Attempt& aAttempt);
  Task<StreamEnd> Relay(AttemptCall& aCall, const Attempt& aAttempt);
  Task<bool> Forward(const Attempt& aAttempt, std::string aBytes);
  bool MaySendElsewhere();
  bool MayResume();
  void ReleaseHandle();
  AttemptPlan DecodePlan() const;
  std::optional<Target> ChooseOutputEngine() const;
  void RecordPrefill(const PrefillPlace& aPlace,
                     const Attempt& aAttempt,
                     milliseconds aTook,
                     double aQueued);

  PathContext& context;
  PathRequest& request;
  const PromptFacts& prompt;
  std::optional<HeldPrompt> held;
  EventStream events;
  TriedTargets decodeTried;
};

Task<void>
FreeHandle(PathContext& aContext, net::Address aAddress, std::string aPath)
{
  SimpleRequest free{ aAddress, "DELETE", std::move(aPath), {}, "", kReleaseTimeout, true };
  const auto answer = co_await CallOnce(aContext.pool, std::move(free));
  if (!answer.ok()) {
    core::Log(
      core::LogLevel::kWarning,
      "handle not released; it lapses by itself",
      { { "target", aAddress.Text() }, { "error", std::string(answer.status().message()) } });
  }
}

void
Completion::ReleaseHandle()
{
  if (this->held.has_value() && !this->held->handle.empty()) {
    asio::co_spawn(this->context.executor,
                   FreeHandle(this->context,
                              this->held->engine.address,
                              this->context.protocol.HandlePath(this->held->handle)),
                   asio::detached);
  }
  this->held.reset();
}

void
Completion::RecordPrefill(const PrefillPlace& aPlace,
                          const Attempt& aAttempt,
                          milliseconds aTook,
                          double aQueued)
{
  if (aAttempt.state == AttemptState::kAnswered) {
    this->context.metrics.prefillCall.Record(aTook);
    this->context.prefill.Learn(aPlace.target.id, aQueued + aPlace.tokens, aTook);
  }
  if (aAttempt.state == AttemptState::kTimedOut || aAttempt.state == AttemptState::kNotSent) {
    this->context.pool.Forget(aPlace.target.address);
  }
  if (const auto judged = JudgeTarget(aAttempt)) {
    this->context.health.Record(aPlace.target.id, *judged, this->context.clock.Now());
  }
}

std::optional<PrefillPlace>
Completion::Place() const
{
  return ChoosePrefill(this->context.View(),
                       this->request.service.name,
                       this->prompt,
                       this->request.route.objective - this->Elapsed(),
                       AllTried(this->request));
}

milliseconds
Completion::Elapsed() const
{
  return std::chrono::duration_cast<milliseconds>(this->context.clock.Now() -
                                                  this->request.caller.arrival);
}

// Sends the prompt once. True if its cache is held; else the attempt says why not.
Task<bool>
Completion::SendPrompt(const PrefillPlace& aPlace, const TargetLoad& aEngineLoad, Attempt& aAttempt)
{
  const auto started = this->context.clock.Now();
  const double queued = aEngineLoad.TokensBefore(aPlace.priority);
  const LoadScope load(
    this->context.loads, aPlace.target.id, PromptLoad(aPlace.priority, aPlace.tokens));
  AttemptCall call(this->context, this->request, aPlace.target);
  AttemptPlan plan;
  plan.step = AttemptStep::kPrefill;
  plan.priority = aPlace.priority;
  plan.fetchFrom = aPlace.fetchFrom;
  const auto limit = std::max(kShortestPrefillLimit,
                              aPlace.wait + aPlace.reading * kPrefillPatience + kPrefillSlack);
  aAttempt = co_await call.Open(plan, limit);
  const auto took = std::chrono::duration_cast<milliseconds>(this->context.clock.Now() - started);
  this->request.prefillTook = took;
  this->request.prefillEngine = aPlace.target.id;
  this->request.prefillPriority = aPlace.priority;
  this->request.engineTokens = aEngineLoad.TokensBefore(kPriorityLevels - 1);
  this->request.prefillWait = aPlace.wait;
  this->request.prefillReading = aPlace.reading;
  this->RecordPrefill(aPlace, aAttempt, took, queued);
  if (aAttempt.state != AttemptState::kAnswered || aAttempt.head.status != kOk) {
    co_return false;
  }
  const auto body = co_await call.ReadAll();
  const auto result = body.ok() ? this->context.protocol.ReadPrefill(*body)
                                : absl::StatusOr<PrefillResult>(body.status());
  if (!result.ok()) {
    aAttempt.detail = std::string(result.status().message());
    co_return false;
  }
  call.Finish();
  this->held = HeldPrompt{ aPlace.target, result->handle };
  co_return true;
}

Task<Completion::PrefillEnd>
Completion::Prefill()
{
  while (true) {
    const auto place = this->Place();
    if (!place.has_value()) {
      co_return PrefillEnd::kNoEngine;
    }
    if (const auto wait = DecideRefusal(this->request.route, *place, this->Elapsed())) {
      std::string reason = "queue_too_long";
      co_await Refuse(this->context, this->request, kUnavailable, std::move(reason), *wait);
      co_return PrefillEnd::kEnded;
    }
    const TargetLoad engineLoad =
      this->context.loads.Total(place->target.id, this->context.clock.Now());
    if (!SendsNow(engineLoad.TokensBefore(kPriorityLevels - 1), place->priority)) {
      co_await Pause(kRecheckInterval, this->request.cancellation);
      if (this->request.cancellation.Reason().has_value()) {
        std::string reason = "cancelled_in_queue";
        co_await GiveUp(this->context, this->request, std::move(reason));
        co_return PrefillEnd::kEnded;
      }
      continue;
    }
    Attempt attempt;
    const bool sent = co_await this->SendPrompt(*place, engineLoad, attempt);
    if (sent) {
      // A first prefill counts neither as an attempt nor as a target that the request was sent to.
      if (this->request.attempts == 1) {
        this->request.attempts = 0;
        this->request.sentTo.clear();
      }
      co_return PrefillEnd::kHeld;
    }
    if (attempt.state == AttemptState::kNotSent) {
      this->request.unreachable.push_back(place->target.id);
      if (this->request.unreachable.size() < kMostUnreachable) {
        continue;
      }
    }
    // One sending must be left for the output.
    const bool again =
      static_cast<int>(this->request.attempts) + 1 < this->request.route.mostTargets;
    if (!again || !TakeRetry(this->context, this->request)) {
      std::string reason = "prefill: " + attempt.detail;
      co_await GiveUp(this->context, this->request, std::move(reason));
      co_return PrefillEnd::kEnded;
    }
  }
}

std::optional<Target>
Completion::ChooseOutputEngine() const
{
  const core::ZoneId& zone =
    this->held.has_value() ? this->held->engine.zone : this->context.ownZone;
  return ChooseDecode(this->context.View(), this->request.service.name, zone, this->decodeTried);
}

AttemptPlan
Completion::DecodePlan() const
{
  AttemptPlan plan;
  plan.priority = static_cast<std::size_t>(std::max(0, this->request.route.rank));
  plan.lastEventId = this->events.LastEventId();
  if (this->held.has_value()) {
    plan.step = AttemptStep::kDecode;
    plan.handleAt = this->held->engine.address;
    plan.handle = this->held->handle;
  }
  return plan;
}

bool
Completion::MaySendElsewhere()
{
  const bool left = static_cast<int>(this->request.attempts) < this->request.route.mostTargets;
  return left && TakeRetry(this->context, this->request);
}

bool
Completion::MayResume()
{
  return this->request.route.resumable && this->MaySendElsewhere();
}

Task<bool>
Completion::Forward(const Attempt& aAttempt, std::string aBytes)
{
  AnswerWriter& writer = this->request.writer;
  if (aBytes.empty()) {
    co_return true;
  }
  if (!writer.Begun()) {
    const auto first = this->context.clock.Now() - this->request.caller.arrival;
    this->request.firstPiece = std::chrono::duration_cast<milliseconds>(first);
    this->context.metrics.firstEvent.Record(first);
    HeaderList headers = ForwardedAnswerHeaders(aAttempt.head.headers);
    const bool begun = co_await writer.BeginStream(aAttempt.head.status, std::move(headers));
    if (!begun) {
      co_return false;
    }
  }
  ++this->request.pieces;
  this->request.lastPieceAt = this->context.clock.Now();
  const bool written = co_await writer.WritePiece(std::move(aBytes));
  co_return written;
}

Task<Completion::StreamEnd>
Completion::Relay(AttemptCall& aCall, const Attempt& aAttempt)
{
  const bool wholeEvents = this->request.route.resumable && aAttempt.head.status == kOk;
  while (true) {
    std::string bytes;
    const absl::StatusOr<bool> more = co_await aCall.ReadSome(bytes);
    if (wholeEvents) {
      bytes = this->events.Take(bytes);
    }
    const bool forwarded = co_await this->Forward(aAttempt, std::move(bytes));
    if (!forwarded) {
      this->request.cancellation.Cancel(CancelReason::kCallerLeft);
      co_return StreamEnd::kCallerGone;
    }
    if (!more.ok()) {
      co_return StreamEnd::kBroken;
    }
    if (!*more) {
      co_return this->events.HasPartial() ? StreamEnd::kBroken : StreamEnd::kComplete;
    }
  }
}

// Ends the caller's answer as complete.
Task<void>
Completion::EndWhole(AttemptCall& aCall, const Attempt& aAttempt)
{
  aCall.Finish();
  std::string reason = "answered";
  LogEnd(this->context, this->request, aAttempt.head.status, reason);
  this->context.metrics.wholeAnswer.Record(this->context.clock.Now() -
                                           this->request.caller.arrival);
  if (this->request.writer.Begun()) {
    co_await this->request.writer.EndStream();
    co_return;
  }
  HeaderList headers = ForwardedAnswerHeaders(aAttempt.head.headers);
  std::string empty;
  co_await this->request.writer.WriteWhole(
    aAttempt.head.status, std::move(headers), std::move(empty));
}

// Chooses who goes on after an attempt that did not end the answer, if anybody may.
std::optional<Target>
Completion::NextOutputEngine(const Target& aEngine, const Attempt& aAttempt)
{
  const bool misdirected = JudgeTarget(aAttempt) == AttemptResult::kMisdirected;
  if (aAttempt.state == AttemptState::kNotRun && !misdirected) {
    // The handle may be gone; the same engine can read the prompt itself.
    const bool hadHandle = this->held.has_value();
    this->held.reset();
    if (hadHandle && TakeRetry(this->context, this->request)) {
      return aEngine;
    }
  }
  if (aAttempt.state == AttemptState::kUnknown) {
    this->held.reset();
  }
  this->decodeTried.push_back(aEngine.id);
  if (aAttempt.state == AttemptState::kNotSent) {
    return this->decodeTried.size() < kMostUnreachable ? this->ChooseOutputEngine() : std::nullopt;
  }
  // Nobody has taken the cache from a target that is another one than listed; another engine may.
  const bool goesOn = misdirected ? this->MaySendElsewhere() : this->MayResume();
  return goesOn ? this->ChooseOutputEngine() : std::nullopt;
}

// Sends the request for its output once; what is left of the limit covers the body too.
Task<Attempt>
Completion::OpenOutput(AttemptCall& aCall, const Target& aEngine)
{
  const AttemptPlan plan = this->DecodePlan();
  Attempt attempt =
    co_await aCall.Open(plan, TimeLeft(this->context, this->request) + milliseconds(1));
  const bool resumes = this->request.writer.Begun();
  if (resumes && attempt.state == AttemptState::kAnswered && attempt.head.status != kOk) {
    // A failure is no continuation of the stream that has begun.
    attempt.state = AttemptState::kUnknown;
    attempt.detail = "status " + std::to_string(attempt.head.status);
  }
  const auto judged = JudgeTarget(attempt);
  if (judged.has_value() && attempt.state != AttemptState::kAnswered) {
    this->context.health.Record(aEngine.id, *judged, this->context.clock.Now());
  }
  co_return attempt;
}

Task<void>
Completion::Decode()
{
  std::optional<Target> engine = this->ChooseOutputEngine();
  std::string reason = "no_engine";
  while (engine.has_value()) {
    const bool reads = !this->held.has_value();
    // Decoding engines read at half the speed.
    LoadScope load(this->context.loads,
                   engine->id,
                   reads ? PromptLoad(0, 2.0 * static_cast<double>(this->prompt.promptTokens))
                         : HandoverLoad(1.0));
    std::optional<LoadScope> giving;
    if (this->held.has_value()) {
      giving.emplace(this->context.loads, this->held->engine.id, HandoverLoad(0.0));
    }
    AttemptCall call(this->context, this->request, *engine);
    const Attempt attempt = co_await this->OpenOutput(call, *engine);
    reason = "decode: " + attempt.detail;
    if (attempt.state == AttemptState::kAnswered) {
      load.PromptRead();
      giving.reset();
      call.Unlimit();
      this->held.reset();
      const core::MonotonicTime now = this->context.clock.Now();
      const StreamEnd end = co_await this->Relay(call, attempt);
      this->context.health.Record(engine->id,
                                  end == StreamEnd::kBroken ? AttemptResult::kFailed
                                                            : AttemptResult::kAnswered,
                                  now);
      if (end == StreamEnd::kComplete) {
        co_await this->EndWhole(call, attempt);
        co_return;
      }
      reason = "stream broke";
      this->events.DropPartial();
    }
    engine = this->NextOutputEngine(*engine, attempt);
  }
  this->ReleaseHandle();
  co_await GiveUp(this->context, this->request, reason);
}

Task<void>
Completion::Serve()
{
  const PrefillEnd end = co_await this->Prefill();
  if (end == PrefillEnd::kEnded) {
    co_return;
  }
  if (this->request.cancellation.Reason().has_value()) {
    this->ReleaseHandle();
    std::string reason = "cancelled_after_prefill";
    co_await GiveUp(this->context, this->request, std::move(reason));
    co_return;
  }
  co_await this->Decode();
}

} // namespace

Task<void>
ServeCompletion(PathContext& aContext, PathRequest& aRequest)
{
  Completion completion(aContext, aRequest);
  co_await completion.Serve();
}

} // namespace plantainslip::serving
