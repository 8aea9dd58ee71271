#pragma once

#include <memory>
#include <string>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/net/http_server.hpp>
#include <plantainslip/requests/problem.hpp>

namespace plantainslip::requests {

/// @brief Sends the chunks of one answer to their receiver. Not thread-safe; used by one thread.
class AnswerSink
{
public:
  virtual ~AnswerSink() = default;

  /// @brief Sets the token with which the caller can resume the answer if it is cut off. A streamed
  ///        answer sends it in its header and in its first chunk; later calls have no effect.
  /// @param aToken  empty if there is none
  virtual void SetResumeToken(const std::string& /*aToken*/) {}

  /// @brief Sends the next chunk of the answer.
  /// @param aOffset  position of the chunk, in tokens
  /// @param aText  text of the chunk
  /// @return false if the caller has disconnected
  virtual bool Text(core::TokenOffset aOffset, const std::string& aText) = 0;

  /// @brief Ends a complete answer.
  /// @return false if the caller has disconnected
  virtual bool Finish(const std::string& aReason, core::TokenOffset aLength) = 0;

  /// @brief Reports to the caller that the answer is incomplete.
  /// @return false if the caller has disconnected
  virtual bool Fail(const Problem& aProblem) = 0;
};

/// @brief Creates a sink that sends server-sent events in the format of OpenAI-compatible clients.
/// @param aExchange  must outlive the sink
std::unique_ptr<AnswerSink>
MakeEventSink(net::HttpExchange& aExchange, core::RequestId aRequest, std::string aModel);

/// @brief Creates a sink that buffers the answer and sends it as one JSON object.
/// @param aExchange  must outlive the sink
std::unique_ptr<AnswerSink>
MakeJsonSink(net::HttpExchange& aExchange, core::RequestId aRequest, std::string aModel);

} // namespace plantainslip::requests
