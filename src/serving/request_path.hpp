#pragma once

#include "path_types.hpp"

namespace plantainslip::serving {

/// @brief Serves one caller's request: routing, admission, attempts and the answer.
/// @param aContext  state shared by all requests
/// @param aRequest  the request; must outlive the coroutine
/// @param aWriter  writes the answer
/// @param aCancellation  cancelled by the caller's session when the caller disconnects, and by this
///                       function at the deadline or when a stream cannot be forwarded
Task<void>
ServeRequest(PathContext& aContext,
             const CallerRequest& aRequest,
             AnswerWriter& aWriter,
             Cancellation& aCancellation);

/// @brief Refuses a request on behalf of the system.
/// @param aStatus  one that means "not run" only if the request has not run
/// @param aReason  short name of the cause, for the log, the metrics and the body
/// @param aRetryAfter  delay until the caller may retry; zero to send none
Task<void>
Refuse(PathContext& aContext,
       PathRequest& aRequest,
       int aStatus,
       std::string aReason,
       milliseconds aRetryAfter);

/// @brief Logs the end of a request and its reason.
/// @param aStatus  status sent to the caller; zero if none
void
LogRequestEnd(const PathContext& aContext,
              const PathRequest& aRequest,
              int aStatus,
              const std::string& aReason);

/// @brief Ends a request whose attempts have failed: 503 if it has not run, else 502, or 504 after
///        its deadline. An answer that has started is aborted.
Task<void>
FailRequest(PathContext& aContext, PathRequest& aRequest, std::string aReason);

/// @brief Ends a request that is quarantined, before it is sent to another target: 503 if
///        it has not run, else as FailRequest().
/// @return true if the request was ended
Task<bool>
EndIfQuarantined(PathContext& aContext, PathRequest& aRequest);

/// @brief Takes a retry from the service's retry budget.
/// @return false if the request is cancelled or the budget is exhausted
bool
TryTakeRetry(PathContext& aContext, PathRequest& aRequest);

/// @brief Serves a request of a plain service.
Task<void>
ServePlain(PathContext& aContext, PathRequest& aRequest);

/// @brief Serves a completion: prefill at one engine, decode at another.
Task<void>
ServeCompletion(PathContext& aContext, PathRequest& aRequest);

} // namespace plantainslip::serving
