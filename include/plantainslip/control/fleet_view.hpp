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

/// @brief State of one engine as known to this instance.
struct EngineView
{
  core::TargetId target;
  core::ZoneId zone;
  net::Address address;
  core::DeploymentName deployment;
  /// @brief Newest report; empty if the engine is in another zone, is unreachable or has not been
  ///        polled by this instance yet.
  std::optional<targets::EngineReport> report;
  core::MonotonicTime reportedAt;
  /// @brief Whether the engine is leaving and must get no new work.
  bool leaving = false;
};

/// @brief State of one target of a plain service as known to this instance.
struct ServiceView
{
  core::TargetId target;
  core::ZoneId zone;
  net::Address address;
  core::ServiceName service;
  bool leaving = false;
};

/// @brief State of one entry instance as known to this instance.
struct EntryView
{
  core::InstanceId instance;
  core::ZoneId zone;
  net::Address address;
  /// @brief Address on which the instance listens for peers; port 0 if unknown.
  net::Address peerAddress;
  bool leaving = false;
  /// @brief False once members of the instance's own zone have declared it dead.
  bool alive = true;
};

/// @brief Fleet state on which traffic threads base their decisions. Immutable once published.
struct FleetView
{
  std::shared_ptr<const config::Configuration> configuration;
  std::vector<EngineView> engines;
  std::vector<ServiceView> services;
  std::vector<EntryView> entries;
};

/// @brief Passes the newest view from the control thread to the traffic threads.
/// @note Constant time; no errors.
class ViewBoard
{
public:
  /// @brief Replaces the view. Called by the control thread only.
  void Publish(std::shared_ptr<const FleetView> aView)
  {
    const std::scoped_lock lock(this->mutex);
    this->view = std::move(aView);
  }

  /// @brief Returns the newest view; never null. Thread-safe.
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
