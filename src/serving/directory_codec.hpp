#pragma once

#include <absl/status/statusor.h>

#include <plantainslip/serving/fleet.hpp>
#include <plantainslip/serving/stage_plan.hpp>

#include "simple_call.hpp"

namespace plantainslip::serving {

/// @brief Who orders: the holder of the fleet's lease and its fencing token.
struct OrderAuthority
{
  core::InstanceId holder;
  core::FencingToken token;
};

/// @brief Formats of what the platform's store holds and of orders. No decisions.
/// @note Implementations keep no state and are safe from any thread.
class DirectoryCodec
{
public:
  virtual ~DirectoryCodec() = default;

  /// @brief Key of the operator's configuration.
  virtual std::string ConfigKey() const = 0;

  /// @brief Beginning of the keys of all targets.
  virtual std::string TargetPrefix() const = 0;

  /// @brief Reads a configuration.
  /// @return the configuration, or error 1603 (wire.bad_body)
  virtual absl::StatusOr<ServingConfig> ReadConfig(const std::string& aValue) const = 0;

  /// @brief Reads a target's entry.
  /// @param aKey  the entry's key, which holds the target's id
  /// @return the target, or error 1603 (wire.bad_body)
  virtual absl::StatusOr<Target> ReadTarget(const std::string& aKey,
                                            const std::string& aValue) const = 0;

  /// @brief Makes the call that asks a target how many orders it has accepted.
  virtual SimpleRequest OrderCountRequest(const Target& aTarget) const = 0;

  /// @brief Reads the answer to OrderCountRequest().
  virtual absl::StatusOr<std::uint64_t> ReadOrderCount(const std::string& aBody) const = 0;

  /// @brief Makes an order to change an engine's stage.
  /// @param aOrderCount  number of orders that the target must have accepted when it carries out
  ///                     this one
  virtual SimpleRequest StageOrder(const StageChange& aChange,
                                   const OrderAuthority& aAuthority,
                                   std::uint64_t aOrderCount) const = 0;
};

} // namespace plantainslip::serving
