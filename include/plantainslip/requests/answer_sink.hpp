#pragma once

#include <memory>
#include <string>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/net/http_server.hpp>
#include <plantainslip/requests/problem.hpp>

namespace plantainslip::requests {

/// @brief Where the pieces of one answer go. Used by one thread.
class AnswerSink
{
public:
  virtual ~AnswerSink() = default;

  /// @brief Takes the token by which the caller can go on with the answer if it is cut. A streamed
  ///        answer gives it in its head and in its first piece; later ones change nothing.
  /// @param aToken  empty if there is none
  virtual void OfferResume(const std::string& /*aToken*/) {}

  /// @brief Takes the next piece of the answer.
  /// @param aOffset  position of the piece, in tokens
  /// @param aText  the piece
  /// @return false if the caller has gone
  virtual bool Text(core::TokenOffset aOffset, const std::string& aText) = 0;

  /// @brief Ends a whole answer.
  /// @return false if the caller has gone
  virtual bool Finish(const std::string& aReason, core::TokenOffset aLength) = 0;

  /// @brief Tells the caller that the answer is not whole.
  /// @return false if the caller has gone
  virtual bool Fail(const Problem& aProblem) = 0;
};

/// @brief Makes a sink that sends server-sent events, as OpenAI-style clients read them.
/// @param aExchange  has to outlive the sink
std::unique_ptr<AnswerSink>
MakeEventSink(net::HttpExchange& aExchange, core::RequestId aRequest, std::string aModel);

/// @brief Makes a sink that gathers the answer and sends it as one JSON object.
/// @param aExchange  has to outlive the sink
std::unique_ptr<AnswerSink>
MakeJsonSink(net::HttpExchange& aExchange, core::RequestId aRequest, std::string aModel);

} // namespace plantainslip::requests
