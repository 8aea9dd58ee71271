#include <algorithm>
#include <functional>

#include <plantainslip/core/log.hpp>
#include <plantainslip/serving/admission_rule.hpp>
#include <plantainslip/serving/dispatch_rule.hpp>

#include "attempt.hpp"
#include "http_head.hpp"
#include "request_path.hpp"
#include "response_relay.hpp"
#include "simple_call.hpp"
#include "spawn.hpp"

namespace plantainslip::serving {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/// The prefill timeout is the expected wait, this multiple of the expected reading time, and this
/// margin; a prefill that takes longer is not expected to end.
constexpr int kPrefillTimeoutFactor = 3;
constexpr milliseconds kPrefillTimeoutMargin{ 800 };
/// Callers wait this long for a first event, so an engine that is only busy is not given up
/// earlier.
constexpr milliseconds kMinPrefillTimeout{ 2'000 };
constexpr milliseconds kReleaseTimeout{ 500 };
/// Interval at which a queued prompt is placed again; shorter than an engine's time per chunk.
constexpr milliseconds kRecheckInterval{ 12 };
/// Time after a request found the memory of all engines full in which others are checked before
/// their prefill; a stream ends at some engine within it.
constexpr milliseconds kMemoryFullPeriod{ 300 };
/// From this number of unreachable engines on, prefill needs a retry to go on. Decode gives up at
/// an unreachable engine once it has tried this many engines, reached or not.
constexpr std::size_t kMaxUnreachable = 4;

/// @brief Engine and handle that hold the cache of a prompt.
struct CachedPrompt
{
  Target engine;
  std::string handle;
};

/// @brief Serves one completion from admission to the end of its stream.
class Completion
{
public:
  Completion(PathContext& aContext, PathRequest& aRequest)
    : context(aContext)
    , request(aRequest)
    , prompt(*aRequest.info.prompt)
    , relay(aContext, aRequest, [this] { this->CountLateness(); })
  {
  }

  Task<void> Serve();

private:
  enum class PrefillOutcome
  {
    kCached,
    kNoEngine,
    kRequestEnded,
  };

  milliseconds Elapsed() const;
  PlacementView View(AttemptStep aStep) const;
  std::optional<PrefillPlacement> ChoosePrefillEngine() const;
  Task<bool> SendPrefill(const PrefillPlacement& aPlace,
                         const TargetLoad& aEngineLoad,
                         Attempt& aAttempt);
  Task<PrefillOutcome> Prefill();
  Task<void> Decode();
  Task<Attempt> SendDecode(AttemptCall& aCall, const Target& aEngine);
  std::optional<Target> NextDecodeEngine(const Target& aEngine, const Attempt& aAttempt);
  Task<bool> ForwardResponse(AttemptCall& aCall, Attempt& aAttempt);
  bool TakeRetryIfAttemptsRemain();
  bool TakeRetryIfResumable();
  void ReleaseHandle();
  void CountLateness();
  void CountDemandOnce(const PrefillPlacement& aPlace);
  AttemptPlan DecodePlan() const;
  std::optional<Target> ChooseDecodeEngine() const;
  std::optional<Target> ChooseDecodeEngineFor(double aTokens) const;
  double HeldTokens() const;
  bool IsMemoryFull();
  milliseconds RetryDelay(milliseconds aWait) const;
  Task<bool> RefuseIfNoMemory();
  Task<std::optional<Target>> AwaitDecodeEngine();
  void RecordPrefill(const PrefillPlacement& aPlace,
                     const Attempt& aAttempt,
                     milliseconds aDuration,
                     double aQueuedTokens);

  PathContext& context;
  PathRequest& request;
  const PromptInfo& prompt;
  std::optional<CachedPrompt> cachedPrompt;
  ResponseRelay relay;
  TriedTargets triedDecodeEngines;
  bool demandCounted = false;
  /// @brief Time from the request's arrival until its prompt was prefilled.
  milliseconds prefillEnded{ 0 };
};

Task<void>
DeleteHandle(PathContext& aContext, Target aEngine, std::string aPath)
{
  SimpleRequest request{
    aEngine.address, "DELETE", std::move(aPath), {}, "", kReleaseTimeout, true
  };
  const auto answer = co_await SendSimpleRequest(aContext.pool, std::move(request));
  if (!answer.ok()) {
    core::Log(core::LogLevel::kWarning,
              "handle not released; it expires by itself",
              { { "target", aEngine.address.Text() },
                { "error", std::string(answer.status().message()) } });
    co_return;
  }
  RecordNotices(aContext, aEngine, aContext.protocol.ReadResponse(answer->status, answer->headers));
}

void
Completion::ReleaseHandle()
{
  if (this->cachedPrompt.has_value() && !this->cachedPrompt->handle.empty()) {
    Spawn(this->context.executor,
          "release handle",
          [&context = this->context,
           engine = this->cachedPrompt->engine,
           path = this->context.protocol.HandlePath(this->cachedPrompt->handle)] {
            return DeleteHandle(context, engine, path);
          });
  }
  this->cachedPrompt.reset();
}

void
Completion::RecordPrefill(const PrefillPlacement& aPlace,
                          const Attempt& aAttempt,
                          milliseconds aDuration,
                          double aQueuedTokens)
{
  if (aAttempt.state == AttemptState::kAnswered) {
    this->context.metrics.prefillCall.Record(aDuration);
    this->context.prefill.RecordCall(aPlace.target.id, aQueuedTokens, aPlace.tokens, aDuration);
  }
  if (aAttempt.state == AttemptState::kTimedOut || aAttempt.state == AttemptState::kNotSent) {
    this->context.pool.CloseIdle(aPlace.target.address);
  }
  if (const auto targetResult = ToAttemptResult(aAttempt)) {
    this->context.health.Record(aPlace.target.id, *targetResult, this->context.clock.Now());
  }
}

PlacementView
Completion::View(AttemptStep aStep) const
{
  PlacementView view = this->context.View();
  view.maxIdle = MaxIdleFor(this->context, this->request, aStep);
  return view;
}

std::optional<PrefillPlacement>
Completion::ChoosePrefillEngine() const
{
  return ChoosePrefill(this->View(AttemptStep::kPrefill),
                       this->request.service.name,
                       this->prompt,
                       this->request.route.objective - this->Elapsed(),
                       ExcludedTargets(this->request));
}

// Counts a first event that is late for the stage that it had to wait for.
void
Completion::CountLateness()
{
  if (this->request.timeToFirstChunk <= this->request.route.objective) {
    return;
  }
  const auto excess = [](milliseconds aTook, milliseconds aExpected) {
    return std::max(0.0, static_cast<double>((aTook - aExpected).count()));
  };
  const double prefill = excess(this->prefillEnded, this->request.expectedPrefillDuration);
  const double decode =
    excess(this->request.timeToFirstChunk - this->prefillEnded, kFirstEventDelay);
  const double share = prefill + decode > 0.0 ? prefill / (prefill + decode) : 1.0;
  this->context.demand.AddLate(this->request.service.name, share, 1.0 - share);
}

void
Completion::CountDemandOnce(const PrefillPlacement& aPlace)
{
  if (!this->demandCounted) {
    this->demandCounted = true;
    this->context.demand.AddPrompt(this->request.service.name,
                                   aPlace.tokens / this->context.prefill.Rate(aPlace.target.id),
                                   this->request.route.objective - aPlace.prefillTime -
                                     kFirstEventDelay);
  }
}

milliseconds
Completion::Elapsed() const
{
  return std::chrono::duration_cast<milliseconds>(this->context.clock.Now() -
                                                  this->request.caller.arrival);
}

// Sends the prompt once. Returns whether its cache is held; if not, aAttempt has the reason.
Task<bool>
Completion::SendPrefill(const PrefillPlacement& aPlace,
                        const TargetLoad& aEngineLoad,
                        Attempt& aAttempt)
{
  const auto started = this->context.clock.Now();
  const double queuedTokens = aEngineLoad.TokensBefore(aPlace.priority);
  const LoadScope load(
    this->context.loads, aPlace.target.id, PromptLoad(aPlace.priority, aPlace.tokens));
  AttemptCall call(this->context, this->request, aPlace.target);
  AttemptPlan plan;
  plan.step = AttemptStep::kPrefill;
  plan.priority = aPlace.priority;
  plan.fetchFrom = aPlace.fetchFrom;
  const auto limit = std::max(kMinPrefillTimeout,
                              aPlace.queueingTime + aPlace.prefillTime * kPrefillTimeoutFactor +
                                kPrefillTimeoutMargin);
  aAttempt = co_await call.SendAndReadHead(plan, limit);
  std::string body;
  if (aAttempt.state == AttemptState::kAnswered && aAttempt.head.status == kOk) {
    body = co_await call.ReadRemainingBody(aAttempt);
  }
  const auto duration =
    std::chrono::duration_cast<milliseconds>(this->context.clock.Now() - started);
  this->request.prefillDuration = duration;
  this->request.prefillEngine = aPlace.target.id;
  this->request.prefillPriority = aPlace.priority;
  this->request.engineQueuedTokens = aEngineLoad.TokensBefore(kPriorityLevels - 1);
  this->request.expectedPrefillWait = aPlace.queueingTime;
  this->request.expectedPrefillDuration = aPlace.prefillTime;
  this->RecordPrefill(aPlace, aAttempt, duration, queuedTokens);
  if (aAttempt.state != AttemptState::kAnswered || aAttempt.head.status != kOk) {
    co_return false;
  }
  const auto result = this->context.protocol.ReadPrefill(body);
  if (!result.ok()) {
    aAttempt.detail = std::string(result.status().message());
    co_return false;
  }
  this->cachedPrompt = CachedPrompt{ aPlace.target, result->handle };
  this->prefillEnded = this->Elapsed();
  co_return true;
}

Task<Completion::PrefillOutcome>
Completion::Prefill()
{
  while (true) {
    const bool ended = co_await EndIfQuarantined(this->context, this->request);
    if (ended) {
      co_return PrefillOutcome::kRequestEnded;
    }
    const auto place = this->ChoosePrefillEngine();
    if (!place.has_value()) {
      co_return PrefillOutcome::kNoEngine;
    }
    this->CountDemandOnce(*place);
    if (const auto retryAfter = RefusalRetryDelay(this->request.route, *place, this->Elapsed())) {
      std::string reason = "queue_too_long";
      co_await Refuse(this->context,
                      this->request,
                      kUnavailable,
                      std::move(reason),
                      this->RetryDelay(*retryAfter));
      co_return PrefillOutcome::kRequestEnded;
    }
    const TargetLoad engineLoad =
      this->context.loads.Total(place->target.id, this->context.clock.Now());
    if (!ShouldDispatchNow(engineLoad.TokensBefore(kPriorityLevels - 1), place->priority)) {
      co_await SleepFor(kRecheckInterval, this->request.cancellation);
      if (this->request.cancellation.Reason().has_value()) {
        std::string reason = "cancelled_in_queue";
        co_await FailRequest(this->context, this->request, std::move(reason));
        co_return PrefillOutcome::kRequestEnded;
      }
      continue;
    }
    Attempt attempt;
    const bool cached = co_await this->SendPrefill(*place, engineLoad, attempt);
    if (cached) {
      // A first prefill counts neither as an attempt nor as a target that the request was sent to.
      if (this->request.attempts == 1) {
        this->request.attempts = 0;
        this->request.sentTo.clear();
      }
      co_return PrefillOutcome::kCached;
    }
    if (IsUnsent(attempt.state)) {
      this->request.unreachable.push_back(place->target.id);
      if (this->request.unreachable.size() < kMaxUnreachable) {
        continue;
      }
    }
    // One attempt must remain for the decode.
    const bool attemptsRemain =
      static_cast<int>(this->request.attempts) + 1 < this->request.route.maxTargets;
    if (!attemptsRemain || !TryTakeRetry(this->context, this->request)) {
      std::string reason = "prefill: " + attempt.detail;
      co_await FailRequest(this->context, this->request, std::move(reason));
      co_return PrefillOutcome::kRequestEnded;
    }
  }
}

std::optional<Target>
Completion::ChooseDecodeEngineFor(double aTokens) const
{
  const core::ZoneId& zone =
    this->cachedPrompt.has_value() ? this->cachedPrompt->engine.zone : this->context.ownZone;
  return ChooseDecode(this->View(AttemptStep::kDecode),
                      this->request.service.name,
                      zone,
                      this->triedDecodeEngines,
                      aTokens);
}

std::optional<Target>
Completion::ChooseDecodeEngine() const
{
  return this->ChooseDecodeEngineFor(this->HeldTokens());
}

// Tokens that the request holds in an engine's memory at most.
double
Completion::HeldTokens() const
{
  return static_cast<double>(this->prompt.promptTokens + this->prompt.maxOutputTokens);
}

// Returns whether there are engines that decode, but none has memory for the request.
bool
Completion::IsMemoryFull()
{
  if (this->ChooseDecodeEngine().has_value() || !this->ChooseDecodeEngineFor(0.0).has_value()) {
    return false;
  }
  this->context.memoryFullAt[this->request.service.name] = this->context.clock.Now();
  return true;
}

milliseconds
Completion::RetryDelay(milliseconds aWait) const
{
  // Differs between the attempts of a caller as well.
  const auto arrival = this->request.caller.arrival.time_since_epoch().count();
  const auto seed =
    std::hash<std::string>()(this->request.info.id.Text()) ^ static_cast<std::size_t>(arrival);
  return SpreadRetryDelay(aWait, TimeLeft(this->context, this->request), seed);
}

// Refuses a request that no engine can hold, or that would be prefilled in vain. Engines are
// checked before the prefill only while a request has lately found none with room.
Task<bool>
Completion::RefuseIfNoMemory()
{
  const double memory = EngineMemory(*this->context.fleet, this->request.service.name);
  if (memory > 0.0 && this->HeldTokens() > memory) {
    std::string reason = "larger_than_engine";
    co_await Refuse(this->context, this->request, kUnavailable, std::move(reason), milliseconds(0));
    co_return true;
  }
  const auto fullAt = this->context.memoryFullAt.find(this->request.service.name);
  const bool wasFull = fullAt != this->context.memoryFullAt.end() &&
                       this->context.clock.Now() - fullAt->second <= kMemoryFullPeriod;
  if (!wasFull || !this->IsMemoryFull()) {
    co_return false;
  }
  std::string reason = "engines_full";
  const milliseconds retryAfter = this->RetryDelay(kMemoryFullPeriod);
  co_await Refuse(this->context, this->request, kUnavailable, std::move(reason), retryAfter);
  co_return true;
}

// Waits for an engine with room while all are full, for a fraction of the time that the prompt's
// cache is kept.
Task<std::optional<Target>>
Completion::AwaitDecodeEngine()
{
  const core::MonotonicTime until =
    this->context.clock.Now() + std::min(this->request.service.engine->handleLifetime / 2,
                                         TimeLeft(this->context, this->request) / 3);
  while (this->IsMemoryFull() && this->context.clock.Now() < until &&
         !this->request.cancellation.Reason().has_value()) {
    co_await SleepFor(kRecheckInterval, this->request.cancellation);
  }
  co_return this->ChooseDecodeEngine();
}

AttemptPlan
Completion::DecodePlan() const
{
  AttemptPlan plan;
  plan.priority = static_cast<std::size_t>(std::max(0, this->request.route.rank));
  plan.lastEventId = this->relay.LastEventId();
  if (this->cachedPrompt.has_value()) {
    plan.step = AttemptStep::kDecode;
    plan.handleAddress = this->cachedPrompt->engine.address;
    plan.handle = this->cachedPrompt->handle;
  }
  return plan;
}

bool
Completion::TakeRetryIfAttemptsRemain()
{
  const bool attemptsRemain =
    static_cast<int>(this->request.attempts) < this->request.route.maxTargets;
  return attemptsRemain && TryTakeRetry(this->context, this->request);
}

bool
Completion::TakeRetryIfResumable()
{
  return this->relay.IsContinuable() && this->TakeRetryIfAttemptsRemain();
}

// Forwards a response. Returns whether the request has ended; if not, aAttempt has the reason.
Task<bool>
Completion::ForwardResponse(AttemptCall& aCall, Attempt& aAttempt)
{
  const core::MonotonicTime answeredAt = this->context.clock.Now();
  std::string body;
  bool complete = false;
  if (this->relay.RelaysEvents(aAttempt)) {
    const RelayOutcome outcome = co_await this->relay.RelayEvents(aCall, aAttempt);
    complete = outcome == RelayOutcome::kWhole;
    this->context.health.Record(this->request.sentTo.back(),
                                outcome == RelayOutcome::kBroken ? AttemptResult::kFailed
                                                                 : AttemptResult::kAnswered,
                                answeredAt);
  } else {
    this->request.relay = kRelayedWhole;
    CountUsageOnce(this->context, this->request);
    body = co_await aCall.ReadRemainingBody(aAttempt);
    complete = aAttempt.state == AttemptState::kAnswered;
    if (const auto targetResult = ToAttemptResult(aAttempt)) {
      this->context.health.Record(
        this->request.sentTo.back(), *targetResult, this->context.clock.Now());
    }
  }
  if (complete) {
    this->context.metrics.wholeAnswer.Record(this->Elapsed());
    co_await this->relay.Complete(aAttempt, std::move(body));
  }
  co_return complete;
}

// Chooses the engine to continue at after a failed attempt, if a retry is allowed.
std::optional<Target>
Completion::NextDecodeEngine(const Target& aEngine, const Attempt& aAttempt)
{
  const bool misdirected = ToAttemptResult(aAttempt) == AttemptResult::kMisdirected;
  if (aAttempt.state == AttemptState::kNotRun && !misdirected) {
    // The handle may have expired; the same engine can read the prompt itself.
    const bool hadHandle = this->cachedPrompt.has_value();
    this->cachedPrompt.reset();
    const bool takesRequests = !this->context.notices.IsLeaving(aEngine) &&
                               WaitFor(this->context.View(), aEngine).count() == 0;
    if (hadHandle && takesRequests && TryTakeRetry(this->context, this->request)) {
      return aEngine;
    }
  }
  if (aAttempt.state == AttemptState::kUnknown) {
    this->cachedPrompt.reset();
  }
  this->triedDecodeEngines.push_back(aEngine.id);
  if (IsUnsent(aAttempt.state)) {
    return this->triedDecodeEngines.size() < kMaxUnreachable ? this->ChooseDecodeEngine()
                                                             : std::nullopt;
  }
  // A target that is not the listed one has not fetched the cache, so another engine still can.
  const bool mayRetry =
    misdirected ? this->TakeRetryIfAttemptsRemain() : this->TakeRetryIfResumable();
  return mayRetry ? this->ChooseDecodeEngine() : std::nullopt;
}

// Sends the decode request once, with a timeout that Decode() removes before it relays the body.
Task<Attempt>
Completion::SendDecode(AttemptCall& aCall, const Target& aEngine)
{
  const AttemptPlan plan = this->DecodePlan();
  Attempt attempt =
    co_await aCall.SendAndReadHead(plan, TimeLeft(this->context, this->request) + milliseconds(1));
  this->relay.RejectUnlessContinuing(attempt);
  const auto targetResult = ToAttemptResult(attempt);
  if (targetResult.has_value() && attempt.state != AttemptState::kAnswered) {
    this->context.health.Record(aEngine.id, *targetResult, this->context.clock.Now());
  }
  co_return attempt;
}

Task<void>
Completion::Decode()
{
  std::optional<Target> engine = this->ChooseDecodeEngine();
  if (!engine.has_value()) {
    engine = co_await this->AwaitDecodeEngine();
  }
  std::string reason = engine.has_value() || !this->IsMemoryFull() ? "no_engine" : "engines_full";
  while (engine.has_value()) {
    const bool ended = co_await EndIfQuarantined(this->context, this->request);
    if (ended) {
      this->ReleaseHandle();
      co_return;
    }
    const bool readsPrompt = !this->cachedPrompt.has_value();
    // Decode engines read prompts at half the speed, so the tokens count twice.
    TargetLoad engineLoad = readsPrompt
                              ? PromptLoad(0, 2.0 * static_cast<double>(this->prompt.promptTokens))
                              : CacheTransferLoad(1.0);
    engineLoad.heldTokens = this->HeldTokens();
    LoadScope load(this->context.loads, engine->id, engineLoad);
    std::optional<LoadScope> sourceLoad;
    if (this->cachedPrompt.has_value()) {
      sourceLoad.emplace(
        this->context.loads, this->cachedPrompt->engine.id, CacheTransferLoad(0.0));
    }
    const StreamScope stream(
      this->context, this->request.service.name, this->prompt.promptTokens, !readsPrompt);
    AttemptCall call(this->context, this->request, *engine);
    Attempt attempt = co_await this->SendDecode(call, *engine);
    if (attempt.state == AttemptState::kAnswered) {
      load.RemoveAllButRequest();
      sourceLoad.reset();
      this->cachedPrompt.reset();
      const bool forwarded = co_await this->ForwardResponse(call, attempt);
      if (forwarded) {
        co_return;
      }
    }
    reason = "decode: " + attempt.detail;
    engine = this->NextDecodeEngine(*engine, attempt);
  }
  this->ReleaseHandle();
  co_await FailRequest(this->context, this->request, reason);
}

Task<void>
Completion::Serve()
{
  if (PauseOf(this->context.View(), this->request.service.name).count() > 0) {
    std::string reason = "engines_paused";
    co_await FailRequest(this->context, this->request, std::move(reason));
    co_return;
  }
  const bool refused = co_await this->RefuseIfNoMemory();
  if (refused) {
    co_return;
  }
  const PrefillOutcome outcome = co_await this->Prefill();
  if (outcome == PrefillOutcome::kRequestEnded) {
    this->context.demand.AddLate(this->request.service.name, 1.0, 0.0);
    co_return;
  }
  if (this->request.cancellation.Reason().has_value()) {
    this->ReleaseHandle();
    std::string reason = "cancelled_after_prefill";
    co_await FailRequest(this->context, this->request, std::move(reason));
    co_return;
  }
  co_await this->Decode();
  if (!this->request.writer.HasStarted()) {
    this->context.demand.AddLate(this->request.service.name, 0.0, 1.0);
  }
}

} // namespace

Task<void>
ServeCompletion(PathContext& aContext, PathRequest& aRequest)
{
  Completion completion(aContext, aRequest);
  co_await completion.Serve();
}

} // namespace plantainslip::serving
