#pragma once

#include "path_types.hpp"

namespace plantainslip::serving {

/// @brief Answers one caller's request: routing, admission, attempts and the answer.
/// @param aContext  state shared by all requests
/// @param aRequest  the request, alive until the coroutine ends
/// @param aWriter  where the answer goes
/// @param aCancellation  cancelled by the front door when the caller leaves
Task<void>
ServeRequest(PathContext& aContext,
             const CallerRequest& aRequest,
             AnswerWriter& aWriter,
             Cancellation& aCancellation);

/// @brief Answers with a refusal of the system's own.
/// @param aStatus  a status that promises "not run" is only for requests that have not run
/// @param aReason  short name of the cause, for the log and the body
/// @param aReturn  when the caller may come back; zero if it is not told
Task<void>
Refuse(PathContext& aContext,
       PathRequest& aRequest,
       int aStatus,
       std::string aReason,
       milliseconds aReturn);

/// @brief Logs the end of a request with what decided it.
/// @param aStatus  status that the caller got; zero if none
void
LogEnd(const PathContext& aContext,
       const PathRequest& aRequest,
       int aStatus,
       const std::string& aReason);

/// @brief Ends a request whose attempts have failed, as truthfully as is known: 503 if it has not
///        run, else 502 or 504.
Task<void>
GiveUp(PathContext& aContext, PathRequest& aRequest, std::string aReason);

/// @brief Tells whether a request may be sent once more after a failed attempt, and takes the
///        retry out of the budget.
bool
TakeRetry(PathContext& aContext, PathRequest& aRequest);

/// @brief Serves a request of a plain service.
Task<void>
ServePlain(PathContext& aContext, PathRequest& aRequest);

/// @brief Serves a completion: prompt at one engine, output at another.
Task<void>
ServeCompletion(PathContext& aContext, PathRequest& aRequest);

} // namespace plantainslip::serving
