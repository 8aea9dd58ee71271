#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <plantainslip/observe/latency_histogram.hpp>
#include <plantainslip/retries/retry_policy.hpp>
#include <plantainslip/serving/idle_reuse.hpp>
#include <plantainslip/serving/placement.hpp>
#include <plantainslip/serving/request_quarantine.hpp>
#include <plantainslip/serving/stage_demand.hpp>

#include "connection_pool.hpp"
#include "path_metrics.hpp"

namespace plantainslip::serving {

/// @brief A caller's complete request.
struct CallerRequest
{
  std::string method;
  /// @brief Path and query as the caller sent them.
  std::string target;
  std::string host;
  HeaderList headers;
  std::string body;
  core::MonotonicTime arrival;
};

/// @brief Writes the answer to one caller.
class AnswerWriter
{
public:
  virtual ~AnswerWriter() = default;

  /// @brief Writes a complete answer.
  /// @return false if the caller has disconnected
  virtual Task<bool> WriteWhole(int aStatus, HeaderList aHeaders, std::string aBody) = 0;

  /// @brief Writes the head of a streamed answer, whose length is not known.
  virtual Task<bool> BeginStream(int aStatus, HeaderList aHeaders) = 0;

  /// @brief Writes a chunk of a streamed answer.
  virtual Task<bool> WriteChunk(std::string aChunk) = 0;

  /// @brief Ends a streamed answer as complete.
  virtual Task<bool> EndStream() = 0;

  /// @brief Aborts a started answer, so that the caller sees that it is incomplete.
  virtual void Abort() = 0;

  /// @brief Returns whether writing of the answer has started.
  virtual bool HasStarted() const = 0;

  /// @brief Returns whether a streamed answer is sent in chunks; otherwise the end of the
  ///        connection ends it.
  virtual bool StreamsInChunks() const = 0;
};

/// @brief State shared by all requests of an instance. Used on the traffic thread only.
struct PathContext
{
  asio::any_io_executor executor;
  const TargetProtocol& protocol;
  const core::Clock& clock;
  ConnectionPool& pool;
  PathMetrics& metrics;
  core::ZoneId ownZone;
  /// @brief Retry limits per service: this instance's share.
  retries::RetryOptions retryOptions = {};
  LoadTracker loads = {};
  TargetHealth health = {};
  TargetNotices notices = {};
  TargetLimits limits = {};
  PrefillModel prefill = {};
  DemandMeter demand = {};
  RequestQuarantine quarantine = RequestQuarantine();
  IdleReuse idleReuse = {};
  /// @brief Identifies this instance in the choice among equal targets; zero without peers.
  std::uint64_t affinityKey = 0;
  std::map<core::ServiceName, std::unique_ptr<retries::RetryBudget>> budgets = {};
  /// @brief Latest snapshot published by the control thread; never null.
  std::shared_ptr<const FleetSnapshot> fleet = std::make_shared<FleetSnapshot>();
  /// @brief When the store last confirmed that the snapshot is the newest.
  core::MonotonicTime confirmedAt = {};
  /// @brief Age of that confirmation from which requests that need a key are refused, as the key
  ///        may have been revoked; absent if the last known keys go on being accepted.
  std::optional<milliseconds> revocationBound = {};
  /// @brief Called once for each request of a workspace that begins to run; empty if usage is not
  ///        counted.
  std::function<void(const core::WorkspaceId&)> countUsage = {};
  /// @brief Time of the stop signal and latest end of the process.
  struct Stopping
  {
    core::MonotonicTime since;
    core::MonotonicTime end;
  };
  /// @brief Set once the instance is stopping.
  std::optional<Stopping> stopping = {};

  /// @brief When the memory of all engines that decode was last found full, by service.
  std::map<core::ServiceName, core::MonotonicTime> memoryFullAt = {};

  /// @brief Returns the retry budget of a service; creates it at its first use.
  retries::RetryBudget& Budget(const core::ServiceName& aService)
  {
    auto& budget = this->budgets[aService];
    if (budget == nullptr) {
      budget = std::make_unique<retries::RetryBudget>(this->retryOptions);
    }
    return *budget;
  }

  /// @brief Sets this instance's share of the retries that all instances may accumulate.
  void SetMaxSavedRetries(double aMaxSaved)
  {
    this->retryOptions.maxBalance = aMaxSaved;
    for (const auto& [service, budget] : this->budgets) {
      budget->SetMaxBalance(aMaxSaved);
    }
  }

  /// @brief Returns the time since the store last confirmed that the snapshot is the newest.
  milliseconds ConfirmationAge() const
  {
    return std::chrono::duration_cast<milliseconds>(this->clock.Now() - this->confirmedAt);
  }

  /// @brief Returns the current input for placement decisions.
  PlacementView View() const
  {
    PlacementView view{ *this->fleet,  this->loads,  this->health,  this->prefill,
                        this->notices, this->limits, this->ownZone, this->clock.Now() };
    // An instance without peers spreads its requests by load alone.
    view.connections = this->affinityKey == 0 ? nullptr : &this->pool;
    view.affinityKey = this->affinityKey;
    return view;
  }
};

/// @brief Returns the load of one prompt.
inline TargetLoad
PromptLoad(std::size_t aPriority, double aTokens)
{
  TargetLoad load;
  load.requests = 1.0;
  load.prefillTokens[std::min(aPriority, kPriorityLevels - 1)] = aTokens;
  return load;
}

/// @brief Returns the load of a cache transfer.
/// @param aRequests  0 at the engine that sends the cache, 1 at the engine that fetches it
inline TargetLoad
CacheTransferLoad(double aRequests)
{
  TargetLoad load;
  load.requests = aRequests;
  load.cacheTransfers = 1.0;
  return load;
}

/// Names for the log of the ways in which a response is forwarded.
constexpr std::string_view kRelayedByEvent = "events";
constexpr std::string_view kRelayedWhole = "whole";

/// @brief State of one request in flight.
struct PathRequest
{
  const CallerRequest& caller;
  AnswerWriter& writer;
  Cancellation& cancellation;
  RequestInfo info;
  Route route;
  Service service;
  core::MonotonicTime deadline;
  /// @brief Targets that the request was sent to, in order; without a successful first prefill.
  TriedTargets sentTo;
  /// @brief Targets that could not be reached; nothing was sent.
  TriedTargets unreachable;
  /// @brief Whether a target may have started to run it.
  bool mayHaveRun = false;
  /// @brief Number of attempts that got nothing but a lost connection.
  std::size_t lostConnections = 0;
  /// @brief Number of attempts so far; a successful first prefill does not count.
  std::uint64_t attempts = 0;
  /// @brief Duration of the prefill call, and the wait and reading time that placement expected.
  milliseconds prefillDuration{ 0 };
  milliseconds expectedPrefillWait{ 0 };
  milliseconds expectedPrefillDuration{ 0 };
  /// @brief Engine of the last prefill, the prompt's priority, and the tokens queued at the engine.
  core::TargetId prefillEngine = {};
  std::size_t prefillPriority = 0;
  double engineQueuedTokens = 0.0;
  /// @brief How the end of the last response's body is marked; empty before a response.
  std::string_view framing = {};
  /// @brief How the last response is forwarded: `events` as they arrive, or `whole`; empty before.
  std::string_view relay = {};
  /// @brief Whether the last response that was read to its end is whole, and if not, why.
  std::string_view responseEnd = {};
  /// @brief Time limit that the last attempt's target was given.
  milliseconds timeGiven{ 0 };
  /// @brief When the last attempt was sent, and when reading its response ended, if it has.
  core::MonotonicTime sentAt = {};
  std::optional<core::MonotonicTime> readUntil = {};
  /// @brief Time from the request's arrival to the first chunk of its answer.
  milliseconds timeToFirstChunk{ 0 };
  /// @brief Number of forwarded chunks of a stream, and the time of the last one.
  std::uint64_t chunks = 0;
  core::MonotonicTime lastChunkAt = {};
  /// @brief Identifies the request across its caller's attempts.
  RequestDigest digest = {};
  /// @brief What the quarantine knows the request by.
  TraitSet traits = {};
  /// @brief Workspace that the request belongs to; empty if it belongs to none.
  core::WorkspaceId workspace = {};
  /// @brief Whether the configuration has workspaces, so that the caller's key and a workspace that
  ///        it states are not forwarded.
  bool hidesCallerIdentity = false;
  /// @brief Whether CountUsageOnce() has counted the request.
  bool isUsageCounted = false;
};

/// @brief Counts a request that has begun to run, however often it is called: at a stream's first
///        event and at the head of another answer of a target that does not refuse it.
inline void
CountUsageOnce(const PathContext& aContext, PathRequest& aRequest)
{
  if (!aRequest.isUsageCounted && aContext.countUsage && !aRequest.workspace.Empty()) {
    aContext.countUsage(aRequest.workspace);
    aRequest.isUsageCounted = true;
  }
}

/// @brief Returns the targets that a request must not be sent to again: tried or unreachable.
inline TriedTargets
ExcludedTargets(const PathRequest& aRequest)
{
  TriedTargets tried = aRequest.sentTo;
  tried.insert(tried.end(), aRequest.unreachable.begin(), aRequest.unreachable.end());
  return tried;
}

/// @brief Counts load at a target for the scope's lifetime.
class LoadScope
{
public:
  LoadScope(LoadTracker& aTracker, core::TargetId aTarget, TargetLoad aLoad)
    : tracker(aTracker)
    , target(std::move(aTarget))
    , load(aLoad)
  {
    this->tracker.Add(this->target, this->load);
  }
  ~LoadScope() { this->tracker.Remove(this->target, this->load); }
  LoadScope(const LoadScope&) = delete;
  LoadScope& operator=(const LoadScope&) = delete;

  /// @brief Removes all load but the request and the memory that it holds: its prompt was read or
  ///        its cache was received.
  void RemoveAllButRequest()
  {
    TargetLoad done = this->load;
    done.requests = 0.0;
    done.heldTokens = 0.0;
    this->tracker.Remove(this->target, done);
    this->load.Add(done, -1.0);
  }

private:
  LoadTracker& tracker;
  core::TargetId target;
  TargetLoad load;
};

/// @brief Counts an open stream for the scope's lifetime.
class StreamScope
{
public:
  StreamScope(PathContext& aContext,
              core::ServiceName aService,
              std::uint64_t aPromptTokens,
              bool aHandover)
    : context(aContext)
    , service(std::move(aService))
    , promptTokens(aPromptTokens)
  {
    this->context.demand.BeginStream(
      this->service, aPromptTokens, aHandover, this->context.clock.Now());
  }
  ~StreamScope()
  {
    this->context.demand.EndStream(this->service, this->promptTokens, this->context.clock.Now());
  }
  StreamScope(const StreamScope&) = delete;
  StreamScope& operator=(const StreamScope&) = delete;

private:
  PathContext& context;
  core::ServiceName service;
  std::uint64_t promptTokens;
};

} // namespace plantainslip::serving
