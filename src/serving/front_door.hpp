#pragma once

#include <functional>
#include <memory>
#include <set>

#include <absl/status/statusor.h>

#include "path_types.hpp"

namespace plantainslip::serving {

/// @brief Serves one request of a connection.
using RequestHandler =
  std::function<Task<void>(const CallerRequest&, AnswerWriter&, Cancellation&)>;

class CallerSession;

/// @brief Accepts connections on one address and hands their requests to a handler.
///
/// Connections are kept between requests. Used on one thread.
class FrontDoor
{
public:
  /// @brief Opens the address and starts accepting.
  /// @param aHandler  called for each request; requests of one connection come one after another
  /// @return the door, or error 1506 (serving.cannot_listen)
  static absl::StatusOr<std::unique_ptr<FrontDoor>> Open(asio::io_context& aContext,
                                                         const net::Address& aAddress,
                                                         const core::Clock& aClock,
                                                         RequestHandler aHandler);
  ~FrontDoor();
  FrontDoor(const FrontDoor&) = delete;
  FrontDoor& operator=(const FrontDoor&) = delete;

  /// @brief Gives the address that is listened on; port 0 in Open() takes a free one.
  net::Address LocalAddress() const;

  /// @brief Sets the bounds on what callers may send, from the next request on.
  void SetLimits(const CallerLimits& aLimits) { this->limits = aLimits; }

  /// @brief From now on each answer ends its connection.
  void BeginStop() { this->stopping = true; }

  /// @brief Closes the connections that carry no request.
  void CloseIdle();

  /// @brief Stops accepting and closes all connections; their coroutines end soon.
  void Close();

  /// @brief Counts the connections that carry a request.
  std::size_t Busy() const;

private:
  friend class CallerSession;
  FrontDoor(asio::io_context& aContext, const core::Clock& aClock, RequestHandler aHandler);
  Task<void> Accept();

  asio::io_context& context;
  const core::Clock& clock;
  RequestHandler handler;
  Tcp::acceptor acceptor;
  CallerLimits limits;
  bool stopping = false;
  std::set<CallerSession*> sessions;
};

} // namespace plantainslip::serving
