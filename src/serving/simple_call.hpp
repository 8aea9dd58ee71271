#pragma once

#include "target_call.hpp"

namespace plantainslip::serving {

/// @brief A small whole request to the store, or an order to a target.
struct SimpleRequest
{
  net::Address address;
  std::string method;
  std::string path;
  HeaderList headers;
  std::string body;
  /// @brief Longest time to the end of the answer.
  std::chrono::milliseconds timeout{ 0 };
  /// @brief Whether it may be sent again on a new connection if a kept one turns out dead.
  bool idempotent = false;
};

/// @brief Answer to a small request.
struct SimpleAnswer
{
  int status = 0;
  std::string body;
};

/// @brief Sends a small request and reads its answer.
/// @return the answer, or error 1501 (serving.not_connected: not sent), 1502, 1503 or 1505
///         (serving.timed_out): the request may have been carried out
Task<absl::StatusOr<SimpleAnswer>>
CallOnce(ConnectionPool& aPool, SimpleRequest aRequest);

} // namespace plantainslip::serving
