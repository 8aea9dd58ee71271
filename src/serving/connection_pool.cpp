#include "connection_pool.hpp"

#include <netinet/tcp.h>

#include <plantainslip/serving/errors.hpp>

namespace plantainslip::serving {

namespace {

// Idle or waiting connections that went silent are found by the kernel's probes.
void
SetOptions(Tcp::socket& aSocket, std::chrono::milliseconds aUnacknowledged)
{
  using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  using ProbeAfter = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using ProbeInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using ProbeCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  ErrorCode ignored;
  aSocket.set_option(Tcp::no_delay(true), ignored);
  aSocket.set_option(UserTimeout(static_cast<int>(aUnacknowledged.count())), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  aSocket.set_option(ProbeAfter(1), ignored);
  aSocket.set_option(ProbeInterval(1), ignored);
  aSocket.set_option(ProbeCount(2), ignored);
}

// A kept connection with bytes to read is closed, or carries an answer that belongs to no request.
bool
IsQuiet(Tcp::socket& aSocket)
{
  ErrorCode error;
  char byte = 0;
  aSocket.non_blocking(true, error);
  aSocket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

} // namespace

std::unique_ptr<OutgoingConnection>
ConnectionPool::TakeKept(const net::Address& aAddress, std::chrono::milliseconds aLongestIdle)
{
  const auto found = this->kept.find(aAddress);
  if (found == this->kept.end()) {
    return nullptr;
  }
  const core::MonotonicTime now = this->clock.Now();
  auto& connections = found->second;
  while (!connections.empty()) {
    Kept newest = std::move(connections.back());
    connections.pop_back();
    const bool fresh = now < newest.until && now - newest.since <= aLongestIdle;
    if (fresh && IsQuiet(newest.connection->socket)) {
      newest.connection->reused = true;
      return std::move(newest.connection);
    }
  }
  return nullptr;
}

Task<absl::StatusOr<std::unique_ptr<OutgoingConnection>>>
ConnectionPool::Take(net::Address aAddress,
                     std::chrono::milliseconds aLongestIdle,
                     Cancellation& aCancellation)
{
  if (auto connection = this->TakeKept(aAddress, aLongestIdle)) {
    co_return connection;
  }
  auto connection = std::make_unique<OutgoingConnection>(this->executor);
  Tcp::socket& socket = connection->socket;
  ErrorCode error;
  const Tcp::endpoint endpoint(asio::ip::make_address_v4(aAddress.host, error), aAddress.port);
  const auto close = [&socket] {
    ErrorCode ignored;
    socket.close(ignored);
  };
  const Cancellation::Scope scope(aCancellation, close);
  const TimeLimit limit(this->executor, this->options.connectTimeout, close);
  if (!error && !aCancellation.Reason().has_value()) {
    co_await socket.async_connect(endpoint, Into(error));
  }
  if (aCancellation.Reason().has_value()) {
    co_return core::MakeError(errors::kCancelled, aAddress.Text());
  }
  if (error || limit.Expired()) {
    const std::string reason = limit.Expired() ? "no answer in time" : error.message();
    co_return core::MakeError(errors::kNotConnected, aAddress.Text() + ": " + reason);
  }
  SetOptions(socket, this->options.unacknowledgedTimeout);
  co_return connection;
}

void
ConnectionPool::Keep(const net::Address& aAddress,
                     std::unique_ptr<OutgoingConnection> aConnection,
                     std::chrono::milliseconds aLifetime)
{
  auto& connections = this->kept[aAddress];
  if (connections.size() >= this->options.mostIdle) {
    connections.pop_front();
  }
  // Half of the stated time, so that no request crosses the peer's close.
  const auto lifetime = aLifetime.count() > 0 ? std::min(aLifetime / 2, this->options.idleLifetime)
                                              : this->options.idleLifetime;
  const core::MonotonicTime now = this->clock.Now();
  connections.push_back(Kept{ std::move(aConnection), now, now + lifetime });
}

} // namespace plantainslip::serving
