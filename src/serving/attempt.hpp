#pragma once

#include "path_types.hpp"
#include "target_call.hpp"

namespace plantainslip::serving {

/// @brief Outcome of an attempt up to the head of the response.
enum class AttemptState
{
  /// @brief The head was received; the body can be read.
  kAnswered,
  /// @brief Nothing was sent.
  kNotSent,
  /// @brief Nothing was sent, as the target became unavailable to new requests while the attempt
  ///        waited for a connection.
  kWithdrawn,
  /// @brief The target states that it has not run the request.
  kNotRun,
  /// @brief The request may have run; there is no usable response.
  kUnknown,
  /// @brief The caller disconnected or its deadline passed.
  kCancelled,
  /// @brief The attempt's own timeout passed.
  kTimedOut,
};

/// @brief Outcome of an attempt and the head of its response.
struct Attempt
{
  AttemptState state = AttemptState::kNotSent;
  ResponseHead head;
  ResponseInfo info;
  std::string detail;
};

/// @brief Sends a request to a target once and reads the response.
///
/// The timeout covers the call until the object is destroyed or ClearTimeLimit() is called.
class AttemptCall
{
public:
  AttemptCall(PathContext& aContext, PathRequest& aRequest, Target aTarget)
    : context(aContext)
    , request(aRequest)
    , target(std::move(aTarget))
  {
  }

  /// @brief Sends the request and reads the head of the response.
  /// @param aLimit  timeout, which covers the body too unless ClearTimeLimit() is called
  Task<Attempt> SendAndReadHead(AttemptPlan aPlan, milliseconds aLimit);

  /// @brief Reads the whole body, and returns the connection to the pool; only after kAnswered.
  ///
  /// If the body does not end well, the attempt's state and detail are changed to the failure.
  /// @return the body; empty after a failure
  Task<std::string> ReadRemainingBody(Attempt& aAttempt);

  /// @brief Reads the next part of the body; only after kAnswered. See TargetCall::ReadSome().
  ///
  /// After the last part, CheckEnd() tells whether the response is whole.
  Task<absl::StatusOr<bool>> ReadSome(std::string& aBody);

  /// @brief Checks, after the last part of the body was read, whether the response is whole; may
  ///        ask the target whether it is still running.
  /// @param aEvents  what the body looks like as a series of events
  /// @return OK, or error 1502 (serving.connection_lost) with the reason
  Task<absl::Status> CheckEnd(net::EventsRead aEvents);

  /// @brief Records that the target has run the request, at the first event of a stream or the end
  ///        of another answer: the request does not end it. Called by ReadRemainingBody().
  void RecordAnswer();

  /// @brief Removes the timeout, so that only the caller's deadline limits the body.
  void ClearTimeLimit() { this->limit.reset(); }

  /// @brief Returns the connection to the pool after the whole body was read.
  void ReturnConnection() { this->call->ReturnToPool(this->context.pool, this->target.address); }

private:
  std::string RequestHead(AttemptPlan& aPlan) const;
  /// @brief Counts the attempt, starts its time, and returns the head of its request.
  std::string BeginSending(AttemptPlan& aPlan);
  milliseconds MaxIdle(AttemptStep aStep) const;
  /// @brief Sends the request on a connection and reads the head of the response.
  Task<absl::StatusOr<ResponseHead>> SendOn(std::unique_ptr<OutgoingConnection> aConnection,
                                            const std::string& aRequestHead);
  /// @brief Sends the request and, if it may be repeated and was lost on a connection that its
  ///        target had dropped while it was idle, sends it once more on a new one.
  Task<absl::StatusOr<ResponseHead>> Exchange(std::unique_ptr<OutgoingConnection> aConnection,
                                              std::string aRequestHead);
  /// @brief Returns whether the target, chosen before the wait for a connection, is still listed
  ///        and takes this request, which then counts for its rate limit.
  bool ClaimRequest();
  Task<absl::StatusOr<std::string>> ReadAll();
  void RecordReadTime();
  /// @brief Asks the target for its report.
  /// @return whether its process is running; false if it does not answer
  Task<bool> IsTargetRunning();
  AttemptState ClassifyFailure(const absl::Status& aStatus) const;
  void CheckTargetAfter(const absl::Status& aFailure);

  PathContext& context;
  PathRequest& request;
  Target target;
  /// Cancels the call when the request is cancelled or the timeout passes.
  Cancellation cancellation;
  std::unique_ptr<Cancellation::Scope> requestCancelScope;
  std::unique_ptr<TimeLimit> limit;
  std::unique_ptr<TargetCall> call;
  AttemptStep step = AttemptStep::kWhole;
  /// @brief How long the connection had been idle; absent if it is a new one.
  std::optional<milliseconds> idleFor;
  /// @brief What is known of the response's end so far.
  net::ResponseEnd end;
  /// @brief Whether RecordAnswer() was called.
  bool hasAnswer = false;
};

/// @brief Logs which traits were quarantined or released since the last call.
void
LogQuarantineChanges(PathContext& aContext);

/// @brief Converts an attempt's outcome to a result for the target's health record.
/// @return nothing if the attempt was cancelled, which tells nothing about the target
std::optional<AttemptResult>
ToAttemptResult(const Attempt& aAttempt);

/// @brief Records what a target states about itself in a response to a request or to another call.
void
RecordNotices(PathContext& aContext, const Target& aTarget, const ResponseInfo& aInfo);

/// @brief Returns the header fields of a response that are forwarded to the caller.
HeaderList
ForwardedResponseHeaders(const HeaderList& aHeaders);

/// @brief Returns whether an attempt ended before anything was sent, although the request goes on.
inline bool
IsUnsent(AttemptState aState)
{
  return aState == AttemptState::kNotSent || aState == AttemptState::kWithdrawn;
}

/// @brief Returns whether a status tells the caller that its request has not run.
bool
IsNotRunStatus(int aStatus);

/// @brief Returns whether a request may be sent again although a target may have received it.
bool
MayRepeat(const PathRequest& aRequest, AttemptStep aStep);

/// @brief Returns for how long a connection may have been idle to carry a request.
milliseconds
MaxIdleFor(const PathContext& aContext, const PathRequest& aRequest, AttemptStep aStep);

/// @brief Returns the time until a request's deadline; negative once it has passed.
milliseconds
TimeLeft(const PathContext& aContext, const PathRequest& aRequest);

} // namespace plantainslip::serving
