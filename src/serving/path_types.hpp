#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <plantainslip/observe/latency_histogram.hpp>
#include <plantainslip/retries/retry_policy.hpp>
#include <plantainslip/serving/placement.hpp>

#include "connection_pool.hpp"
#include "path_metrics.hpp"

namespace plantainslip::serving {

/// @brief A caller's request, read whole.
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

  /// @brief Writes a whole answer.
  /// @return false if the caller is gone
  virtual Task<bool> WriteWhole(int aStatus, HeaderList aHeaders, std::string aBody) = 0;

  /// @brief Writes the head of an answer whose length is not known.
  virtual Task<bool> BeginStream(int aStatus, HeaderList aHeaders) = 0;

  /// @brief Writes a piece of a begun answer.
  virtual Task<bool> WritePiece(std::string aPiece) = 0;

  /// @brief Ends a begun answer as complete.
  virtual Task<bool> EndStream() = 0;

  /// @brief Ends a begun answer so that the caller sees that it is not complete.
  virtual void Break() = 0;

  /// @brief Tells whether a byte of the answer has been written.
  virtual bool Begun() const = 0;
};

/// @brief State that all requests of an instance share. Used on the traffic thread only.
struct PathContext
{
  asio::any_io_executor executor;
  const TargetProtocol& protocol;
  const core::Clock& clock;
  ConnectionPool& pool;
  PathMetrics& metrics;
  core::ZoneId ownZone;
  /// @brief Bounds of retries for each service: this instance's share.
  retries::RetryOptions retryOptions = {};
  LoadBook loads = {};
  TargetHealth health = {};
  PrefillModel prefill = {};
  std::map<core::ServiceName, std::unique_ptr<retries::RetryBudget>> budgets = {};
  /// @brief What the control thread published last; never null.
  std::shared_ptr<const FleetSnapshot> fleet = std::make_shared<FleetSnapshot>();
  /// @brief When the store last confirmed that the snapshot is the newest.
  core::MonotonicTime confirmedAt = {};
  /// @brief The signal to stop and the end of the process, once the instance is stopping.
  struct Stopping
  {
    core::MonotonicTime since;
    core::MonotonicTime end;
  };
  std::optional<Stopping> stopping = {};

  /// @brief Gives the retry budget of a service, made at its first use.
  retries::RetryBudget& Budget(const core::ServiceName& aService)
  {
    auto& budget = this->budgets[aService];
    if (budget == nullptr) {
      budget = std::make_unique<retries::RetryBudget>(this->retryOptions);
    }
    return *budget;
  }

  /// @brief Sets this instance's share of the retries that all instances may save.
  void ShareSavedRetries(double aMostSaved)
  {
    this->retryOptions.mostSaved = aMostSaved;
    for (const auto& [service, budget] : this->budgets) {
      budget->SetMostSaved(aMostSaved);
    }
  }

  /// @brief Gives placement's view of the present moment.
  PlacementView View() const
  {
    return { *this->fleet,  this->loads,   this->health,
             this->prefill, this->ownZone, this->clock.Now() };
  }
};

/// @brief Makes the load of one prompt.
inline TargetLoad
PromptLoad(std::size_t aPriority, double aTokens)
{
  TargetLoad load;
  load.requests = 1.0;
  load.prefillTokens[std::min(aPriority, kPriorityLevels - 1)] = aTokens;
  return load;
}

/// @brief Makes the load of a cache on its way, at the engine that gives it or, with a request, at
///        the one that takes it.
inline TargetLoad
HandoverLoad(double aRequests)
{
  TargetLoad load;
  load.requests = aRequests;
  load.handovers = 1.0;
  return load;
}

/// @brief One request on its way.
struct PathRequest
{
  const CallerRequest& caller;
  AnswerWriter& writer;
  Cancellation& cancellation;
  RequestFacts facts;
  Route route;
  Service service;
  core::MonotonicTime deadline;
  /// @brief Targets that the request was sent to.
  TriedTargets sentTo;
  /// @brief Targets that could not be reached; nothing was sent.
  TriedTargets unreachable;
  /// @brief Whether some target may have begun to run it.
  bool mayHaveRun = false;
  /// @brief Number of sendings so far.
  std::uint64_t attempts = 0;
  /// @brief Time of the prefill call, and the wait and reading that placement expected of it.
  milliseconds prefillTook{ 0 };
  milliseconds prefillWait{ 0 };
  milliseconds prefillReading{ 0 };
  /// @brief Engine of the last prefill, the prompt's priority, and what the engine had to read.
  core::TargetId prefillEngine = {};
  std::size_t prefillPriority = 0;
  double engineTokens = 0.0;
  /// @brief From the request's arrival to the first piece of its answer.
  milliseconds firstPiece{ 0 };
  /// @brief Pieces of a stream that were passed on, and when the last one was.
  std::uint64_t pieces = 0;
  core::MonotonicTime lastPieceAt = {};
};

/// @brief Gives the targets that a request is not to go to again: sent to, or not reached.
inline TriedTargets
AllTried(const PathRequest& aRequest)
{
  TriedTargets tried = aRequest.sentTo;
  tried.insert(tried.end(), aRequest.unreachable.begin(), aRequest.unreachable.end());
  return tried;
}

/// @brief Counts work at a target as long as the scope lives.
class LoadScope
{
public:
  LoadScope(LoadBook& aBook, core::TargetId aTarget, TargetLoad aLoad)
    : book(aBook)
    , target(std::move(aTarget))
    , load(aLoad)
  {
    this->book.Add(this->target, this->load);
  }
  ~LoadScope() { this->book.Remove(this->target, this->load); }
  LoadScope(const LoadScope&) = delete;
  LoadScope& operator=(const LoadScope&) = delete;

  /// @brief Takes back all but the request: its prompt has been read or its cache has arrived.
  void PromptRead()
  {
    TargetLoad done = this->load;
    done.requests = 0.0;
    this->book.Remove(this->target, done);
    this->load.Add(done, -1.0);
  }

private:
  LoadBook& book;
  core::TargetId target;
  TargetLoad load;
};

} // namespace plantainslip::serving
