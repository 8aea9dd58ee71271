#pragma once

#include <chrono>
#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/net/address.hpp>

namespace plantainslip::targets {

/// @brief A call to a plain service.
struct ServiceCall
{
  core::RequestId request;
  std::string method;
  /// @brief Path and query.
  std::string path;
  std::string contentType;
  std::string body;
  /// @brief Forwarded to the service; empty for calls that may be repeated.
  core::IdempotencyKey key;
  std::chrono::milliseconds timeout{ 0 };
};

/// @brief Complete response of a plain service.
struct ServiceReply
{
  int status = 0;
  std::string body;
};

/// @brief Client for plain services. Calls block and are thread-safe.
class ServiceClient
{
public:
  virtual ~ServiceClient() = default;

  /// @brief Sends the call once over a new connection, without retries.
  /// @return the complete response, or error 401 (targets.unreachable) or 403 (targets.lost)
  virtual absl::StatusOr<ServiceReply> Call(const net::Address& aService,
                                            const ServiceCall& aCall) = 0;
};

/// @brief Creates a client that calls plain services over HTTP.
std::unique_ptr<ServiceClient>
MakeHttpServiceClient();

} // namespace plantainslip::targets
