// How a caller's connection writes answers.
#include "caller_session.hpp"

#include <algorithm>
#include <array>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "http_head.hpp"
#include "spawn.hpp"

namespace plantainslip::serving {

namespace {

/// Max bytes of a streamed answer that are kept for a caller that reads more slowly than its target
/// sends. Beyond it reading from the target stops, and the target may cut the response.
constexpr std::size_t kMaxUnsentBytes = 524'288;
/// A caller of a streamed answer that takes nothing for this long counts as gone.
constexpr std::chrono::seconds kMaxUnreadTime{ 10 };

// Returns the bytes that were written to a socket and not acknowledged by its peer.
int
CountUnread(Tcp::socket& aSocket)
{
  int count = 0;
  return ::ioctl(aSocket.native_handle(), SIOCOUTQ, &count) == 0 ? count : 0;
}

std::string
FormatChunk(const std::string& aChunk)
{
  std::array<char, 20> length{};
  const int written = std::snprintf(length.data(), length.size(), "%zx\r\n", aChunk.size());
  return std::string(length.data(), static_cast<std::size_t>(written)) + aChunk + "\r\n";
}

} // namespace

void
CallerSession::SetResetOnClose(bool aReset)
{
  ErrorCode ignored;
  this->socket.set_option(asio::socket_base::linger(aReset, 0), ignored);
}

Task<bool>
CallerSession::Write(std::string aHead, std::string aBody)
{
  ErrorCode error;
  std::optional<Cancellation::Scope> scope;
  if (this->cancellation != nullptr && this->answerStarted) {
    // A caller that does not read must not hold the request past its deadline.
    scope.emplace(*this->cancellation, [this] { this->Close(); });
  }
  const std::array<asio::const_buffer, 2> parts = { asio::buffer(aHead), asio::buffer(aBody) };
  co_await asio::async_write(this->socket, parts, RedirectError(error));
  if (error && this->cancellation != nullptr) {
    this->cancellation->Cancel(CancelReason::kCallerLeft);
  }
  co_return !error;
}

// Sends what was kept as the caller takes it. Stopping the disconnect watch cancels the wait too.
Task<void>
CallerSession::SendUnsent()
{
  ErrorCode error;
  while (this->unsentBegin < this->unsent.size() && this->socket.is_open()) {
    const int unread = CountUnread(this->socket);
    const TimeLimit limit(this->socket.get_executor(), kMaxUnreadTime, [this, unread] {
      // The socket becomes writable only when a good part of its buffer is free, so a slow caller
      // may have read some of it.
      if (CountUnread(this->socket) < unread) {
        this->StopWait();
      } else {
        this->listener.CountRefusal("unread_answer");
        this->Close();
      }
    });
    co_await this->socket.async_wait(Tcp::socket::wait_write, RedirectError(error));
    if (!this->socket.is_open()) {
      break;
    }
    const std::size_t sent =
      this->socket.write_some(asio::buffer(this->unsent) + this->unsentBegin, error);
    if (error && error != asio::error::would_block) {
      this->Close();
      break;
    }
    this->unsentBegin += sent;
    this->account.RecordProgress(sent);
    this->unsentChanged.cancel();
  }
  if (this->unsentBegin < this->unsent.size() && this->cancellation != nullptr) {
    this->cancellation->Cancel(CancelReason::kCallerLeft);
  }
  FreeText(this->unsent);
  this->unsentBegin = 0;
  this->sending = false;
  this->account.SetEvictable(false);
  this->account.Hold(this->heldRequest + this->buffer.capacity());
  this->unsentChanged.cancel();
}

Task<bool>
CallerSession::AwaitUnsent(std::size_t aMaxBytes)
{
  std::optional<Cancellation::Scope> scope;
  if (this->cancellation != nullptr) {
    scope.emplace(*this->cancellation, [this] { this->Close(); });
  }
  while (this->sending && this->unsent.size() - this->unsentBegin > aMaxBytes) {
    this->unsentChanged.expires_at(asio::steady_timer::time_point::max());
    ErrorCode ended;
    co_await this->unsentChanged.async_wait(RedirectError(ended));
  }
  co_return this->socket.is_open();
}

Task<bool>
CallerSession::WriteOrKeep(std::string aBytes)
{
  std::size_t sent = 0;
  if (!this->sending) {
    ErrorCode error;
    sent = this->socket.write_some(asio::buffer(aBytes), error);
    if (error && error != asio::error::would_block) {
      if (this->cancellation != nullptr) {
        this->cancellation->Cancel(CancelReason::kCallerLeft);
      }
      co_return false;
    }
    if (sent == aBytes.size()) {
      co_return true;
    }
  }
  const std::size_t rest = aBytes.size() - sent;
  const bool hasRoom =
    co_await this->AwaitUnsent(kMaxUnsentBytes - std::min(rest, kMaxUnsentBytes));
  if (!hasRoom) {
    co_return false;
  }
  this->unsent.erase(0, this->unsentBegin);
  this->unsentBegin = 0;
  if (!this->account.Resize(this->heldRequest + this->buffer.capacity() + this->unsent.size() +
                            rest)) {
    // Reading from the target stops until the caller has taken what is kept.
    const bool taken = co_await this->AwaitUnsent(0);
    if (!taken) {
      co_return false;
    }
    this->account.Hold(this->heldRequest + this->buffer.capacity() + rest);
  }
  this->unsent.append(aBytes, sent, rest);
  if (!this->sending) {
    this->sending = true;
    this->account.SetEvictable(true);
    auto executor = this->socket.get_executor();
    Spawn(
      executor, "answer writer", [self = this->shared_from_this()] { return self->SendUnsent(); });
  }
  co_return true;
}

Task<bool>
CallerSession::WriteWhole(int aStatus, HeaderList aHeaders, std::string aBody)
{
  this->keepAlive = this->keepAlive && !this->listener.draining;
  aHeaders.push_back({ "Content-Length", std::to_string(aBody.size()) });
  if (!this->keepAlive) {
    aHeaders.push_back({ "Connection", "close" });
  }
  std::string head = FormatResponseHead(aStatus, aHeaders);
  if (this->omitBody) {
    FreeText(aBody);
  }
  this->account.Hold(this->heldRequest + this->buffer.capacity() + aBody.size());
  this->account.SetEvictable(true);
  this->answerComplete = co_await this->Write(std::move(head), std::move(aBody));
  this->account.SetEvictable(false);
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
  const bool written = co_await this->WriteOrKeep(std::move(bytes));
  co_return written;
}

Task<bool>
CallerSession::EndStream()
{
  if (this->chunked) {
    std::string lastChunk = "0\r\n\r\n";
    this->answerComplete = co_await this->WriteOrKeep(std::move(lastChunk));
  } else {
    this->answerComplete = true;
  }
  if (this->sending) {
    this->answerComplete = co_await this->AwaitUnsent(0);
  }
  this->SetResetOnClose(!this->answerComplete && !this->chunked);
  co_return this->answerComplete;
}

void
CallerSession::Abort()
{
  this->keepAlive = false;
  this->Close();
}

} // namespace plantainslip::serving
