#pragma once

#include <deque>
#include <map>
#include <memory>

#include <absl/status/statusor.h>
#include <boost/beast/core/flat_buffer.hpp>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/net/address.hpp>

#include "cancellation.hpp"

namespace plantainslip::serving {

/// @brief One connection to a target or to the store.
struct OutgoingConnection
{
  explicit OutgoingConnection(const asio::any_io_executor& aExecutor)
    : socket(aExecutor)
  {
  }

  Tcp::socket socket;
  /// @brief Bytes that were read and do not belong to the last answer's head or body yet.
  boost::beast::flat_buffer buffer;
  /// @brief Whether it has carried an answer before.
  bool reused = false;
};

/// @brief Bounds on kept connections.
struct PoolOptions
{
  /// @brief Longest time to connect; a lost packet costs a second, so another target is sooner.
  std::chrono::milliseconds connectTimeout{ 400 };
  /// @brief Most kept connections to one address.
  std::size_t mostIdle = 8;
  /// @brief Longest time that a connection is kept if its peer states none.
  std::chrono::milliseconds idleLifetime{ 4'000 };
  /// @brief Time after which sent data that is not acknowledged breaks the connection.
  std::chrono::milliseconds unacknowledgedTimeout{ 1'500 };
};

/// @brief Keeps connections between calls. Used on one thread.
class ConnectionPool
{
public:
  ConnectionPool(asio::any_io_executor aExecutor, PoolOptions aOptions, const core::Clock& aClock)
    : executor(std::move(aExecutor))
    , options(aOptions)
    , clock(aClock)
  {
  }

  /// @brief Gives a kept connection that is still sound, or a new one.
  /// @param aLongestIdle  kept connections that were idle for longer are passed over
  /// @return the connection, or error 1501 (serving.not_connected) or 1504 (serving.cancelled)
  Task<absl::StatusOr<std::unique_ptr<OutgoingConnection>>>
  Take(net::Address aAddress, std::chrono::milliseconds aLongestIdle, Cancellation& aCancellation);

  /// @brief Keeps a connection whose answer was read to its end.
  /// @param aLifetime  how long its peer keeps it; zero if it does not say
  void Keep(const net::Address& aAddress,
            std::unique_ptr<OutgoingConnection> aConnection,
            std::chrono::milliseconds aLifetime);

  /// @brief Closes all kept connections to an address, which may be as dead as one that failed.
  void Forget(const net::Address& aAddress) { this->kept.erase(aAddress); }

private:
  struct Kept
  {
    std::unique_ptr<OutgoingConnection> connection;
    core::MonotonicTime since;
    core::MonotonicTime until;
  };

  std::unique_ptr<OutgoingConnection> TakeKept(const net::Address& aAddress,
                                               std::chrono::milliseconds aLongestIdle);

  asio::any_io_executor executor;
  PoolOptions options;
  const core::Clock& clock;
  std::map<net::Address, std::deque<Kept>> kept;
};

} // namespace plantainslip::serving
