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
/// Bytes of a body that have to arrive within each idle timeout; the last part may be smaller. Far
/// below the share of a 10 Mbit/s link that each of a hundred callers has.
constexpr std::uint64_t kMinBodyBytes = 65'536;
/// Max bytes of chunk heads and trailers, besides a multiple of the body's own bytes. The smallest
/// chunks take five bytes for each byte of the body.
constexpr std::uint64_t kMaxFramingBytes = 65'536;
constexpr std::uint64_t kMaxFramingRatio = 16;
/// Max wait for the caller to close its end of a connection that was shut down here.
constexpr std::chrono::milliseconds kCloseTimeout{ 500 };

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;

/// Errors of receiving, besides those of the parser.
const ErrorCode kFramingTooLarge = asio::error::make_error_code(asio::error::message_size);
const ErrorCode kNoMemory = asio::error::make_error_code(asio::error::no_buffer_space);

/// @brief Response to a request that was not received, and the limit that it is refused by.
struct ReceiveRefusal
{
  int status = 0;
  std::string limit;
};

// Returns the refusal for an error; without a status if the connection is to be closed.
ReceiveRefusal
RefusalOf(const ErrorCode& aError, bool aInBody)
{
  if (aError == asio::error::timed_out) {
    return { kRequestTimeout, aInBody ? "body_pace" : "header_time" };
  }
  if (aError == http::error::header_limit) {
    return { kHeadersTooLarge, "header_bytes" };
  }
  if (aError == http::error::body_limit) {
    return { kPayloadTooLarge, "body_bytes" };
  }
  if (aError == kFramingTooLarge) {
    return { kPayloadTooLarge, "framing_bytes" };
  }
  if (aError == kNoMemory) {
    return { kUnavailable, "memory" };
  }
  const bool malformed =
    aError.category() == http::make_error_code(http::error::bad_method).category();
  return { malformed ? kBadRequest : 0, "" };
}

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

} // namespace

CallerSession::CallerSession(HttpListener& aListener, Tcp::socket aSocket)
  : listener(aListener)
  , socket(std::move(aSocket))
  , watchEnded(this->socket.get_executor())
  , account(aListener.Memory(), [this] { this->Evict(); })
  , unsentChanged(this->socket.get_executor())
{
  this->listener.sessions.insert(this);
  this->SetState(ConnectionState::kSilent);
  using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  ErrorCode ignored;
  this->socket.set_option(Tcp::no_delay(true), ignored);
  this->socket.set_option(UserTimeout(kUserTimeoutMs), ignored);
  this->socket.non_blocking(true, ignored);
}

CallerSession::~CallerSession()
{
  this->SetState(ConnectionState::kClosed);
  this->listener.sessions.erase(this);
}

void
CallerSession::SetState(ConnectionState aState)
{
  auto& lists = this->listener.byState;
  const auto from = static_cast<std::size_t>(this->state);
  const auto to = static_cast<std::size_t>(aState);
  if (this->state == ConnectionState::kClosed && aState != ConnectionState::kClosed) {
    if (!this->socket.is_open()) {
      return;
    }
    this->position = lists.at(to).insert(lists.at(to).end(), this);
  } else if (this->state != ConnectionState::kClosed && aState == ConnectionState::kClosed) {
    lists.at(from).erase(this->position);
  } else if (aState != ConnectionState::kClosed) {
    lists.at(to).splice(lists.at(to).end(), lists.at(from), this->position);
  }
  this->state = aState;
  this->stateSince = this->listener.clock.Now();
}

// The coroutine that receives or sends for this connection is waiting for its socket, so what it
// works on can be freed; it finds the account evicted when it goes on.
void
CallerSession::Evict()
{
  if (this->receiving != nullptr) {
    FreeText(this->receiving->get().body());
    this->buffer.clear();
    this->buffer.shrink_to_fit();
    ErrorCode ignored;
    this->socket.cancel(ignored);
    return;
  }
  this->listener.CountRefusal("unread_memory");
  this->Close();
  FreeText(this->unsent);
  this->unsentBegin = 0;
  if (this->cancellation != nullptr) {
    this->cancellation->Cancel(CancelReason::kCallerLeft);
  }
}

void
CallerSession::StopWait()
{
  ErrorCode ignored;
  this->socket.cancel(ignored);
}

bool
CallerSession::ReserveForRead()
{
  const std::uint64_t body = this->receiving == nullptr ? 0 : this->receiving->get().body().size();
  const std::uint64_t buffered =
    std::max(this->buffer.capacity(), this->buffer.size() + kReadBufferBytes);
  return this->account.Resize(body + buffered + this->heldRequest);
}

void
CallerSession::Close()
{
  ErrorCode ignored;
  this->socket.close(ignored);
  this->SetState(ConnectionState::kClosed);
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
  if (!this->ReserveForRead()) {
    co_return kNoMemory;
  }
  ErrorCode error;
  std::size_t count = this->socket.read_some(this->buffer.prepare(kReadBufferBytes), error);
  if (error == asio::error::would_block) {
    co_await this->socket.async_wait(Tcp::socket::wait_read, RedirectError(error));
    if (this->account.IsEvicted()) {
      co_return kNoMemory;
    }
    if (error) {
      co_return error;
    }
    count = this->socket.read_some(this->buffer.prepare(kReadBufferBytes), error);
  }
  this->buffer.commit(count);
  this->account.RecordProgress(count);
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

Task<ErrorCode>
CallerSession::ParseSome(Parser& aParser, std::uint64_t& aConsumed, const TimeLimit& aLimit)
{
  ErrorCode error = http::error::need_more;
  if (this->buffer.size() > 0) {
    error = {};
    const std::size_t consumed = aParser.put(this->buffer.data(), error);
    this->buffer.consume(consumed);
    aConsumed += consumed;
  }
  if (error == http::error::need_more) {
    if (aLimit.Expired()) {
      co_return asio::error::timed_out;
    }
    error = co_await this->Receive();
    if (error == asio::error::operation_aborted && aLimit.Expired()) {
      error = asio::error::timed_out;
    }
  }
  co_return error;
}

Task<ErrorCode>
CallerSession::ParseHead(Parser& aParser)
{
  const TimeLimit limit(
    this->socket.get_executor(), this->listener.limits.headerTimeout, [this] { this->StopWait(); });
  aParser.eager(false);
  std::uint64_t consumed = 0;
  while (!aParser.is_header_done()) {
    const ErrorCode error = co_await this->ParseSome(aParser, consumed, limit);
    if (error) {
      co_return error;
    }
  }
  this->heldRequest = consumed;
  co_return ErrorCode();
}

// The bytes that remain buffered are the beginning of a chunk head or of the trailers, as the
// parser takes all bytes of a body.
Task<ErrorCode>
CallerSession::ParseBody(Parser& aParser)
{
  const auto stop = [this] { this->StopWait(); };
  std::optional<TimeLimit> limit;
  limit.emplace(this->socket.get_executor(), this->listener.limits.idleTimeout, stop);
  aParser.eager(true);
  std::uint64_t consumed = 0;
  std::size_t bodyAtLimit = 0;
  while (!aParser.is_done()) {
    const ErrorCode error = co_await this->ParseSome(aParser, consumed, *limit);
    if (error) {
      co_return error;
    }
    const std::size_t body = aParser.get().body().size();
    const bool framingFits =
      consumed <= body + kMaxFramingBytes + kMaxFramingRatio * body &&
      this->buffer.size() <= this->listener.limits.headerBytes + kReadBufferBytes;
    if (aParser.chunked() && !framingFits) {
      co_return kFramingTooLarge;
    }
    if (body - bodyAtLimit >= kMinBodyBytes) {
      bodyAtLimit = body;
      limit.emplace(this->socket.get_executor(), this->listener.limits.idleTimeout, stop);
    }
  }
  co_return ErrorCode();
}

Task<void>
CallerSession::RefuseBadRequest(ErrorCode aError, bool aInBody)
{
  this->keepAlive = false;
  this->receiving = nullptr;
  this->account.SetEvictable(false);
  const ReceiveRefusal refusal = RefusalOf(aError, aInBody);
  if (!refusal.limit.empty()) {
    this->listener.CountRefusal(refusal.limit);
  }
  if (refusal.status == 0) {
    co_return;
  }
  HeaderList headers;
  if (refusal.status == kUnavailable) {
    headers.push_back({ "Retry-After", "1" });
  }
  std::string empty;
  co_await this->WriteWhole(refusal.status, std::move(headers), std::move(empty));
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
  const ErrorCode error = co_await this->ParseBody(aParser);
  if (error) {
    // What has arrived is freed before the refusal is written.
    FreeText(aParser.get().body());
    co_await this->RefuseBadRequest(error, true);
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
  this->SetState(ConnectionState::kReceiving);
  const core::MonotonicTime arrival = this->listener.clock.Now();
  Parser parser;
  const ReceiveScope receiveScope(*this, parser);
  parser.header_limit(this->listener.limits.headerBytes);
  parser.body_limit(this->listener.limits.bodyBytes);
  const ErrorCode error = co_await this->ParseHead(parser);
  if (error) {
    co_await this->RefuseBadRequest(error, false);
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
  this->heldRequest += parser.get().body().size();
  this->account.Hold(this->heldRequest + this->buffer.capacity());
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
      if (error == asio::error::operation_aborted && !this->watchStopped &&
          this->socket.is_open()) {
        continue;
      }
      // Without memory for further requests they stay in the socket.
      if (error != asio::error::operation_aborted && error != kNoMemory) {
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

void
CallerSession::EndRequest()
{
  this->heldRequest = 0;
  this->account.SetEvictable(false);
  // An idle connection keeps no buffer where memory is limited.
  if (this->listener.Memory().IsLimited() && this->buffer.size() == 0) {
    this->buffer.shrink_to_fit();
  }
  this->account.Hold(this->buffer.capacity());
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
    this->SetState(ConnectionState::kServing);
    co_await this->ServeOne(*request);
    this->EndRequest();
    if (!this->answerComplete || !this->keepAlive) {
      break;
    }
    this->busy = false;
    this->SetState(ConnectionState::kIdle);
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

} // namespace plantainslip::serving
