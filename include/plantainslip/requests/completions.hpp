#pragma once

#include <plantainslip/net/http_server.hpp>
#include <plantainslip/requests/answer_sink.hpp>
#include <plantainslip/requests/completion_request.hpp>
#include <plantainslip/requests/context.hpp>

namespace plantainslip::requests {

/// @brief Starting point of a completion.
struct CompletionStart
{
  core::RequestId request;
  /// @brief Tokens that the caller already has.
  core::TokenOffset offset;
  /// @brief Model version that the answer started with; empty if it has not started.
  std::string version;
  /// @brief Whether the request may go to an instance in another zone.
  bool maySpill = true;
};

/// @brief Runs a completion: selects an engine or peer and forwards the tokens until the
///        end marker. If an attempt fails, the next one continues elsewhere from the exact offset.
/// @param aContext  shared by all requests
/// @param aRequest  the request
/// @param aStart  starting point of the answer
/// @param aSink  receives the answer, or the problem
/// @return how the request ended
observe::RequestEnd
RunCompletion(RequestContext& aContext,
              const CompletionRequest& aRequest,
              const CompletionStart& aStart,
              AnswerSink& aSink);

/// @brief Answers `POST /v1/completions`: parses the request, checks the workspace's limit and
///        forwards the tokens until the end marker. If an engine fails in the middle of an answer,
///        another one continues from the exact offset.
/// @param aContext  shared by all requests
/// @param aExchange  the caller's request
/// @param aRequest  identifier assigned to the request
/// @return how the request ended
observe::RequestEnd
HandleCompletion(RequestContext& aContext,
                 net::HttpExchange& aExchange,
                 const core::RequestId& aRequest);

} // namespace plantainslip::requests
