#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <plantainslip/authority/role_source.hpp>
#include <plantainslip/core/clock.hpp>
#include <plantainslip/peers/peer_client.hpp>
#include <plantainslip/roles/demand_counter.hpp>
#include <plantainslip/roles/role_planner.hpp>

namespace plantainslip::roles {

/// @brief Settings of the planner as it runs.
struct DemandRolesOptions
{
  PlannerOptions planner;
  /// @brief Time between two readings of the demand.
  std::chrono::milliseconds interval = std::chrono::seconds(2);
  /// @brief Longest wait for one entry instance.
  std::chrono::milliseconds timeout = std::chrono::milliseconds(500);
  /// @brief Most entry instances that are asked at once.
  std::size_t threads = 1;
};

/// @brief Plans roles from the demand that a zone's entry instances have seen.
/// @note One thread. State is constant for each deployment and entry instance.
class DemandRoles final : public authority::RoleSource
{
public:
  /// @param aPeers  has to outlive the planner
  /// @param aClock  has to outlive the planner
  DemandRoles(peers::PeerClient& aPeers, const core::Clock& aClock, DemandRolesOptions aOptions);

  void Learn(const std::vector<platform::ListedInstance>& aEntries) override;

  std::map<core::TargetId, targets::EngineRole> Plan(
    const config::PlannerWeights& aWeights,
    const std::vector<authority::RoleCandidate>& aCandidates) const override;

private:
  // Growth of all entry instances' counts since the last reading.
  using Growth = std::map<core::DeploymentName, DemandCounts>;

  void AddGrowth(const std::string& aEntry, const DemandDigest& aDigest, Growth& aGrowth);
  void Observe(const core::DeploymentName& aDeployment,
               const DemandCounts& aGrowth,
               core::MonotonicTime aNow,
               double aSeconds);

  peers::PeerClient& peers;
  const core::Clock& clock;
  DemandRolesOptions options;
  std::optional<core::MonotonicTime> lastAt;
  std::map<std::string, DemandDigest> seen;
  std::map<core::DeploymentName, DemandEstimate> demand;
  std::map<core::DeploymentName, double> answerLength;
};

} // namespace plantainslip::roles
