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

/// @brief One header field of a request or an answer.
struct Header
{
  std::string name;
  std::string value;
};

/// @brief One request that a server received, and the way to answer it.
/// @note Used by one thread. Answer either with Respond(), or with BeginStream(), any number of
///       SendChunk() and EndStream().
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  /// @brief Gives the request's method, such as `POST`.
  virtual std::string Method() const = 0;
  /// @brief Gives the request's path without its query.
  virtual std::string Path() const = 0;
  /// @brief Gives one decoded variable of the query; nothing if it is absent.
  virtual std::optional<std::string> Query(const std::string& aName) const = 0;
  /// @brief Gives one header field; nothing if it is absent. Names match in any case.
  virtual std::optional<std::string> HeaderValue(const std::string& aName) const = 0;

  /// @brief Reads the request's body.
  /// @param aLimit  most bytes that are kept in memory
  /// @return the body, or error 204 (net.body_too_large) or 205 (net.body_truncated)
  virtual absl::StatusOr<std::string> ReadBody(std::size_t aLimit) = 0;

  /// @brief Tells whether the caller has closed its side of the connection, without sending
  ///        anything. A caller that closes only its sending side counts as gone too.
  /// @return false if that cannot be told; one system call, and a search on the first call
  virtual bool CallerGone() { return false; }

  /// @brief Sends a whole answer.
  /// @param aStatus  HTTP status
  /// @param aContentType  media type of the body
  /// @param aBody  the body
  /// @param aHeaders  further header fields
  /// @return false if the caller has gone
  virtual bool Respond(int aStatus,
                       std::string_view aContentType,
                       std::string_view aBody,
                       const std::vector<Header>& aHeaders = {}) = 0;

  /// @brief Sends the head of a chunked answer.
  /// @return false if the caller has gone
  virtual bool BeginStream(int aStatus,
                           std::string_view aContentType,
                           const std::vector<Header>& aHeaders = {}) = 0;
  /// @brief Sends one piece of a chunked answer at once.
  /// @return false if the caller has gone
  virtual bool SendChunk(std::string_view aChunk) = 0;
  /// @brief Ends a chunked answer.
  /// @return false if the caller has gone
  virtual bool EndStream() = 0;
};

/// @brief Settings of an HTTP server.
struct HttpServerOptions
{
  /// @brief IP number to listen on.
  std::string host = "127.0.0.1";
  /// @brief Port to listen on; 0 takes a free one.
  std::uint16_t port = 0;
  /// @brief Threads, which is the most requests that are worked on at once.
  unsigned threads = 64;
  /// @brief Connections that wait to be accepted, and as many that wait for a thread. One beyond
  ///        them is tried again by the caller's kernel after a second.
  unsigned waitingConnections = 2048;
  /// @brief Longest time for a caller to send its request.
  std::chrono::milliseconds requestTimeout = std::chrono::seconds(10);
  /// @brief PEM file with certificate and key; empty serves without TLS.
  std::string certificateFile;
};

/// @brief HTTP server that calls one handler for every request, on a thread of its own.
class HttpServer
{
public:
  /// @brief Answers one request. Called from many threads at once.
  using Handler = std::function<void(HttpExchange&)>;

  virtual ~HttpServer() = default;

  /// @brief Opens the port and starts to serve.
  /// @param aOptions  settings
  /// @param aHandler  answers every request
  /// @return the server, or error 206 (net.cannot_listen)
  static absl::StatusOr<std::unique_ptr<HttpServer>> Create(const HttpServerOptions& aOptions,
                                                            Handler aHandler);

  /// @brief Gives the address that the server listens on.
  virtual Address ListeningAddress() const = 0;

  /// @brief Stops: open requests are ended, then the port is closed. Blocks for about a second.
  virtual void Stop() = 0;
};

} // namespace plantainslip::net
