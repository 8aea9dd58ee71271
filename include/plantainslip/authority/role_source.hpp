#pragma once

#include <map>
#include <vector>

#include <plantainslip/config/configuration.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/platform/instance_list.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::authority {

/// @brief An engine whose role the configuration leaves open.
struct RoleCandidate
{
  core::TargetId target;
  core::DeploymentName deployment;
  /// @brief Its role, or the one that an order under way will give it.
  targets::EngineRole role = targets::EngineRole::kMixed;
  /// @brief Attempts under way.
  std::uint64_t running = 0;
};

/// @brief Decides the roles that the configuration leaves open. Used by the lease's holder alone.
class RoleSource
{
public:
  virtual ~RoleSource() = default;

  /// @brief Learns the demand at the zone's entry instances, if that is due. May block on them.
  virtual void Learn(const std::vector<platform::ListedInstance>& aEntries) = 0;

  /// @brief Gives the role that each candidate should have. No I/O.
  virtual std::map<core::TargetId, targets::EngineRole> Plan(
    const config::PlannerWeights& aWeights,
    const std::vector<RoleCandidate>& aCandidates) const = 0;
};

} // namespace plantainslip::authority
