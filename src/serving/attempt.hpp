#pragma once

#include "path_types.hpp"
#include "target_call.hpp"

namespace plantainslip::serving {

/// @brief What is known after the head of a target's answer, or its absence.
enum class AttemptState
{
  /// @brief The head has come; the body is to be read.
  kAnswered,
  /// @brief Nothing was sent.
  kNotSent,
  /// @brief The target states that it has not run the request.
  kNotRun,
  /// @brief The request may have run; there is no answer to use.
  kUnknown,
  /// @brief The caller left or its deadline passed.
  kCancelled,
  /// @brief The attempt's own time limit passed.
  kTimedOut,
};

/// @brief One attempt after its head.
struct Attempt
{
  AttemptState state = AttemptState::kNotSent;
  AnswerHead head;
  AnswerFacts facts;
  std::string detail;
};

/// @brief Sends a request to a target once and reads what comes back.
///
/// The limit of time covers the call until the object is destroyed or Unlimit() is called.
class AttemptCall
{
public:
  AttemptCall(PathContext& aContext, PathRequest& aRequest, Target aTarget)
    : context(aContext)
    , request(aRequest)
    , target(std::move(aTarget))
  {
  }

  /// @brief Sends the request and reads the head of the answer.
  /// @param aLimit  longest time until the head
  Task<Attempt> Open(AttemptPlan aPlan, milliseconds aLimit);

  /// @brief Reads the whole body after kAnswered.
  Task<absl::StatusOr<std::string>> ReadAll();

  /// @brief Reads what has come of the body after kAnswered; see TargetCall::ReadSome().
  Task<absl::StatusOr<bool>> ReadSome(std::string& aBody) { return this->call->ReadSome(aBody); }

  /// @brief Lets the body take as long as the caller waits.
  void Unlimit() { this->limit.reset(); }

  /// @brief Gives the connection back after the whole body.
  void Finish() { this->call->Recycle(this->context.pool, this->target.address); }

private:
  std::string RequestHead(AttemptPlan& aPlan) const;
  AttemptState StateOf(const absl::Status& aStatus) const;

  PathContext& context;
  PathRequest& request;
  Target target;
  /// The call's own cancellation: the request's, or the limit.
  Cancellation cancellation;
  std::unique_ptr<Cancellation::Scope> link;
  std::unique_ptr<TimeLimit> limit;
  std::unique_ptr<TargetCall> call;
};

/// @brief Tells what an attempt says of its target.
/// @return nothing if the attempt was cancelled, which says nothing
std::optional<AttemptResult>
JudgeTarget(const Attempt& aAttempt);

/// @brief Gives an answer's header fields that are passed on to the caller.
HeaderList
ForwardedAnswerHeaders(const HeaderList& aHeaders);

/// @brief Tells whether a status promises the caller that its request has not run.
bool
PromisesNotRun(int aStatus);

/// @brief Gives the time that a request has left.
milliseconds
TimeLeft(const PathContext& aContext, const PathRequest& aRequest);

} // namespace plantainslip::serving
