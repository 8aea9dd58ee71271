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
  /// @brief Address on which this instance listens for peers; membership uses the UDP port with the
  ///        same number.
  net::Address peerAddress;
  /// @brief Key shared by the peers; if empty, the instance contacts no peers and watches the store
  ///        itself.
  std::string peerKey;
  /// @brief Peers to query at startup, in case the platform is unreachable.
  std::vector<net::Address> seeds;
  /// @brief Time between two reads of the platform's instance list.
  std::chrono::milliseconds listPollInterval = std::chrono::seconds(1);
  /// @brief Time between two messages with load records to a peer.
  std::chrono::milliseconds loadRecordInterval = std::chrono::milliseconds(500);
  /// @brief Time between two reads of one engine's cache events.
  std::chrono::milliseconds cacheEventInterval = std::chrono::milliseconds(500);
  /// @brief Timeout of one watch call for the configuration.
  std::chrono::milliseconds watchTimeout = std::chrono::seconds(5);
  /// @brief Delay before the next call to the store after a failed one.
  std::chrono::milliseconds storeBackoff = std::chrono::milliseconds(500);
  /// @brief Timeout of a call that requests a peer's FleetState.
  std::chrono::milliseconds peerTimeout = std::chrono::seconds(1);
};

/// @brief Interfaces that the control loop uses; all must outlive it.
struct ControlPorts
{
  platform::Store& store;
  platform::InstanceList& list;
  targets::EngineClient& engines;
  const core::Clock& clock;
  /// @brief Receives the state that is sent to peers on request.
  FleetStateBoard& state;
  /// @brief Receives engine reports and cache events on the control thread; may be null.
  EngineObserver* observer = nullptr;
  /// @brief Client for calls to other instances; null if there are no peers.
  peers::PeerClient* peers = nullptr;
};

/// @brief Kind of the peer message that carries load records.
inline constexpr const char* kLoadRecordsKind = "load_records";

/// @brief Owns an instance's control state, updates it on one thread and publishes views of it.
class ControlLoop
{
public:
  virtual ~ControlLoop() = default;

  /// @brief Starts the control thread and the thread pool for its blocking calls.
  /// @param aOptions  settings
  /// @param aPorts  interfaces to the platform, the targets and the peers
  /// @param aBoard  receives every new view; must outlive the loop
  /// @return the running loop, or error 972 (membership.cannot_listen)
  static absl::StatusOr<std::unique_ptr<ControlLoop>> Start(ControlLoopOptions aOptions,
                                                            ControlPorts aPorts,
                                                            ViewBoard& aBoard);

  /// @brief Handles a peer's #kLoadRecordsKind message. Thread-safe.
  /// @param aBody  records in the format of FormatLoadRecords()
  /// @return an empty response, or error 1101 (control.bad_message)
  virtual absl::StatusOr<std::string> HandleLoadRecords(const std::string& aBody) = 0;

  /// @brief Announces to peers that this instance leaves, then stops the threads. Blocks until
  ///        calls in flight have ended.
  virtual void Stop() = 0;
};

} // namespace plantainslip::control
