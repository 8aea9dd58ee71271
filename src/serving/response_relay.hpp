#pragma once

#include <functional>

#include <plantainslip/serving/event_stream.hpp>

#include "attempt.hpp"

namespace plantainslip::serving {

/// @brief Outcome of relaying a response as it arrives.
enum class RelayOutcome
{
  /// @brief The response is whole; the caller's answer can be completed.
  kWhole,
  kBroken,
  kCallerGone,
};

/// @brief Forwards targets' responses to the caller of one request.
///
/// A stream's events are forwarded as they arrive, and a stream that breaks off can be continued
/// with another target's response. Any other response is forwarded once it is whole.
class ResponseRelay
{
public:
  /// @param aOnFirstChunk  called when the caller gets the first bytes of a streamed answer
  ResponseRelay(
    PathContext& aContext,
    PathRequest& aRequest,
    std::function<void()> aOnFirstChunk = [] {})
    : context(aContext)
    , request(aRequest)
    , onFirstChunk(std::move(aOnFirstChunk))
  {
  }

  /// @brief Returns whether a response is to be relayed by RelayEvents(), otherwise read whole.
  bool RelaysEvents(const Attempt& aAttempt) const;

  /// @brief Changes an attempt to a failed one if its response cannot continue what the caller has.
  void RejectUnlessContinuing(Attempt& aAttempt) const;

  /// @brief Returns whether another target's response may take the place of one that broke off.
  bool IsContinuable() const;

  /// @brief Returns the id of the last event that the caller has; empty before the first.
  const std::string& LastEventId() const { return this->events.LastEventId(); }

  /// @brief Forwards a response's events as they arrive. Removes the attempt's own timeout.
  ///
  /// After kWhole the connection was returned to the pool, and the answer has to be completed.
  /// After kBroken the attempt's detail is the reason.
  Task<RelayOutcome> RelayEvents(AttemptCall& aCall, Attempt& aAttempt);

  /// @brief Completes the caller's answer with a whole response.
  /// @param aBody  the response's body; empty if its events were forwarded
  Task<void> Complete(const Attempt& aAttempt, std::string aBody);

private:
  Task<bool> Forward(const Attempt& aAttempt, std::string aBytes);

  PathContext& context;
  PathRequest& request;
  std::function<void()> onFirstChunk;
  EventStream events;
};

} // namespace plantainslip::serving
