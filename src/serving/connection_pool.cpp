#include "connection_pool.hpp"

#include <netinet/tcp.h>

#include <plantainslip/serving/errors.hpp>

namespace plantainslip::serving {

namespace {

// TCP keepalive probes detect peers that vanish while a connection is idle or waits for a response.
void
SetSocketOptions(Tcp::socket& aSocket, std::chrono::milliseconds aUnacknowledgedTimeout)
{
  using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  using ProbeAfter = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using ProbeInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using ProbeCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  ErrorCode ignored;
  aSocket.set_option(Tcp::no_delay(true), ignored);
  aSocket.set_option(UserTimeout(static_cast<int>(aUnacknowledgedTimeout.count())), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  aSocket.set_option(ProbeAfter(1), ignored);
  aSocket.set_option(ProbeInterval(1), ignored);
  aSocket.set_option(ProbeCount(2), ignored);
}

// An idle connection with data to read was closed by its peer or holds a response to no request.
bool
HasNoPendingBytes(Tcp::socket& aSocket)
{
  ErrorCode error;
  char byte = 0;
  aSocket.non_blocking(true, error);
  aSocket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

} // namespace

std::unique_ptr<OutgoingConnection>
ConnectionPool::AcquireIdle(const net::Address& aAddress, std::chrono::milliseconds aMaxIdle)
{
  const auto found = this->idle.find(aAddress);
  if (found == this->idle.end()) {
    return nullptr;
  }
  const core::MonotonicTime now = this->clock.Now();
  auto& connections = found->second;
  while (!connections.empty()) {
    IdleConnection candidate = std::move(connections.back());
    connections.pop_back();
    const bool usable = now < candidate.expiresAt && now - candidate.idleSince <= aMaxIdle;
    if (usable && HasNoPendingBytes(candidate.connection->socket)) {
      candidate.connection->reused = true;
      candidate.connection->idleFor =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - candidate.idleSince);
      return std::move(candidate.connection);
    }
  }
  return nullptr;
}

bool
ConnectionPool::HasIdle(const net::Address& aAddress, std::chrono::milliseconds aMaxIdle) const
{
  const auto found = this->idle.find(aAddress);
  if (found == this->idle.end() || found->second.empty()) {
    return false;
  }
  const core::MonotonicTime now = this->clock.Now();
  const IdleConnection& newest = found->second.back();
  return now < newest.expiresAt && now - newest.idleSince <= aMaxIdle;
}

// Linear in the number of addresses. Without an idle connection the limit is exceeded: connections
// in use are bounded by the number of requests.
void
ConnectionPool::CloseLongestIdle()
{
  std::deque<IdleConnection>* longest = nullptr;
  for (auto& [address, connections] : this->idle) {
    if (!connections.empty() &&
        (longest == nullptr || connections.front().idleSince < longest->front().idleSince)) {
      longest = &connections;
    }
  }
  if (longest != nullptr) {
    longest->pop_front();
  }
}

Task<ConnectionPool::ConnectResult>
ConnectionPool::Connect(const net::Address& aAddress, Cancellation& aCancellation)
{
  ConnectResult result;
  if (this->options.maxOpen > 0 && *this->open >= this->options.maxOpen) {
    this->CloseLongestIdle();
  }
  MemoryBudget& memory = this->options.memory == nullptr ? this->unlimited : *this->options.memory;
  auto connection = std::make_unique<OutgoingConnection>(this->executor, memory, this->open);
  Tcp::socket& socket = connection->socket;
  const core::MonotonicTime startedAt = this->clock.Now();
  const Tcp::endpoint endpoint(asio::ip::make_address_v4(aAddress.host, result.error),
                               aAddress.port);
  const auto close = [&socket] {
    ErrorCode ignored;
    socket.close(ignored);
  };
  const Cancellation::Scope scope(aCancellation, close);
  const TimeLimit limit(this->executor, this->options.connectTimeout, close);
  if (!result.error && !aCancellation.Reason().has_value()) {
    co_await socket.async_connect(endpoint, RedirectError(result.error));
  }
  result.timedOut = limit.Expired();
  if (!result.error && !result.timedOut && !aCancellation.Reason().has_value()) {
    SetSocketOptions(socket, this->options.unacknowledgedTimeout);
    constexpr double kSmoothingFactor = 0.1;
    const std::chrono::duration<double, std::milli> took = this->clock.Now() - startedAt;
    this->connectMs += kSmoothingFactor * (took.count() - this->connectMs);
    result.connection = std::move(connection);
  }
  co_return result;
}

Task<absl::StatusOr<std::unique_ptr<OutgoingConnection>>>
ConnectionPool::Acquire(net::Address aAddress,
                        std::chrono::milliseconds aMaxIdle,
                        Cancellation& aCancellation)
{
  if (auto connection = this->AcquireIdle(aAddress, aMaxIdle)) {
    co_return connection;
  }
  ConnectResult connected = co_await this->Connect(aAddress, aCancellation);
  if (connected.connection != nullptr) {
    co_return std::move(connected.connection);
  }
  if (aCancellation.Reason().has_value()) {
    co_return core::MakeError(errors::kCancelled, aAddress.Text());
  }
  const std::string reason = connected.timedOut ? "no answer in time" : connected.error.message();
  co_return core::MakeError(errors::kNotConnected, aAddress.Text() + ": " + reason);
}

Task<bool>
ConnectionPool::IsConnectionRefused(net::Address aAddress)
{
  Cancellation none;
  ConnectResult connected = co_await this->Connect(aAddress, none);
  if (connected.connection != nullptr) {
    this->Release(aAddress, std::move(connected.connection), std::chrono::milliseconds(0));
    co_return false;
  }
  co_return !connected.timedOut && connected.error == asio::error::connection_refused;
}

// A request must not be sent just as the peer closes the connection. Peers state whole seconds, so
// the margin is one second, or half the time if that is shorter.
std::chrono::milliseconds
ConnectionPool::Lifetime(std::chrono::milliseconds aStated) const
{
  if (aStated.count() <= 0) {
    return this->options.idleLifetime;
  }
  if (this->options.statedLifetime.count() == 0) {
    return std::min(aStated / 2, this->options.idleLifetime);
  }
  constexpr std::chrono::milliseconds kMargin{ 1'000 };
  return std::min(std::max(aStated / 2, aStated - kMargin), this->options.statedLifetime);
}

void
ConnectionPool::Release(const net::Address& aAddress,
                        std::unique_ptr<OutgoingConnection> aConnection,
                        std::chrono::milliseconds aLifetime)
{
  auto& connections = this->idle[aAddress];
  const core::MonotonicTime now = this->clock.Now();
  while (!connections.empty() && (connections.front().expiresAt <= now ||
                                  connections.size() >= this->options.maxIdlePerAddress)) {
    connections.pop_front();
  }
  connections.push_back(
    IdleConnection{ std::move(aConnection), now, now + this->Lifetime(aLifetime) });
}

} // namespace plantainslip::serving
