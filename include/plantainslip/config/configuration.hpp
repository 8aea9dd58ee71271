#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/core/ids.hpp>

namespace plantainslip::config {

/// @brief A model deployment that callers name in the field `model`.
struct Deployment
{
  /// @brief Model and version that the deployment's engines have to have loaded.
  std::string model;
  std::string version;
  /// @brief Adapters that callers may ask for.
  std::vector<std::string> adapters;
};

/// @brief A plain service.
struct ServiceRule
{
  /// @brief Whether a call may be repeated. If not, it needs an `Idempotency-Key`.
  bool repeatable = false;
};

/// @brief What operators say of one engine.
struct TargetRule
{
  core::DeploymentName deployment;
  /// @brief `auto` leaves the role to the planner; otherwise `mixed`, `prefill` or `decode`.
  std::string role = "mixed";
  /// @brief Whether the engine refuses orders with an old fencing token.
  bool checksFencing = false;
};

/// @brief Limits of one workspace over all instances.
struct WorkspaceLimit
{
  double requestsPerSecond = 0.0;
  double tokensPerSecond = 0.0;
};

/// @brief What the role planner weighs against each other.
struct PlannerWeights
{
  double goodput = 1.0;
  double roleChanges = 1.0;
};

/// @brief The operators' configuration in one version. Immutable once it is published.
struct Configuration
{
  core::ConfigVersion version;
  std::map<core::DeploymentName, Deployment> deployments;
  std::map<core::ServiceName, ServiceRule> services;
  std::map<core::TargetId, TargetRule> targets;
  /// @brief Limit of workspaces that have none of their own; zero rates are no limit.
  WorkspaceLimit defaultLimit;
  std::map<core::WorkspaceId, WorkspaceLimit> limits;
  PlannerWeights weights;
};

/// @brief Reads and checks a configuration document.
/// @param aVersion  version that the document has
/// @param aDocument  JSON text, as docs/CONFIGURATION.md describes it
/// @return the configuration, or error 501 (config.invalid) that names the field; linear in the
///         document's length
absl::StatusOr<Configuration>
ParseConfiguration(core::ConfigVersion aVersion, const std::string& aDocument);

} // namespace plantainslip::config
