#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/net/address.hpp>

namespace plantainslip::net {

/// @brief A header field of a request or a response.
struct Header
{
  std::string name;
  std::string value;
};

/// @brief A received request, with functions to answer it.
/// @note Not thread-safe. Answer either with Respond(), or with BeginStream(), any number of
///       SendChunk() and EndStream().
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  /// @brief Returns the request's method, such as `POST`.
  virtual std::string Method() const = 0;
  /// @brief Returns the request's path without the query.
  virtual std::string Path() const = 0;
  /// @brief Returns a decoded query variable; std::nullopt if it is absent.
  virtual std::optional<std::string> Query(const std::string& aName) const = 0;
  /// @brief Returns a header's value; std::nullopt if it is absent. Names are case-insensitive.
  virtual std::optional<std::string> HeaderValue(const std::string& aName) const = 0;

  /// @brief Reads the request's body.
  /// @param aLimit  maximum size of the body in bytes
  /// @return the body, or error 204 (net.body_too_large) or 205 (net.body_truncated)
  virtual absl::StatusOr<std::string> ReadBody(std::size_t aLimit) = 0;

  /// @brief Returns whether the caller has closed the connection, without sending anything. A
  /// caller
  ///        that has only shut down its sending side counts as gone too.
  /// @return false if this is unknown; one system call, plus a linear search for the socket on the
  ///         first call
  virtual bool CallerGone() { return false; }

  /// @brief Sends a complete response.
  /// @param aStatus  HTTP status
  /// @param aContentType  media type of the body
  /// @param aBody  the body
  /// @param aHeaders  further header fields
  /// @return false if the caller has gone
  virtual bool Respond(int aStatus,
                       std::string_view aContentType,
                       std::string_view aBody,
                       const std::vector<Header>& aHeaders = {}) = 0;

  /// @brief Sends the headers of a chunked response.
  /// @return false if the caller has gone
  virtual bool BeginStream(int aStatus,
                           std::string_view aContentType,
                           const std::vector<Header>& aHeaders = {}) = 0;
  /// @brief Sends a chunk immediately.
  /// @return false if the caller has gone
  virtual bool SendChunk(std::string_view aChunk) = 0;
  /// @brief Ends a chunked response.
  /// @return false if the caller has gone
  virtual bool EndStream() = 0;
};

/// @brief Settings of an HTTP server.
struct HttpServerOptions
{
  /// @brief IPv4 address to listen on.
  std::string host = "127.0.0.1";
  /// @brief Port to listen on; 0 selects a free one.
  std::uint16_t port = 0;
  /// @brief Number of threads, which is also the maximum number of concurrent requests.
  unsigned threads = 64;
  /// @brief Maximum number of connections waiting to be accepted, and of those waiting for a
  /// thread.
  ///        The caller's kernel retries any further connection after a second.
  unsigned maxQueuedConnections = 2048;
  /// @brief Timeout for receiving a request.
  std::chrono::milliseconds requestTimeout = std::chrono::seconds(10);
  /// @brief PEM file with certificate and key; empty disables TLS.
  std::string certificateFile;
};

/// @brief HTTP server that calls one handler for all requests, each request on its own thread.
class HttpServer
{
public:
  /// @brief Answers a request. Called concurrently from several threads.
  using Handler = std::function<void(HttpExchange&)>;

  virtual ~HttpServer() = default;

  /// @brief Opens the port and starts serving.
  /// @param aOptions  settings
  /// @param aHandler  answers every request
  /// @return the server, or error 206 (net.cannot_listen)
  static absl::StatusOr<std::unique_ptr<HttpServer>> Create(const HttpServerOptions& aOptions,
                                                            Handler aHandler);

  /// @brief Returns the address that the server listens on.
  virtual Address ListeningAddress() const = 0;

  /// @brief Ends open requests, then closes the port. Blocks for about a second.
  virtual void Stop() = 0;
};

} // namespace plantainslip::net
