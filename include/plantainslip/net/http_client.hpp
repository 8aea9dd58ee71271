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

/// @brief One HTTP request that this process sends.
struct HttpRequest
{
  std::string method = "GET";
  /// @brief Path with its query, percent-encoded.
  std::string target = "/";
  std::vector<Header> headers;
  std::string contentType = "application/json";
  std::string body;
  /// @brief Longest wait for the answer, and between pieces of a streamed answer.
  std::chrono::milliseconds timeout = std::chrono::seconds(5);
  /// @brief Longest time that the kernel tries to deliver bytes that are not acknowledged; zero is
  ///        the system's own. Bytes not yet sent are dropped when the connection is closed. For
  ///        streamed answers only.
  std::chrono::milliseconds unacknowledgedTimeout{ 0 };
};

/// @brief A whole HTTP answer.
struct HttpReply
{
  int status = 0;
  std::string body;
};

/// @brief Sends a request over a fresh connection and reads the whole answer. Never resends.
/// @param aAddress  where to
/// @param aRequest  what to send
/// @return the answer, or error 202 (net.not_connected: no byte was sent) or 203 (net.no_answer:
///         the outcome is unknown)
/// @note Blocks for the request's timeout at most, and ten seconds more while it connects.
absl::StatusOr<HttpReply>
CallHttp(const Address& aAddress, const HttpRequest& aRequest);

/// @brief Percent-encodes one value of a query.
/// @param aText  any bytes
/// @return the encoded value; linear in its length
std::string
EncodeQueryValue(const std::string& aText);

/// @brief An HTTP answer that is read piece by piece, as it arrives.
/// @note Used by one thread. Closing the connection in mid-answer is the destructor's job.
class HttpStream
{
public:
  virtual ~HttpStream() = default;

  /// @brief Sends a request over a fresh connection and reads the answer's head.
  /// @param aAddress  where to
  /// @param aRequest  what to send; its timeout holds for connecting and for the head
  /// @return the open answer, or error 202 (net.not_connected) or 203 (net.no_answer)
  static absl::StatusOr<std::unique_ptr<HttpStream>> Open(const Address& aAddress,
                                                          const HttpRequest& aRequest);

  /// @brief Gives the answer's HTTP status.
  virtual int StatusCode() const = 0;

  /// @brief Waits for the next bytes of the body.
  /// @param aTimeout  longest wait
  /// @return the bytes; nothing at the answer's proper end; or error 203 (net.no_answer) if the
  ///         answer is cut or late
  virtual absl::StatusOr<std::optional<std::string>> Read(std::chrono::milliseconds aTimeout) = 0;
};

} // namespace plantainslip::net
