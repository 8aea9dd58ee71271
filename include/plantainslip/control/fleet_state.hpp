#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/membership/leaving_marks.hpp>
#include <plantainslip/peers/peer_server.hpp>
#include <plantainslip/platform/instance_list.hpp>
#include <plantainslip/platform/store.hpp>

namespace plantainslip::control {

/// @brief Kind of the peer message that requests a FleetState.
inline constexpr const char* kFleetStateKind = "fleet_state";

/// @brief State that an instance sends to a peer on request, so that the peer can start or catch up
///        while the platform is unreachable.
struct FleetState
{
  /// @brief Version of the configuration in force; zero if there is none.
  core::ConfigVersion version;
  /// @brief Configuration record as stored; its value is empty if the requester already has it.
  platform::StoredValue record;
  /// @brief Newest known instance list, read from the platform or copied from a peer.
  std::vector<platform::ListedInstance> list;
  std::vector<membership::LeavingMark> marks;
};

/// @brief Passes the newest state from the control thread to the threads that serve peers.
class FleetStateBoard
{
public:
  /// @brief Replaces the state. Called by the control thread only.
  void Publish(std::shared_ptr<const FleetState> aState);
  /// @brief Returns the newest state; never null. Thread-safe.
  std::shared_ptr<const FleetState> Current() const;

private:
  mutable std::mutex mutex;
  std::shared_ptr<const FleetState> state = std::make_shared<FleetState>();
};

/// @brief Serializes a request for a FleetState.
/// @param aKnown  version that the requester already has; the response leaves out the record unless
///                it is newer
std::string
FormatFleetStateRequest(core::ConfigVersion aKnown);

/// @brief Serializes a state as CBOR. Linear; no errors.
std::string
FormatFleetState(const FleetState& aState);

/// @brief Parses a serialized state. Linear.
/// @return the state, or error 905 (peers.bad_message)
absl::StatusOr<FleetState>
ParseFleetState(const std::string& aBytes);

/// @brief Returns the handler of #kFleetStateKind calls.
/// @param aBoard  source of the state; must outlive the handler
peers::CallHandler
MakeFleetStateHandler(const FleetStateBoard& aBoard);

} // namespace plantainslip::control
