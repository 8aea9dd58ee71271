#pragma once

#include <functional>

#include "target_call.hpp"

namespace plantainslip::serving {

/// @brief A small request to the store, or an order to a target.
struct SimpleRequest
{
  net::Address address;
  std::string method;
  std::string path;
  HeaderList headers;
  std::string body;
  /// @brief Max time until the end of the response.
  std::chrono::milliseconds timeout{ 0 };
  /// @brief Whether it may be sent again on a new connection if a reused one turns out dead.
  bool idempotent = false;
  /// @brief If set, checked immediately before the first byte is sent; false ends the call.
  std::function<bool()> maySend = nullptr;
};

/// @brief Response to a small request.
struct SimpleAnswer
{
  int status = 0;
  std::string body;
  HeaderList headers;
};

/// @brief Sends a small request and reads its response.
/// @return the response, or error 1501 (serving.not_connected: not sent), 1504 (serving.cancelled:
///         not sent, as SimpleRequest::maySend forbade it), 1502, 1503 or 1505 (serving.timed_out):
///         the request may have been carried out
Task<absl::StatusOr<SimpleAnswer>>
SendSimpleRequest(ConnectionPool& aPool, SimpleRequest aRequest);

} // namespace plantainslip::serving
