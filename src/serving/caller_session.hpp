#pragma once

#include <optional>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "http_listener.hpp"

namespace plantainslip::serving {

/// @brief One connection of a caller: reads requests, detects when the caller disconnects, writes
///        answers.
class CallerSession final
  : public AnswerWriter
  , public std::enable_shared_from_this<CallerSession>
{
public:
  CallerSession(HttpListener& aListener, Tcp::socket aSocket);
  ~CallerSession() override;

  /// @brief Serves requests until the connection is closed.
  Task<void> Run();

  /// @brief Returns whether closing the connection could cost an answer: bytes of a request have
  ///        arrived, it is being served, or the caller may not have read the last answer yet.
  bool Busy() const;

  /// @brief Closes the connection unless it is busy.
  void CloseIfIdle();

  /// @brief Closes the connection immediately.
  void Close();

  Task<bool> WriteWhole(int aStatus, HeaderList aHeaders, std::string aBody) override;
  Task<bool> BeginStream(int aStatus, HeaderList aHeaders) override;
  Task<bool> WriteChunk(std::string aChunk) override;
  Task<bool> EndStream() override;
  void Abort() override;
  bool HasStarted() const override { return this->answerStarted; }
  bool StreamsInChunks() const override { return this->chunked; }

private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  Task<ErrorCode> Receive();
  Task<bool> WaitForBytes();
  Task<ErrorCode> Parse(Parser& aParser, bool aWholeMessage, std::chrono::nanoseconds aTimeout);
  Task<std::optional<CallerRequest>> ReadRequest();
  Task<bool> ReadBody(Parser& aParser);
  Task<void> RefuseBadRequest(ErrorCode aError);
  Task<void> ServeOne(const CallerRequest& aRequest);
  Task<void> WatchForDisconnect();
  Task<void> StopDisconnectWatch();
  /// @brief Sets whether closing the connection resets it, also when this process ends, so that a
  ///        caller that reads to the end of the connection notices.
  void SetResetOnClose(bool aReset);
  Task<bool> Write(std::string aBytes);
  Task<void> CloseGracefully();

  HttpListener& listener;
  Tcp::socket socket;
  boost::beast::flat_buffer buffer;
  asio::steady_timer watchEnded;
  Cancellation* cancellation = nullptr;
  bool busy = false;
  bool watching = false;
  /// @brief Set while the disconnect watch must not start another read.
  bool watchStopped = false;
  bool keepAlive = true;
  bool chunked = true;
  bool omitBody = false;
  bool answerStarted = false;
  bool answerComplete = false;
};

} // namespace plantainslip::serving
