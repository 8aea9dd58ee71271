#pragma once

#include <chrono>
#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/net/address.hpp>

namespace plantainslip::targets {

/// @brief A call of a plain service.
struct ServiceCall
{
  core::RequestId request;
  std::string method;
  /// @brief Path at the service, with its query.
  std::string path;
  std::string contentType;
  std::string body;
  /// @brief Handed on to the service; empty for calls that may be repeated.
  core::IdempotencyKey key;
  std::chrono::milliseconds timeout{ 0 };
};

/// @brief A plain service's whole answer.
struct ServiceReply
{
  int status = 0;
  std::string body;
};

/// @brief Port to plain services. Calls block and are safe from any thread.
class ServiceClient
{
public:
  virtual ~ServiceClient() = default;

  /// @brief Calls once, over a fresh connection. Never resends.
  /// @return the whole answer, or error 401 (targets.unreachable) or 403 (targets.lost)
  virtual absl::StatusOr<ServiceReply> Call(const net::Address& aService,
                                            const ServiceCall& aCall) = 0;
};

/// @brief Connects the port to plain services by HTTP.
std::unique_ptr<ServiceClient>
MakeHttpServiceClient();

} // namespace plantainslip::targets
