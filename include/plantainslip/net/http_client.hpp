#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/net/address.hpp>
#include <plantainslip/net/http_server.hpp>

namespace plantainslip::net {

/// @brief An outgoing HTTP request.
struct HttpRequest
{
  std::string method = "GET";
  /// @brief Path and query, percent-encoded.
  std::string target = "/";
  std::vector<Header> headers;
  std::string contentType = "application/json";
  std::string body;
  /// @brief Timeout of the answer. HttpStream::Read() has a timeout of its own.
  std::chrono::milliseconds timeout = std::chrono::seconds(5);
  /// @brief Maximum time for which the kernel retransmits unacknowledged bytes; zero keeps the
  /// system
  ///        default. If it is set, closing the connection drops unsent bytes. Used by HttpStream
  ///        only.
  std::chrono::milliseconds unacknowledgedTimeout{ 0 };
};

/// @brief A complete HTTP response.
struct HttpReply
{
  int status = 0;
  std::string body;
};

/// @brief Sends a request over a new connection and reads the complete answer, without retries.
/// @param aAddress  address of the server
/// @param aRequest  the request
/// @return the answer, or error 202 (net.not_connected: no byte was sent) or 203 (net.no_answer:
///         the outcome is unknown)
/// @note Blocks for at most the request's timeout plus ten seconds for connecting.
absl::StatusOr<HttpReply>
CallHttp(const Address& aAddress, const HttpRequest& aRequest);

/// @brief Percent-encodes a query value.
/// @param aText  any bytes
/// @return the encoded value; linear in its length
std::string
EncodeQueryValue(const std::string& aText);

/// @brief An HTTP response that is read in chunks as it arrives.
/// @note Not thread-safe. The destructor closes the connection, even in the middle of an answer.
class HttpStream
{
public:
  virtual ~HttpStream() = default;

  /// @brief Sends a request over a new connection and reads the response headers.
  /// @param aAddress  address of the server
  /// @param aRequest  the request; its timeout applies separately to connecting, to sending and to
  ///        reading the headers
  /// @return the open answer, or error 202 (net.not_connected) or 203 (net.no_answer)
  static absl::StatusOr<std::unique_ptr<HttpStream>> Open(const Address& aAddress,
                                                          const HttpRequest& aRequest);

  /// @brief Returns the HTTP status of the response.
  virtual int StatusCode() const = 0;

  /// @brief Waits for the next bytes of the body.
  /// @param aTimeout  timeout of this read
  /// @return the bytes; std::nullopt at the end of a complete answer; or error 203 (net.no_answer)
  /// if
  ///         the connection is lost or the read times out
  virtual absl::StatusOr<std::optional<std::string>> Read(std::chrono::milliseconds aTimeout) = 0;
};

} // namespace plantainslip::net
