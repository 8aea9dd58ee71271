#pragma once

#include <list>
#include <optional>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "http_listener.hpp"

namespace plantainslip::serving {

/// @brief Frees a text's memory, which assigning an empty one would keep.
inline void
FreeText(std::string& aText)
{
  std::string().swap(aText);
}

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

  /// @brief Returns when the connection came into its state; see ConnectionState.
  core::MonotonicTime StateSince() const { return this->stateSince; }

  Task<bool> WriteWhole(int aStatus, HeaderList aHeaders, std::string aBody) override;
  Task<bool> BeginStream(int aStatus, HeaderList aHeaders) override;
  Task<bool> WriteChunk(std::string aChunk) override;
  Task<bool> EndStream() override;
  void Abort() override;
  bool HasStarted() const override { return this->answerStarted; }
  bool StreamsInChunks() const override { return this->chunked; }

private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// @brief Lets the budget take the memory of a request while it arrives.
  class ReceiveScope
  {
  public:
    ReceiveScope(CallerSession& aSession, Parser& aParser)
      : session(aSession)
    {
      this->session.receiving = &aParser;
      this->session.account.SetEvictable(true);
    }
    ~ReceiveScope()
    {
      this->session.receiving = nullptr;
      this->session.account.SetEvictable(false);
    }
    ReceiveScope(const ReceiveScope&) = delete;
    ReceiveScope& operator=(const ReceiveScope&) = delete;

  private:
    CallerSession& session;
  };

  void SetState(ConnectionState aState);
  /// @brief Frees what is held for the connection, because the memory is needed for others.
  void Evict();
  /// @brief Reserves the bytes that are held once more of a request has been received.
  bool ReserveForRead();
  /// @brief Frees what was held for the last request.
  void EndRequest();
  /// @brief Ends the wait for the socket.
  void StopWait();
  Task<ErrorCode> Receive();
  Task<bool> WaitForBytes();
  Task<ErrorCode> ParseHead(Parser& aParser);
  Task<ErrorCode> ParseBody(Parser& aParser);
  /// @brief Passes buffered bytes to the parser, and waits for more if it needs them.
  /// @param aConsumed  increased by the number of bytes that the parser took
  Task<ErrorCode> ParseSome(Parser& aParser, std::uint64_t& aConsumed, const TimeLimit& aLimit);
  Task<std::optional<CallerRequest>> ReadRequest();
  Task<bool> ReadBody(Parser& aParser);
  Task<void> RefuseBadRequest(ErrorCode aError, bool aInBody);
  Task<void> ServeOne(const CallerRequest& aRequest);
  Task<void> WatchForDisconnect();
  Task<void> StopDisconnectWatch();
  /// @brief Sets whether closing the connection resets it, also when this process ends, so that a
  ///        caller that reads to the end of the connection notices.
  void SetResetOnClose(bool aReset);
  Task<bool> Write(std::string aHead, std::string aBody = std::string());
  /// @brief Sends bytes of a streamed answer, or keeps those that the caller does not take yet.
  Task<bool> WriteOrKeep(std::string aBytes);
  Task<void> SendUnsent();
  /// @brief Waits until at most a number of bytes are kept.
  Task<bool> AwaitUnsent(std::size_t aMaxBytes);
  Task<void> CloseGracefully();

  HttpListener& listener;
  Tcp::socket socket;
  boost::beast::flat_buffer buffer;
  asio::steady_timer watchEnded;
  Cancellation* cancellation = nullptr;
  MemoryBudget::Account account;
  ConnectionState state = ConnectionState::kClosed;
  core::MonotonicTime stateSince;
  std::list<CallerSession*>::iterator position;
  /// @brief Parser of the request that is arriving; null while none is.
  Parser* receiving = nullptr;
  /// @brief Bytes of the request that is being received or served; of its body only when it is
  ///        complete.
  std::uint64_t heldRequest = 0;
  /// @brief Bytes of a streamed answer that the caller has not taken yet, and how many of them were
  ///        sent.
  std::string unsent;
  std::size_t unsentBegin = 0;
  bool sending = false;
  asio::steady_timer unsentChanged;
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
