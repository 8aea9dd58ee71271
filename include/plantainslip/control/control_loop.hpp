#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/control/engine_observer.hpp>
#include <plantainslip/control/fleet_state.hpp>
#include <plantainslip/control/fleet_view.hpp>
#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/peers/peer_client.hpp>
#include <plantainslip/platform/instance_list.hpp>
#include <plantainslip/platform/store.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::control {

/// @brief Settings of the control loop.
struct ControlLoopOptions
{
  core::InstanceId self;
  core::ZoneId zone;
  /// @brief Where this instance listens for its peers; membership takes the UDP port of the same
  ///        number.
  net::Address peerAddress;
  /// @brief The peers' key; without it the instance keeps to itself and watches the store.
  std::string peerKey;
  /// @brief Peers to ask at the start, for when the platform cannot be reached.
  std::vector<net::Address> seeds;
  /// @brief Time between two readings of the platform's list.
  std::chrono::milliseconds listInterval = std::chrono::seconds(1);
  /// @brief Time between two messages that hand engines' reports on to a peer.
  std::chrono::milliseconds tellInterval = std::chrono::milliseconds(500);
  /// @brief Time between two readings of one engine's cache events.
  std::chrono::milliseconds eventInterval = std::chrono::milliseconds(500);
  /// @brief Longest wait of one watch of the configuration.
  std::chrono::milliseconds watchTimeout = std::chrono::seconds(5);
  /// @brief Time before the next call after the store failed.
  std::chrono::milliseconds storeBackOff = std::chrono::milliseconds(500);
  /// @brief Longest wait for a peer's answer.
  std::chrono::milliseconds peerTimeout = std::chrono::seconds(1);
};

/// @brief Ports that the control loop works through; all have to outlive it.
struct ControlPorts
{
  platform::Store& store;
  platform::InstanceList& list;
  targets::EngineClient& engines;
  const core::Clock& clock;
  /// @brief Gets what peers may ask for.
  FleetStateBoard& state;
  /// @brief Learns from the zone's engines on the control thread; may be null.
  EngineObserver* observer = nullptr;
  /// @brief Way to the zone's other instances; null if there is none.
  peers::PeerClient* peers = nullptr;
};

/// @brief Kind of the peers' message that hands engines' reports on.
inline constexpr const char* kLoadRecordsKind = "load_records";

/// @brief The one thread that owns an instance's control state and publishes views of it.
class ControlLoop
{
public:
  virtual ~ControlLoop() = default;

  /// @brief Starts the control thread and the threads that make its blocking calls.
  /// @param aOptions  settings
  /// @param aPorts  ports to the platform and the targets
  /// @param aBoard  gets every new view; has to outlive the loop
  /// @return the running loop, or error 972 (membership.cannot_listen)
  static absl::StatusOr<std::unique_ptr<ControlLoop>> Start(ControlLoopOptions aOptions,
                                                            ControlPorts aPorts,
                                                            ViewBoard& aBoard);

  /// @brief Answers a peer's #kLoadRecordsKind message. Safe from any thread.
  /// @param aBody  records, as FormatLoadRecords() writes them
  /// @return an empty answer, or error 1101 (control.bad_message)
  virtual absl::StatusOr<std::string> HandleLoadRecords(const std::string& aBody) = 0;

  /// @brief Stops the threads; waits for calls that are under way.
  virtual void Stop() = 0;
};

} // namespace plantainslip::control
