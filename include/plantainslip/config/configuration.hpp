#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/core/ids.hpp>

namespace plantainslip::config {

/// @brief A model deployment. Callers select it by its name in the field `model`.
struct Deployment
{
  /// @brief Model that the deployment's engines load.
  std::string model;
  /// @brief Version of the model.
  std::string version;
  /// @brief Adapters that callers may request.
  std::vector<std::string> adapters;
};

/// @brief Settings of one plain service, that is, one without a model.
struct ServiceRule
{
  /// @brief Whether a call may be sent more than once. If not, callers have to send an
  ///        `Idempotency-Key`.
  bool repeatable = false;
};

/// @brief Settings of one engine.
struct TargetRule
{
  /// @brief Deployment that the engine serves.
  core::DeploymentName deployment;
  /// @brief `mixed`, `prefill` or `decode`; with `auto` the planner chooses the role.
  std::string role = "mixed";
  /// @brief Whether the engine refuses orders with an old fencing token.
  bool checksFencing = false;
};

/// @brief Rate limits of one workspace, summed over all instances. Zero means no limit.
struct WorkspaceLimit
{
  double requestsPerSecond = 0.0;
  double tokensPerSecond = 0.0;
};

/// @brief Weights of the role planner's goals: more goodput against fewer role changes.
struct PlannerWeights
{
  double goodput = 1.0;
  double roleChanges = 1.0;
};

/// @brief One version of the operators' configuration. Immutable once published.
struct Configuration
{
  core::ConfigVersion version;
  std::map<core::DeploymentName, Deployment> deployments;
  std::map<core::ServiceName, ServiceRule> services;
  std::map<core::TargetId, TargetRule> targets;
  /// @brief Limit of workspaces without an entry in `limits`.
  WorkspaceLimit defaultLimit;
  std::map<core::WorkspaceId, WorkspaceLimit> limits;
  PlannerWeights weights;
};

/// @brief Parses and validates a configuration document.
/// @param aVersion  version of the document
/// @param aDocument  JSON text; docs/CONFIGURATION.md describes the format
/// @return the configuration, or error 501 (config.invalid) that names the field; linear in the
///         document's length
absl::StatusOr<Configuration>
ParseConfiguration(core::ConfigVersion aVersion, const std::string& aDocument);

} // namespace plantainslip::config
