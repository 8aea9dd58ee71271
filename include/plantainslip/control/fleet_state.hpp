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

/// @brief Kind of the peers' message that asks for a FleetState.
inline constexpr const char* kFleetStateKind = "fleet_state";

/// @brief What one instance tells a peer that asks, so that it can start or catch up without the
///        platform.
struct FleetState
{
  /// @brief Version of the configuration in force; zero if there is none.
  core::ConfigVersion version;
  /// @brief The configuration's record as the store holds it; empty if the asker has it already.
  platform::StoredValue record;
  /// @brief Newest reading of the platform's list, own or a peer's.
  std::vector<platform::ListedInstance> list;
  std::vector<membership::LeavingMark> marks;
};

/// @brief Hands the newest state from the control thread to the threads that answer peers.
class FleetStateBoard
{
public:
  /// @brief Replaces the state. For the control thread only.
  void Publish(std::shared_ptr<const FleetState> aState);
  /// @brief Gives the newest state; never null. Safe from any thread.
  std::shared_ptr<const FleetState> Current() const;

private:
  mutable std::mutex mutex;
  std::shared_ptr<const FleetState> state = std::make_shared<FleetState>();
};

/// @brief Writes the question for a FleetState.
/// @param aKnown  version that the asker has; its record is not sent again
std::string
FormatFleetStateRequest(core::ConfigVersion aKnown);

/// @brief Writes a state as CBOR. Linear; no errors.
std::string
FormatFleetState(const FleetState& aState);

/// @brief Reads a state. Linear.
/// @return the state, or error 905 (peers.bad_message)
absl::StatusOr<FleetState>
ParseFleetState(const std::string& aBytes);

/// @brief Makes the handler that answers peers from the board, which has to outlive it.
peers::CallHandler
MakeFleetStateHandler(const FleetStateBoard& aBoard);

} // namespace plantainslip::control
