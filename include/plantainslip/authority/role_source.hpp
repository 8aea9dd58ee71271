#pragma once

#include <map>
#include <vector>

#include <plantainslip/config/configuration.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/platform/instance_list.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::authority {

/// @brief An engine that is configured with role `auto`.
struct RoleCandidate
{
  core::TargetId target;
  core::DeploymentName deployment;
  /// @brief Its current role, or the one that a pending order will set.
  targets::EngineRole role = targets::EngineRole::kMixed;
  /// @brief Number of attempts that the engine runs.
  std::uint64_t running = 0;
};

/// @brief Plans the roles of engines that are configured with role `auto`. Used by the lease holder
///        only.
class RoleSource
{
public:
  virtual ~RoleSource() = default;

  /// @brief Reads the current demand from the zone's entry instances, if a reading is due. May
  ///        block on calls to them.
  virtual void RefreshDemand(const std::vector<platform::ListedInstance>& aEntryInstances) = 0;

  /// @brief Returns the role that each candidate should have. No I/O.
  virtual std::map<core::TargetId, targets::EngineRole> Plan(
    const config::PlannerWeights& aWeights,
    const std::vector<RoleCandidate>& aCandidates) const = 0;
};

} // namespace plantainslip::authority
