#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>

#include <absl/status/statusor.h>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <plantainslip/serving/target_protocol.hpp>

#include "connection_pool.hpp"

namespace plantainslip::serving {

/// @brief Head of an answer.
struct AnswerHead
{
  int status = 0;
  HeaderList headers;
};

/// @brief One request on one connection, and its answer piece by piece.
///
/// Never sends anything twice. Errors: 1502 (serving.connection_lost), 1503 (serving.bad_answer),
/// 1504 (serving.cancelled).
class TargetCall
{
public:
  /// @param aRequestId  id that the answer must echo; empty if the peer echoes none
  TargetCall(std::unique_ptr<OutgoingConnection> aConnection,
             std::string aRequestId,
             std::string_view aIdHeader,
             Cancellation& aCancellation);

  /// @brief Writes the request. Whatever comes back, the peer may have got it.
  Task<absl::Status> Send(std::string aHead, std::string_view aBody);

  /// @brief Reads the head of the answer, passing over late answers to other requests.
  /// @param aBodiless  whether the method's answers have no body
  Task<absl::StatusOr<AnswerHead>> ReadHead(bool aBodiless);

  /// @brief Reads what has come of the body and appends it.
  /// @return false if the answer is complete
  Task<absl::StatusOr<bool>> ReadSome(std::string& aBody);

  /// @brief Reads the rest of the body.
  /// @param aMost  largest body that is taken
  Task<absl::StatusOr<std::string>> ReadAll(std::size_t aMost);

  /// @brief Gives the connection back if it can carry another request.
  void Recycle(ConnectionPool& aPool, const net::Address& aAddress);

private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  absl::Status Failure(const ErrorCode& aError) const;
  absl::Status CancelledOr(absl::Status aStatus) const;
  Task<absl::Status> ReadOneHead(bool aBodiless);
  bool IsForeign() const;

  std::unique_ptr<OutgoingConnection> connection;
  std::string requestId;
  std::string_view idHeader;
  Cancellation& cancellation;
  Cancellation::Scope scope;
  std::unique_ptr<Parser> parser;
  std::array<char, 8'192> piece{};
};

} // namespace plantainslip::serving
