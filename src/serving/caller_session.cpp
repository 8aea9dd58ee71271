#include "caller_session.hpp"

#include <array>

#include <netinet/tcp.h>

#include "http_head.hpp"
#include "spawn.hpp"

namespace plantainslip::serving {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadBufferBytes = 8'192;
/// Max bytes of further requests that are buffered while one is served.
constexpr std::size_t kMaxReadAheadBytes = 65'536;
/// A caller that does not acknowledge sent data for this long counts as disconnected.
constexpr int kUserTimeoutMs = 10'000;
/// Max wait for the caller to close its end of a connection that was shut down here.
constexpr std::chrono::milliseconds kCloseTimeout{ 500 };

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kInternalError = 500;

CallerRequest
ToCallerRequest(http::request<http::string_body>&& aMessage, core::MonotonicTime aArrival)
{
  CallerRequest request;
  request.arrival = aArrival;
  const auto method = aMessage.method_string();
  request.method = std::string(method.data(), method.size());
  const auto target = aMessage.target();
  request.target = std::string(target.data(), target.size());
  for (const auto& field : aMessage) {
    const auto name = field.name_string();
    const auto value = field.value();
    request.headers.push_back(
      { std::string(name.data(), name.size()), std::string(value.data(), value.size()) });
  }
  const std::string* const host = FindHeader(request.headers, "Host");
  request.host = host == nullptr ? "" : host->substr(0, host->find(':'));
  request.body = std::move(aMessage.body());
  return request;
}

std::string
FormatChunk(const std::string& aChunk)
{
  std::array<char, 20> length{};
  const int written = std::snprintf(length.data(), length.size(), "%zx\r\n", aChunk.size());
  return std::string(length.data(), static_cast<std::size_t>(written)) + aChunk + "\r\n";
}

} // namespace

CallerSession::CallerSession(HttpListener& aListener, Tcp::socket aSocket)
  : listener(aListener)
  , socket(std::move(aSocket))
  , watchEnded(this->socket.get_executor())
{
  this->listener.sessions.insert(this);
  using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  ErrorCode ignored;
  this->socket.set_option(Tcp::no_delay(true), ignored);
  this->socket.set_option(UserTimeout(kUserTimeoutMs), ignored);
  this->socket.non_blocking(true, ignored);
}

CallerSession::~CallerSession()
{
  this->listener.sessions.erase(this);
}

void
CallerSession::Close()
{
  ErrorCode ignored;
  this->socket.close(ignored);
}

void
CallerSession::CloseIfIdle()
{
  if (!this->Busy()) {
    this->Close();
  }
}

bool
CallerSession::Busy() const
{
  ErrorCode error;
  return this->busy || (this->socket.is_open() && this->socket.available(error) > 0);
}

// Waits for bytes and takes those that are there, which may be none. Bytes leave the socket only
// while the session runs, so no close can come between their arrival in the buffer and the session.
Task<ErrorCode>
CallerSession::Receive()
{
  ErrorCode error;
  std::size_t count = this->socket.read_some(this->buffer.prepare(kReadBufferBytes), error);
  if (error == asio::error::would_block) {
    co_await this->socket.async_wait(Tcp::socket::wait_read, RedirectError(error));
    if (error) {
      co_return error;
    }
    count = this->socket.read_some(this->buffer.prepare(kReadBufferBytes), error);
  }
  this->buffer.commit(count);
  co_return error == asio::error::would_block ? ErrorCode() : error;
}

Task<bool>
CallerSession::WaitForBytes()
{
  const TimeLimit limit(this->socket.get_executor(), this->listener.limits.idleTimeout, [this] {
    this->CloseIfIdle();
  });
  while (this->buffer.size() == 0) {
    const ErrorCode error = co_await this->Receive();
    if (error) {
      co_return false;
    }
  }
  co_return true;
}

// Reads until the parser has a whole head, or with aWholeMessage the body too.
Task<ErrorCode>
CallerSession::Parse(Parser& aParser, bool aWholeMessage, std::chrono::nanoseconds aTimeout)
{
  const TimeLimit limit(this->socket.get_executor(), aTimeout, [this] {
    ErrorCode ignored;
    this->socket.cancel(ignored);
  });
  aParser.eager(aWholeMessage);
  while (!(aWholeMessage ? aParser.is_done() : aParser.is_header_done())) {
    ErrorCode error = http::error::need_more;
    if (this->buffer.size() > 0) {
      error = {};
      this->buffer.consume(aParser.put(this->buffer.data(), error));
    }
    if (error == http::error::need_more) {
      if (limit.Expired()) {
        co_return asio::error::timed_out;
      }
      error = co_await this->Receive();
      if (error == asio::error::operation_aborted && limit.Expired()) {
        error = asio::error::timed_out;
      }
    }
    if (error) {
      co_return error;
    }
  }
  co_return ErrorCode();
}

Task<void>
CallerSession::RefuseBadRequest(ErrorCode aError)
{
  this->keepAlive = false;
  int status = kBadRequest;
  if (aError == asio::error::timed_out) {
    status = kRequestTimeout;
  } else if (aError == http::error::header_limit) {
    status = kHeadersTooLarge;
  } else if (aError == http::error::body_limit) {
    status = kPayloadTooLarge;
  } else if (aError.category() != http::make_error_code(http::error::bad_method).category()) {
    co_return;
  }
  co_await this->WriteWhole(status, HeaderList(), std::string());
}

Task<bool>
CallerSession::ReadBody(Parser& aParser)
{
  // No string literals inside co_await expressions: GCC 12 fails to compile them there.
  const std::string expected(aParser.get()["Expect"]);
  if (EqualIgnoringCase(expected, "100-continue")) {
    std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    if (!co_await this->Write(std::move(interim))) {
      co_return false;
    }
  }
  const ErrorCode error = co_await this->Parse(aParser, true, this->listener.limits.idleTimeout);
  if (error) {
    co_await this->RefuseBadRequest(error);
    co_return false;
  }
  co_return true;
}

Task<std::optional<CallerRequest>>
CallerSession::ReadRequest()
{
  this->answerStarted = false;
  this->answerComplete = false;
  this->omitBody = false;
  if (!co_await this->WaitForBytes()) {
    co_return std::nullopt;
  }
  this->busy = true;
  const core::MonotonicTime arrival = this->listener.clock.Now();
  Parser parser;
  parser.header_limit(this->listener.limits.headerBytes);
  parser.body_limit(this->listener.limits.bodyBytes);
  const ErrorCode error = co_await this->Parse(parser, false, this->listener.limits.headerTimeout);
  if (error) {
    co_await this->RefuseBadRequest(error);
    co_return std::nullopt;
  }
  this->keepAlive = parser.keep_alive();
  constexpr unsigned kMinChunkedVersion = 11;
  this->chunked = parser.get().version() >= kMinChunkedVersion;
  if (!parser.is_done()) {
    const bool read = co_await this->ReadBody(parser);
    if (!read) {
      co_return std::nullopt;
    }
  }
  this->omitBody = parser.get().method() == http::verb::head;
  co_return ToCallerRequest(parser.release(), arrival);
}

Task<void>
CallerSession::WatchForDisconnect()
{
  // A wait that completed just before the watch was stopped cannot be cancelled any more; another
  // one would wait for the caller's next request and delay the current one's end.
  while (!this->watchStopped && this->buffer.size() < kMaxReadAheadBytes) {
    const ErrorCode error = co_await this->Receive();
    if (error) {
      if (error != asio::error::operation_aborted) {
        this->keepAlive = false;
        this->cancellation->Cancel(CancelReason::kCallerLeft);
      }
      break;
    }
  }
  this->watching = false;
  this->watchEnded.cancel();
}

Task<void>
CallerSession::StopDisconnectWatch()
{
  this->watchStopped = true;
  ErrorCode ignored;
  this->socket.cancel(ignored);
  while (this->watching) {
    this->watchEnded.expires_at(asio::steady_timer::time_point::max());
    ErrorCode ended;
    co_await this->watchEnded.async_wait(RedirectError(ended));
  }
}

Task<void>
CallerSession::ServeOne(const CallerRequest& aRequest)
{
  Cancellation current;
  this->cancellation = &current;
  this->watching = true;
  this->watchStopped = false;
  auto executor = this->socket.get_executor();
  Spawn(executor, "disconnect watch", [self = this->shared_from_this()] {
    return self->WatchForDisconnect();
  });
  std::exception_ptr error;
  try {
    co_await this->listener.handler(aRequest, *this, current);
  } catch (...) {
    error = std::current_exception();
  }
  if (error != nullptr) {
    LogUnexpectedException("request " + aRequest.target, error);
    if (this->answerStarted) {
      this->Abort();
    } else {
      co_await this->WriteWhole(kInternalError, HeaderList(), std::string());
    }
  }
  co_await this->StopDisconnectWatch();
  this->cancellation = nullptr;
}

Task<void>
CallerSession::Run()
{
  const auto self = this->shared_from_this();
  while (true) {
    const std::optional<CallerRequest> request = co_await this->ReadRequest();
    if (!request.has_value()) {
      break;
    }
    co_await this->ServeOne(*request);
    if (!this->answerComplete || !this->keepAlive) {
      break;
    }
    this->busy = false;
  }
  co_await this->CloseGracefully();
}

Task<void>
CallerSession::CloseGracefully()
{
  if (!this->answerComplete || !this->socket.is_open()) {
    this->Close();
    co_return;
  }
  // Closing with unread bytes would reset the connection, and the caller could lose the answer.
  ErrorCode error;
  this->socket.shutdown(Tcp::socket::shutdown_send, error);
  const TimeLimit limit(this->socket.get_executor(), kCloseTimeout, [this] { this->Close(); });
  std::array<char, kReadBufferBytes> discarded{};
  while (!error) {
    co_await this->socket.async_read_some(asio::buffer(discarded), RedirectError(error));
  }
  this->Close();
}

void
CallerSession::SetResetOnClose(bool aReset)
{
  ErrorCode ignored;
  this->socket.set_option(asio::socket_base::linger(aReset, 0), ignored);
}

Task<bool>
CallerSession::Write(std::string aBytes)
{
  ErrorCode error;
  std::optional<Cancellation::Scope> scope;
  if (this->cancellation != nullptr && this->answerStarted) {
    // A caller that does not read must not hold the request past its deadline.
    scope.emplace(*this->cancellation, [this] { this->Close(); });
  }
  co_await asio::async_write(this->socket, asio::buffer(aBytes), RedirectError(error));
  if (error && this->cancellation != nullptr) {
    this->cancellation->Cancel(CancelReason::kCallerLeft);
  }
  co_return !error;
}

Task<bool>
CallerSession::WriteWhole(int aStatus, HeaderList aHeaders, std::string aBody)
{
  this->keepAlive = this->keepAlive && !this->listener.draining;
  aHeaders.push_back({ "Content-Length", std::to_string(aBody.size()) });
  if (!this->keepAlive) {
    aHeaders.push_back({ "Connection", "close" });
  }
  std::string bytes = FormatResponseHead(aStatus, aHeaders);
  if (!this->omitBody) {
    bytes += aBody;
  }
  this->answerComplete = co_await this->Write(std::move(bytes));
  this->answerStarted = true;
  co_return this->answerComplete;
}

Task<bool>
CallerSession::BeginStream(int aStatus, HeaderList aHeaders)
{
  this->keepAlive = this->keepAlive && !this->listener.draining && this->chunked;
  if (this->chunked) {
    aHeaders.push_back({ "Transfer-Encoding", "chunked" });
  }
  if (!this->keepAlive) {
    aHeaders.push_back({ "Connection", "close" });
  }
  this->answerStarted = true;
  this->SetResetOnClose(!this->chunked);
  std::string head = FormatResponseHead(aStatus, aHeaders);
  const bool written = co_await this->Write(std::move(head));
  co_return written;
}

Task<bool>
CallerSession::WriteChunk(std::string aChunk)
{
  std::string bytes = this->chunked ? FormatChunk(aChunk) : std::move(aChunk);
  const bool written = co_await this->Write(std::move(bytes));
  co_return written;
}

Task<bool>
CallerSession::EndStream()
{
  this->answerComplete = true;
  this->SetResetOnClose(false);
  if (this->chunked) {
    std::string lastChunk = "0\r\n\r\n";
    this->answerComplete = co_await this->Write(std::move(lastChunk));
  }
  co_return this->answerComplete;
}

void
CallerSession::Abort()
{
  this->keepAlive = false;
  this->Close();
}

} // namespace plantainslip::serving
