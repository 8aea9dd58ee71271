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

/// @brief Accepts connections on one address and passes their requests to a handler.
///
/// Connections stay open between requests. Used on one thread only.
class HttpListener
{
public:
  /// @brief Listens on the address and starts accepting connections.
  /// @param aHandler  called for each request; requests of one connection are served in sequence
  /// @return the listener, or error 1506 (serving.cannot_listen)
  static absl::StatusOr<std::unique_ptr<HttpListener>> Open(asio::io_context& aContext,
                                                            const net::Address& aAddress,
                                                            const core::Clock& aClock,
                                                            RequestHandler aHandler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// @brief Returns the local address; port 0 in Open() selects a free port.
  net::Address LocalAddress() const;

  /// @brief Sets the limits on callers' requests, effective from the next request on.
  void SetLimits(const CallerLimits& aLimits) { this->limits = aLimits; }

  /// @brief Starts draining: each answer whose head is written from now on closes its connection.
  void BeginDrain() { this->draining = true; }

  /// @brief Closes the connections that are not busy; see CallerSession::Busy().
  void CloseIdle();

  /// @brief Stops accepting and closes all connections; their coroutines end soon after.
  void Close();

  /// @brief Counts the connections that are busy; see CallerSession::Busy().
  std::size_t CountBusy() const;

private:
  friend class CallerSession;
  HttpListener(asio::io_context& aContext, const core::Clock& aClock, RequestHandler aHandler);
  Task<void> Accept();

  asio::io_context& context;
  const core::Clock& clock;
  RequestHandler handler;
  Tcp::acceptor acceptor;
  CallerLimits limits;
  bool draining = false;
  std::set<CallerSession*> sessions;
};

} // namespace plantainslip::serving
