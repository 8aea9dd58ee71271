#pragma once

#include <deque>
#include <map>
#include <memory>

#include <absl/status/statusor.h>
#include <boost/beast/core/flat_buffer.hpp>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/net/address.hpp>
#include <plantainslip/serving/connection_view.hpp>
#include <plantainslip/serving/memory_budget.hpp>

#include "cancellation.hpp"

namespace plantainslip::serving {

/// @brief One connection to a target or to the store.
struct OutgoingConnection
{
  /// @brief Max size of a response head, a chunk header or the trailers, with the bytes read ahead;
  ///        a peer that sends more without an end is cut off.
  static constexpr std::size_t kMaxBufferedBytes = 131'072;

  /// @param aOpen  counts the connection during its lifetime
  OutgoingConnection(const asio::any_io_executor& aExecutor,
                     MemoryBudget& aMemory,
                     std::shared_ptr<std::size_t> aOpen)
    : socket(aExecutor)
    , account(aMemory)
    , open(std::move(aOpen))
  {
    ++*this->open;
  }
  ~OutgoingConnection() { --*this->open; }
  OutgoingConnection(const OutgoingConnection&) = delete;
  OutgoingConnection& operator=(const OutgoingConnection&) = delete;

  Tcp::socket socket;
  /// @brief Bytes of a response that is read whole.
  MemoryBudget::Account account;
  std::shared_ptr<std::size_t> open;
  /// @brief Bytes that were received and not parsed yet.
  boost::beast::flat_buffer buffer{ kMaxBufferedBytes };
  /// @brief Whether it has carried a response before.
  bool reused = false;
  /// @brief How long it had been idle before it was reused.
  std::chrono::milliseconds idleFor{ 0 };
};

/// @brief Limits on the connections of a pool.
struct PoolOptions
{
  /// @brief Max time to connect; a lost packet costs a second, so trying another target is faster.
  std::chrono::milliseconds connectTimeout{ 400 };
  /// @brief Max number of idle connections per address.
  std::size_t maxIdlePerAddress = 8;
  /// @brief Number of connections from which idle ones are closed for new ones; zero for no limit.
  std::size_t maxOpen = 0;
  /// @brief Limits the responses that are read whole; null for no limit.
  MemoryBudget* memory = nullptr;
  /// @brief Max time that a connection is kept idle; half the time its peer states, if shorter.
  std::chrono::milliseconds idleLifetime{ 4'000 };
  /// @brief Max time that a connection is kept idle if its peer states that it keeps it for longer;
  ///        zero to keep it no longer than #idleLifetime.
  std::chrono::milliseconds statedLifetime{ 0 };
  /// @brief Time after which unacknowledged data closes the connection (TCP_USER_TIMEOUT).
  std::chrono::milliseconds unacknowledgedTimeout{ 1'500 };
};

/// @brief Keeps idle connections for reuse. Used on one thread only.
class ConnectionPool : public ConnectionView
{
public:
  ConnectionPool(asio::any_io_executor aExecutor, PoolOptions aOptions, const core::Clock& aClock)
    : executor(std::move(aExecutor))
    , options(aOptions)
    , clock(aClock)
  {
  }

  /// @brief Returns an idle connection that is still usable, or a new one.
  /// @param aMaxIdle  connections that were idle for longer are closed
  /// @return the connection, or error 1501 (serving.not_connected) or 1504 (serving.cancelled)
  Task<absl::StatusOr<std::unique_ptr<OutgoingConnection>>>
  Acquire(net::Address aAddress, std::chrono::milliseconds aMaxIdle, Cancellation& aCancellation);

  /// @brief Returns a connection to the pool after its response was read to the end.
  /// @param aLifetime  how long its peer keeps it open; zero if not stated
  void Release(const net::Address& aAddress,
               std::unique_ptr<OutgoingConnection> aConnection,
               std::chrono::milliseconds aLifetime);

  /// @brief Tries to connect to an address, to find out whether a process still listens there.
  /// @return true if the connection was refused; a new connection is kept for reuse
  Task<bool> IsConnectionRefused(net::Address aAddress);

  /// @brief Closes all idle connections to an address; after a failed call they may be dead too.
  void CloseIdle(const net::Address& aAddress) { this->idle.erase(aAddress); }

  bool HasIdle(const net::Address& aAddress, std::chrono::milliseconds aMaxIdle) const override;

  double ConnectMs() const override { return this->connectMs; }

private:
  struct IdleConnection
  {
    std::unique_ptr<OutgoingConnection> connection;
    core::MonotonicTime idleSince;
    core::MonotonicTime expiresAt;
  };

  /// @brief Result of an attempt to connect.
  struct ConnectResult
  {
    /// @brief Absent if connecting failed.
    std::unique_ptr<OutgoingConnection> connection;
    ErrorCode error;
    bool timedOut = false;
  };

  void CloseLongestIdle();
  std::unique_ptr<OutgoingConnection> AcquireIdle(const net::Address& aAddress,
                                                  std::chrono::milliseconds aMaxIdle);
  std::chrono::milliseconds Lifetime(std::chrono::milliseconds aStated) const;
  Task<ConnectResult> Connect(const net::Address& aAddress, Cancellation& aCancellation);

  asio::any_io_executor executor;
  PoolOptions options;
  const core::Clock& clock;
  MemoryBudget unlimited{ 0, this->clock };
  std::shared_ptr<std::size_t> open = std::make_shared<std::size_t>(0);
  std::map<net::Address, std::deque<IdleConnection>> idle;
  /// @brief Moving average of the time in which a connection is made; starts at a local round trip.
  double connectMs = 1.0;
};

} // namespace plantainslip::serving
