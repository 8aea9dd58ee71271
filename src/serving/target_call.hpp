#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>

#include <absl/status/statusor.h>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <plantainslip/net/response_end.hpp>
#include <plantainslip/serving/target_protocol.hpp>

#include "connection_pool.hpp"

namespace plantainslip::serving {

using net::BodyFraming;

/// @brief Head of a response.
struct ResponseHead
{
  int status = 0;
  HeaderList headers;
  BodyFraming framing = BodyFraming::kLength;
};

/// @brief One request on one connection, and its response as it is received.
///
/// Never sends the request twice. Errors: 1502 (serving.connection_lost), 1503
/// (serving.bad_answer), 1504 (serving.cancelled).
class TargetCall
{
public:
  /// @param aRequestId  id that the response must echo; empty if the peer echoes none
  TargetCall(std::unique_ptr<OutgoingConnection> aConnection,
             std::string aRequestId,
             std::string_view aIdHeader,
             Cancellation& aCancellation);

  /// @brief Writes the request. Even after an error the peer may have received it.
  Task<absl::Status> Send(std::string aHead, std::string_view aBody);

  /// @brief Reads the head of the response, skipping late responses to other requests.
  /// @param aSkipBody  whether responses to the method have no body
  Task<absl::StatusOr<ResponseHead>> ReadHead(bool aSkipBody);

  /// @brief Returns whether any byte of a response was received; before ReturnToPool() only.
  bool HasReceived() const;

  /// @brief Reads the next part of the body and appends it.
  /// @return false if the response is complete
  Task<absl::StatusOr<bool>> ReadSome(std::string& aBody);

  /// @brief Reads the rest of the body.
  /// @param aMaxBytes  max size of the body; a larger one is an error
  Task<absl::StatusOr<std::string>> ReadAll(std::size_t aMaxBytes);

  /// @brief Returns the connection to the pool if it can carry another request.
  void ReturnToPool(ConnectionPool& aPool, const net::Address& aAddress);

private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  absl::Status ToStatus(const ErrorCode& aError) const;
  absl::Status CancelledOr(absl::Status aStatus) const;
  Task<absl::Status> ReadOneHead(bool aSkipBody);
  bool IsForAnotherRequest() const;

  std::unique_ptr<OutgoingConnection> connection;
  std::string requestId;
  std::string_view idHeader;
  Cancellation& cancellation;
  Cancellation::Scope scope;
  std::unique_ptr<Parser> parser;
  /// @brief Whether the head of an interim response or of one to another request was received.
  bool hasSkippedHead = false;
  std::array<char, 8'192> readBuffer{};
};

} // namespace plantainslip::serving
