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

/// @brief Ports that a controller works through; all have to outlive it.
struct ControllerPorts
{
  platform::Store& store;
  platform::InstanceList& list;
  targets::EngineClient& engines;
  peers::PeerClient& peers;
  const core::Clock& clock;
  TermTimer& timer;
  /// @brief Decides roles that the configuration leaves open; null leaves them as they are.
  RoleSource* roles = nullptr;
};

/// @brief Settings of a controller.
struct ControllerOptions
{
  ZoneLeaseOptions lease;
  /// @brief Time between a term's beginning and the first order to an engine that ignores fencing
  ///        tokens: longest life of unacknowledged bytes on a former holder's connection, and a
  ///        margin.
  std::chrono::milliseconds takeOverWait = std::chrono::milliseconds(2500);
  /// @brief Longest wait for one entry instance's confirmation.
  std::chrono::milliseconds peerTimeout = std::chrono::milliseconds(500);
  /// @brief Most engines of the zone that load from the weight store at once.
  std::size_t loadsAtOnce = 1;
  /// @brief Most entry instances or engines that are asked at once.
  std::size_t threads = 1;
};

/// @brief Controller of one availability zone. Orders engines only while it holds the lease, only
///        after the order is journaled, and only when no work is under way or can begin there.
/// @note One thread, beside those that ask for reports and confirmations.
class Controller
{
public:
  /// @brief Connects a controller; nothing is held or sent yet.
  Controller(ControllerPorts aPorts, const ControllerOptions& aOptions);

  /// @brief Keeps the lease, and if it is held brings every engine at most one step further.
  void Step();

  /// @brief Gives the lease back. Unsettled orders stay in the journal for the successor.
  void Stop();

private:
  struct EngineState
  {
    platform::ListedInstance listed;
    std::optional<targets::EngineReport> report;
  };

  bool BeginStep();
  void CountContenders();
  void RefreshConfiguration();
  void ReadZone(const std::vector<platform::ListedInstance>& aList);
  void ReadReports();
  void PlanRoles();
  void StepAll();
  void StepEngine(const core::TargetId& aTarget);
  OrderSituation SituationOf(const core::TargetId& aTarget) const;
  void Perform(OrderStep aStep, const OrderSituation& aSituation);
  bool MayDrain(const core::TargetId& aTarget) const;
  bool IsServing(const EngineState& aEngine) const;
  bool IsAuthoritative(const core::TargetId& aTarget) const;
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
  core::MonotonicTime termBegunAt;
  std::optional<core::MonotonicTime> contendersCountedAt;
  std::optional<config::Configuration> configuration;
  std::vector<platform::ListedInstance> entries;
  std::map<core::TargetId, EngineState> engines;
  std::map<core::TargetId, targets::EngineRole> plannedRoles;
};

} // namespace plantainslip::authority
