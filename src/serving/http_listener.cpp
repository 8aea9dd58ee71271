#include "http_listener.hpp"

#include <algorithm>

#include <plantainslip/core/log.hpp>
#include <plantainslip/serving/errors.hpp>

#include "caller_session.hpp"
#include "spawn.hpp"

namespace plantainslip::serving {

namespace {

/// Delay after a failed accept, which is mostly caused by a lack of file descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 20 };
/// Min time between two log lines on failed accepts.
constexpr std::chrono::seconds kAcceptLogInterval{ 1 };
/// A request that has been arriving for less than this is not cut off for a new connection.
constexpr std::chrono::seconds kMinReceivingTime{ 1 };

} // namespace

absl::StatusOr<std::unique_ptr<HttpListener>>
HttpListener::Open(asio::io_context& aContext,
                   const net::Address& aAddress,
                   const core::Clock& aClock,
                   RequestHandler aHandler)
{
  std::unique_ptr<HttpListener> listener(new HttpListener(aContext, aClock, std::move(aHandler)));
  ErrorCode error;
  const Tcp::endpoint endpoint(asio::ip::make_address_v4(aAddress.host, error), aAddress.port);
  const auto step = [&error](auto aCall) {
    if (!error) {
      aCall();
    }
  };
  step([&] { listener->acceptor.open(Tcp::v4(), error); });
  step([&] { listener->acceptor.set_option(Tcp::acceptor::reuse_address(true), error); });
  step([&] { listener->acceptor.bind(endpoint, error); });
  step([&] { listener->acceptor.listen(asio::socket_base::max_listen_connections, error); });
  if (error) {
    return core::MakeError(errors::kCannotListen, aAddress.Text() + ": " + error.message());
  }
  SpawnLoop(aContext, "accept", [self = listener.get()] { return self->Accept(); });
  return listener;
}

HttpListener::HttpListener(asio::io_context& aContext,
                           const core::Clock& aClock,
                           RequestHandler aHandler)
  : context(aContext)
  , clock(aClock)
  , handler(std::move(aHandler))
  , acceptor(aContext)
{
}

HttpListener::~HttpListener() = default;

MemoryBudget&
HttpListener::Memory()
{
  return this->machineLimits.memory == nullptr ? this->unlimited : *this->machineLimits.memory;
}

void
HttpListener::CountRefusal(const std::string& aLimit)
{
  if (this->machineLimits.refusals != nullptr) {
    this->machineLimits.refusals->Record(aLimit);
  }
}

std::size_t
HttpListener::CountOpen() const
{
  std::size_t count = 0;
  for (const auto& connections : this->byState) {
    count += connections.size();
  }
  return count;
}

// Callers reuse connections that have been idle for up to four fifths of the idle timeout; the ones
// that have waited longest come first, so those that callers still use are closed last.
bool
HttpListener::CloseOne()
{
  const core::MonotonicTime now = this->clock.Now();
  for (const auto state : { ConnectionState::kSilent, ConnectionState::kIdle }) {
    for (CallerSession* const session : this->byState.at(static_cast<std::size_t>(state))) {
      if (!session->Busy()) {
        this->CountRefusal(state == ConnectionState::kSilent ? "silent_connection"
                                                             : "idle_connection");
        session->Close();
        return true;
      }
    }
  }
  const auto& receiving = this->byState.at(static_cast<std::size_t>(ConnectionState::kReceiving));
  if (receiving.empty() || now - receiving.front()->StateSince() < kMinReceivingTime) {
    return false;
  }
  this->CountRefusal("receiving_connection");
  receiving.front()->Close();
  return true;
}

// Waits for a connection while as many as allowed are open, and makes room for it. Returns false if
// the listener was closed.
Task<bool>
HttpListener::AwaitRoom()
{
  const std::size_t limit = this->machineLimits.maxConnections;
  while (limit > 0 && this->CountOpen() >= limit) {
    ErrorCode error;
    co_await this->acceptor.async_wait(Tcp::acceptor::wait_read, RedirectError(error));
    if (!this->acceptor.is_open()) {
      co_return false;
    }
    if (error || (this->CountOpen() >= limit && !this->CloseOne())) {
      co_await SleepFor(kAcceptRetryDelay);
    }
  }
  co_return true;
}

Task<void>
HttpListener::Accept()
{
  // A connection may have been accepted before Close() and be handled after it.
  while (this->acceptor.is_open()) {
    const bool hasRoom = co_await this->AwaitRoom();
    if (!hasRoom) {
      co_return;
    }
    ErrorCode error;
    Tcp::socket socket(this->context);
    co_await this->acceptor.async_accept(socket, RedirectError(error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      if (this->clock.Now() - this->failureLoggedAt >= kAcceptLogInterval) {
        this->failureLoggedAt = this->clock.Now();
        core::Log(core::LogLevel::kWarning, "accept failed", { { "error", error.message() } });
      }
      if (error == asio::error::no_descriptors && this->CloseOne()) {
        continue;
      }
      asio::steady_timer retryTimer(this->context, kAcceptRetryDelay);
      co_await retryTimer.async_wait(RedirectError(error));
      continue;
    }
    const auto session = std::make_shared<CallerSession>(*this, std::move(socket));
    Spawn(this->context, "caller session", [session] { return session->Run(); });
  }
}

net::Address
HttpListener::LocalAddress() const
{
  ErrorCode ignored;
  const Tcp::endpoint endpoint = this->acceptor.local_endpoint(ignored);
  return { endpoint.address().to_string(), endpoint.port() };
}

void
HttpListener::CloseIdle()
{
  for (CallerSession* session : this->sessions) {
    session->CloseIfIdle();
  }
}

void
HttpListener::Close()
{
  ErrorCode ignored;
  this->acceptor.close(ignored);
  for (CallerSession* session : this->sessions) {
    session->Close();
  }
}

std::size_t
HttpListener::CountBusy() const
{
  return static_cast<std::size_t>(
    std::count_if(this->sessions.begin(), this->sessions.end(), [](const CallerSession* aSession) {
      return aSession->Busy();
    }));
}

} // namespace plantainslip::serving
