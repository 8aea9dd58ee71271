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

/// @brief Settings of the demand-based role planning.
struct DemandRolesOptions
{
  PlannerOptions planner;
  /// @brief Minimum time between two readings of the demand.
  std::chrono::milliseconds interval = std::chrono::seconds(2);
  /// @brief Timeout of the call to one entry instance.
  std::chrono::milliseconds timeout = std::chrono::milliseconds(500);
  /// @brief Maximum number of concurrent calls to entry instances.
  std::size_t threads = 1;
};

/// @brief Plans engine roles from the demand that the entry instances of an availability zone
///        counted.
/// @note Not thread-safe. Memory is proportional to the number of entry instances times
///       deployments.
class DemandRoles final : public authority::RoleSource
{
public:
  /// @param aPeers  must outlive this object
  /// @param aClock  must outlive this object
  /// @param aOptions  settings
  DemandRoles(peers::PeerClient& aPeers, const core::Clock& aClock, DemandRolesOptions aOptions);

  void RefreshDemand(const std::vector<platform::ListedInstance>& aEntries) override;

  std::map<core::TargetId, targets::EngineRole> Plan(
    const config::PlannerWeights& aWeights,
    const std::vector<authority::RoleCandidate>& aCandidates) const override;

private:
  // Increase of the counts of all entry instances since the last reading.
  using Growth = std::map<core::DeploymentName, DemandCounts>;

  void AddGrowth(const std::string& aEntry, const DemandDigest& aDigest, Growth& aGrowth);
  void Observe(const core::DeploymentName& aDeployment,
               const DemandCounts& aGrowth,
               core::MonotonicTime aNow,
               double aSeconds);

  peers::PeerClient& peers;
  const core::Clock& clock;
  DemandRolesOptions options;
  std::optional<core::MonotonicTime> lastObservedAt;
  std::map<std::string, DemandDigest> lastDigests;
  std::map<core::DeploymentName, DemandEstimate> demand;
  std::map<core::DeploymentName, double> meanAnswerTokens;
};

} // namespace plantainslip::roles
