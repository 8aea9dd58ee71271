#pragma once

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <set>

#include <absl/status/statusor.h>
#include <plantainslip/serving/memory_budget.hpp>

#include "limit_refusals.hpp"
#include "path_types.hpp"

namespace plantainslip::serving {

/// @brief Serves one request of a connection.
using RequestHandler =
  std::function<Task<void>(const CallerRequest&, AnswerWriter&, Cancellation&)>;

class CallerSession;

/// @brief Share of the machine's limits that the connections of a listener may use.
struct ListenerLimits
{
  /// @brief Null for no limit.
  MemoryBudget* memory = nullptr;
  /// @brief Max number of open connections; zero for no limit.
  std::size_t maxConnections = 0;
  /// @brief Null if refusals are not counted.
  LimitRefusals* refusals = nullptr;
};

/// @brief What a connection is doing. At the limit on connections, those of the first state are
///        closed first.
enum class ConnectionState
{
  /// @brief It has never sent anything.
  kSilent,
  /// @brief It waits for its next request.
  kIdle,
  /// @brief A request is arriving.
  kReceiving,
  /// @brief A request is being served; such connections are not closed.
  kServing,
  kClosed,
};

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

  /// @brief Sets the limits of the machine, before the first connection is accepted.
  void SetMachineLimits(const ListenerLimits& aLimits) { this->machineLimits = aLimits; }

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
  Task<bool> AwaitRoom();
  /// @brief Closes the connection that is missed least.
  /// @return false if all are needed
  bool CloseOne();
  std::size_t CountOpen() const;
  MemoryBudget& Memory();
  void CountRefusal(const std::string& aLimit);

  asio::io_context& context;
  const core::Clock& clock;
  RequestHandler handler;
  Tcp::acceptor acceptor;
  CallerLimits limits;
  ListenerLimits machineLimits;
  MemoryBudget unlimited{ 0, this->clock };
  /// @brief Open connections by state, in the order in which they came into it.
  std::array<std::list<CallerSession*>, 4> byState;
  core::MonotonicTime failureLoggedAt;
  bool draining = false;
  std::set<CallerSession*> sessions;
};

} // namespace plantainslip::serving
