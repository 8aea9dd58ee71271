#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/serving/load_book.hpp>

namespace plantainslip::serving {

/// @brief What an instance tells its peers, several times a second, in one datagram.
struct PeerMessage
{
  core::InstanceId sender;
  /// @brief Grows with each message of a sender's process, so that old ones are told apart.
  std::uint64_t sequence = 0;
  core::ZoneId zone;
  /// @brief Bandwidth of the sender's link in megabits a second.
  double linkMbps = 0.0;
  core::Revision configRevision;
  core::Revision targetsRevision;
  /// @brief Age of the store's last confirmation that these revisions are the newest.
  milliseconds confirmedAge{ 0 };
  /// @brief What the sender has sent to targets and is not yet answered.
  LoadTable loads;
  /// @brief Targets that the sender cannot reach at present.
  std::vector<core::TargetId> unreachable;
};

/// @brief Writes a message as CBOR. Linear in the number of targets.
std::string
EncodePeerMessage(const PeerMessage& aMessage);

/// @brief Reads a message.
/// @return the message, or error 1503 (serving.bad_answer)
absl::StatusOr<PeerMessage>
DecodePeerMessage(std::string_view aBytes);

} // namespace plantainslip::serving
