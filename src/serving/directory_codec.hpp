#pragma once

#include <absl/status/statusor.h>

#include <plantainslip/serving/fleet.hpp>
#include <plantainslip/serving/stage_plan.hpp>

#include "simple_call.hpp"

namespace plantainslip::serving {

/// @brief Sender of orders: the holder of the fleet's lease, and its fencing token.
struct OrderAuthority
{
  core::InstanceId holder;
  core::FencingToken token;
};

/// @brief Formats of the platform's store entries and of orders.
/// @note Implementations are stateless and thread-safe.
class DirectoryCodec
{
public:
  virtual ~DirectoryCodec() = default;

  /// @brief Returns the key of the operator's configuration.
  virtual std::string ConfigKey() const = 0;

  /// @brief Returns the common prefix of the keys of all targets.
  virtual std::string TargetPrefix() const = 0;

  /// @brief Parses a configuration.
  /// @return the configuration, or error 1603 (wire.bad_body)
  virtual absl::StatusOr<ServingConfig> ReadConfig(const std::string& aValue) const = 0;

  /// @brief Parses a target's entry.
  /// @param aKey  the entry's key, which holds the target's id
  /// @return the target, or error 1603 (wire.bad_body)
  virtual absl::StatusOr<Target> ReadTarget(const std::string& aKey,
                                            const std::string& aValue) const = 0;

  /// @brief Builds the request for the number of orders that a target has accepted.
  virtual SimpleRequest OrderCountRequest(const Target& aTarget) const = 0;

  /// @brief Parses the response body of OrderCountRequest().
  virtual absl::StatusOr<std::uint64_t> ReadOrderCount(const std::string& aBody) const = 0;

  /// @brief Builds an order to change an engine's stage.
  /// @param aOrderCount  number of orders that the target must have accepted before this one
  virtual SimpleRequest StageOrder(const StageChange& aChange,
                                   const OrderAuthority& aAuthority,
                                   std::uint64_t aOrderCount) const = 0;
};

} // namespace plantainslip::serving
