#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include <plantainslip/config/configuration.hpp>
#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/net/address.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::control {

/// @brief What this instance knows of one engine.
struct EngineView
{
  core::TargetId target;
  core::ZoneId zone;
  net::Address address;
  core::DeploymentName deployment;
  /// @brief Newest report; nothing if there is none or it is too old.
  std::optional<targets::EngineReport> report;
  core::MonotonicTime reportedAt;
  /// @brief Whether the engine must get no new work.
  bool leaving = false;
};

/// @brief What this instance knows of one plain service's target.
struct ServiceView
{
  core::TargetId target;
  core::ZoneId zone;
  net::Address address;
  core::ServiceName service;
  bool leaving = false;
};

/// @brief What this instance knows of one entry instance.
struct EntryView
{
  core::InstanceId instance;
  core::ZoneId zone;
  net::Address address;
  /// @brief Where the instance listens for its peers; port 0 if that is not known.
  net::Address peerAddress;
  bool leaving = false;
  /// @brief False once the instance's own zone holds it for dead.
  bool alive = true;
};

/// @brief Everything that traffic threads decide by. Immutable once it is published.
struct FleetView
{
  std::shared_ptr<const config::Configuration> configuration;
  std::vector<EngineView> engines;
  std::vector<ServiceView> services;
  std::vector<EntryView> entries;
};

/// @brief Hands the newest view from the control thread to the traffic threads.
/// @note Constant time; no errors.
class ViewBoard
{
public:
  /// @brief Replaces the view. For the control thread only.
  void Publish(std::shared_ptr<const FleetView> aView)
  {
    const std::scoped_lock lock(this->mutex);
    this->view = std::move(aView);
  }

  /// @brief Gives the newest view; never null. Safe from any thread.
  std::shared_ptr<const FleetView> Current() const
  {
    const std::scoped_lock lock(this->mutex);
    return this->view;
  }

private:
  mutable std::mutex mutex;
  std::shared_ptr<const FleetView> view = std::make_shared<FleetView>();
};

} // namespace plantainslip::control
