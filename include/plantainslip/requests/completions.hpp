#pragma once

#include <plantainslip/net/http_server.hpp>
#include <plantainslip/requests/answer_sink.hpp>
#include <plantainslip/requests/completion_request.hpp>
#include <plantainslip/requests/context.hpp>

namespace plantainslip::requests {

/// @brief Where a completion begins.
struct CompletionStart
{
  core::RequestId request;
  /// @brief Tokens that the caller already has.
  core::TokenOffset offset;
  /// @brief Version that the answer was begun in; empty if it was not begun.
  std::string version;
  /// @brief Whether an instance of another zone may be asked.
  bool maySpill = true;
};

/// @brief Runs a completion to its one end: finds a place, hands on the tokens until the end
///        marker, and goes on from the exact offset elsewhere when an attempt fails.
/// @param aContext  shared by all requests
/// @param aRequest  the request
/// @param aStart  where the answer begins
/// @param aSink  takes the answer, or the problem
/// @return the end that the request came to
observe::RequestEnd
RunCompletion(RequestContext& aContext,
              const CompletionRequest& aRequest,
              const CompletionStart& aStart,
              AnswerSink& aSink);

/// @brief Answers `POST /v1/completions`: reads the request, chooses engines, and hands on the
///        tokens until the end marker. An engine that is lost in mid-answer is followed by another
///        from the exact offset.
/// @param aContext  shared by all requests
/// @param aExchange  the caller's request
/// @param aRequest  identifier given to it
/// @return the one end that the request came to
observe::RequestEnd
HandleCompletion(RequestContext& aContext,
                 net::HttpExchange& aExchange,
                 const core::RequestId& aRequest);

} // namespace plantainslip::requests
