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

Task<void>
HttpListener::Accept()
{
  // A connection may have been accepted before Close() and be handled after it.
  while (this->acceptor.is_open()) {
    ErrorCode error;
    Tcp::socket socket(this->context);
    co_await this->acceptor.async_accept(socket, RedirectError(error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      core::Log(core::LogLevel::kWarning, "accept failed", { { "error", error.message() } });
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
