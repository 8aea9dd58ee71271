#pragma once

#include <optional>
#include <string>

#include <plantainslip/authority/order_journal.hpp>
#include <plantainslip/authority/zone_lease.hpp>
#include <plantainslip/config/configuration.hpp>
#include <plantainslip/platform/instance_list.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::authority {

/// @brief Decides what one engine needs next to be as the configuration wants it. No I/O.
/// @param aConfiguration  configuration in force
/// @param aTarget  the engine
/// @param aReport  what the engine says of itself
/// @return the order without identifier and token, or nothing if the engine is as wanted;
///         logarithmic in the number of targets, no errors
std::optional<targets::EngineOrder>
NextOrder(const config::Configuration& aConfiguration,
          const core::TargetId& aTarget,
          const targets::EngineReport& aReport);

/// @brief Ports that a controller works through; all have to outlive it.
struct ControllerPorts
{
  platform::Store& store;
  platform::InstanceList& list;
  targets::EngineClient& engines;
  const core::Clock& clock;
};

/// @brief Controller of one availability zone. Orders engines only while it holds the lease, and
///        only after the order is journaled.
/// @note One thread.
class Controller
{
public:
  /// @brief Connects a controller; nothing is held or sent yet.
  Controller(ControllerPorts aPorts, const ZoneLeaseOptions& aOptions);

  /// @brief Keeps the lease, and if it is held brings every engine one step further.
  void Step();

  /// @brief Gives the lease back. Open orders stay in the journal for the successor.
  void Stop();

private:
  void RefreshConfiguration();
  void StepEngine(const platform::ListedInstance& aEngine);
  void Settle(JournalEntry aEntry,
              const platform::ListedInstance& aEngine,
              const targets::EngineReport& aReport);
  void Send(const JournalEntry& aEntry, const platform::ListedInstance& aEngine);

  ControllerPorts ports;
  core::ZoneId zone;
  ZoneLease lease;
  OrderJournal journal;
  std::optional<config::Configuration> configuration;
};

} // namespace plantainslip::authority
