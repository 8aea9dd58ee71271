#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <plantainslip/authority/drain_coordinator.hpp>
#include <plantainslip/authority/order_journal.hpp>
#include <plantainslip/authority/order_sequencer.hpp>
#include <plantainslip/authority/role_source.hpp>
#include <plantainslip/authority/zone_lease.hpp>
#include <plantainslip/config/configuration.hpp>
#include <plantainslip/peers/peer_client.hpp>
#include <plantainslip/platform/instance_list.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::authority {

/// @brief Dependencies of a controller; all have to outlive it.
struct ControllerPorts
{
  platform::Store& store;
  platform::InstanceList& list;
  targets::EngineClient& engines;
  peers::PeerClient& peers;
  const core::Clock& clock;
  TermTimer& timer;
  /// @brief Plans the roles of engines that are configured with role `auto`; if null, those engines
  ///        keep their roles.
  RoleSource* roles = nullptr;
};

/// @brief Settings of a controller.
struct ControllerOptions
{
  ZoneLeaseOptions lease;
  /// @brief Delay between the start of a lease term and the first order to an engine that does not
  ///        check fencing tokens. Has to exceed the time for which unacknowledged bytes can still
  ///        arrive on a former lease holder's connection, plus a margin.
  std::chrono::milliseconds takeoverDelay = std::chrono::milliseconds(2500);
  /// @brief Timeout of one drain request to an entry instance.
  std::chrono::milliseconds peerTimeout = std::chrono::milliseconds(500);
  /// @brief Max number of the zone's engines that load from the weight store at the same time.
  std::size_t maxConcurrentLoads = 1;
  /// @brief Max number of concurrent calls to entry instances or engines.
  std::size_t threads = 1;
};

/// @brief Controller of one availability zone. Sends an order to an engine only while it holds the
///        zone's lease, after the order has been journaled, and when the engine has no requests
///        in flight and cannot get new ones.
/// @note Not thread-safe. Calls to engines and entry instances run on up to
///       ControllerOptions::threads threads.
class Controller
{
public:
  /// @brief Creates a controller. Neither acquires the lease nor sends anything.
  Controller(ControllerPorts aPorts, const ControllerOptions& aOptions);

  /// @brief Acquires or renews the lease. While it is held, performs at most one step of each
  ///        engine's order.
  void Step();

  /// @brief Releases the lease. Unsettled orders stay in the journal for the next lease holder.
  void Stop();

private:
  struct EngineState
  {
    platform::ListedInstance listed;
    std::optional<targets::EngineReport> report;
  };

  bool RenewLeaseAndLoadJournal();
  void UpdateContenderCount();
  void RefreshConfiguration();
  void SelectZoneInstances(const std::vector<platform::ListedInstance>& aList);
  void ReadReports();
  void PlanRoles();
  void AdvanceEngines();
  void AdvanceEngine(const core::TargetId& aTarget);
  OrderSituation CollectSituation(const core::TargetId& aTarget) const;
  void ExecuteStep(OrderStep aStep, const OrderSituation& aSituation);
  bool MayDrain(const core::TargetId& aTarget) const;
  bool IsServing(const EngineState& aEngine) const;
  bool IsFormerHolderExcluded(const core::TargetId& aTarget) const;
  bool MayLoad() const;
  void StartOrder(const OrderSituation& aSituation);
  void Settle(JournalEntry aEntry);
  void OpenAndSend(JournalEntry aEntry);
  void Send(const JournalEntry& aEntry);

  ControllerPorts ports;
  ControllerOptions options;
  ZoneLease lease;
  OrderJournal journal;
  DrainCoordinator drains;
  std::optional<core::FencingToken> term;
  core::MonotonicTime termStartedAt;
  std::optional<core::MonotonicTime> contenderCountUpdatedAt;
  std::optional<config::Configuration> configuration;
  std::vector<platform::ListedInstance> entryInstances;
  std::map<core::TargetId, EngineState> engines;
  std::map<core::TargetId, targets::EngineRole> plannedRoles;
};

} // namespace plantainslip::authority
