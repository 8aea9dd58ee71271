#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/serving/load_tracker.hpp>
#include <plantainslip/serving/request_quarantine.hpp>
#include <plantainslip/serving/stage_demand.hpp>
#include <plantainslip/serving/target_limits.hpp>

namespace plantainslip::serving {

/// @brief Process of an instance, drawn at random at its start.
using ProcessId = core::StrongNumber<struct ProcessIdTag>;

/// @brief State and load report that an instance sends to its peers several times per second, in
///        one datagram.
struct PeerMessage
{
  core::InstanceId sender;
  /// @brief The sender's process; another one is a restart, which knows nothing of before.
  ProcessId process;
  /// @brief Incremented with each message of the sender's process, so that stale messages are
  ///        detected.
  std::uint64_t sequence = 0;
  core::ZoneId zone;
  /// @brief Bandwidth of the sender's link in megabits per second.
  double linkMbps = 0.0;
  /// @brief What the sender knows of the configuration and of the targets.
  ReplicaState configState;
  ReplicaState targetsState;
  /// @brief Time since the store last confirmed that this is the newest state.
  milliseconds confirmedAge{ 0 };
  /// @brief Outstanding work that the sender has sent to targets.
  LoadTable loads;
  /// @brief Targets that the sender currently cannot reach.
  std::vector<core::TargetId> unreachable;
  /// @brief Processes that state that they are leaving while the sender's directory lists them as
  ///        usable.
  std::vector<TargetProcess> leaving;
  /// @brief Rate limits that targets have recently stated to the sender.
  std::vector<RateStatement> limits;
  /// @brief Demand that the sender has seen since its start.
  DemandTable demand;
  /// @brief Recent evidence about requests that end targets.
  CrashReport crashes;
  /// @brief Token with which the sender holds the fleet's lease; zero if it does not.
  core::FencingToken heldToken;
};

/// @brief Encodes a message as CBOR. Linear in the number of targets.
std::string
EncodePeerMessage(const PeerMessage& aMessage);

/// @brief Decodes a message. Linear in its size.
/// @return the message, or error 1503 (serving.bad_answer)
absl::StatusOr<PeerMessage>
DecodePeerMessage(std::string_view aBytes);

} // namespace plantainslip::serving
