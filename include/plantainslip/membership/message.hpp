#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/membership/leaving_marks.hpp>
#include <plantainslip/net/address.hpp>

namespace plantainslip::membership {

/// @brief SWIM incarnation number: raised only by the member itself, to refute a suspicion.
using Incarnation = core::StrongNumber<struct IncarnationTag>;

/// @brief State of a member; of two records with the same incarnation the higher value wins.
enum class MemberState : std::uint8_t
{
  kAlive = 0,
  /// @brief Did not answer a probe; declared dead unless it refutes in time.
  kSuspect = 1,
  kDead = 2,
};

/// @brief State of one entry instance as gossiped between members.
struct MemberRecord
{
  core::InstanceId instance;
  core::ZoneId zone;
  /// @brief Address for peers: TCP for calls, UDP with the same port number for membership.
  net::Address address;
  Incarnation incarnation;
  MemberState state = MemberState::kAlive;

  bool operator==(const MemberRecord&) const = default;
};

enum class MessageKind : std::uint8_t
{
  kPing = 0,
  kAck = 1,
  /// @brief Asks the receiver to ping the subject on behalf of the sender.
  kPingRequest = 2,
  /// @brief Carries gossip only; gets no response.
  kAnnounce = 3,
};

/// @brief Content of one datagram between members.
struct Message
{
  MessageKind kind = MessageKind::kPing;
  /// @brief Sequence number of the probe, assigned by the member that sends the ping or the ping
  ///        request; repeated in the ack.
  std::uint64_t sequence = 0;
  MemberRecord sender;
  /// @brief Instance to which a ping is addressed, or which a ping request asks to ping.
  core::InstanceId subject;
  /// @brief Address of the subject; set in ping requests only.
  net::Address subjectAddress;
  /// @brief Version of the configuration that the sender has in force.
  core::ConfigVersion configuration;
  /// @brief Gossiped member records.
  std::vector<MemberRecord> updates;
  /// @brief Gossiped leaving marks.
  std::vector<LeavingMark> marks;
};

/// @brief Serializes a message as CBOR with a truncated HMAC-SHA256 signature. Linear; no errors.
/// @param aKey  key shared by the peers
std::string
FormatMessage(const Message& aMessage, const std::string& aKey);

/// @brief Verifies the signature of a datagram and parses it. Linear in its length.
/// @param aKey  key shared by the peers
/// @return the message, or error 971 (membership.bad_datagram)
absl::StatusOr<Message>
ParseMessage(std::string_view aBytes, const std::string& aKey);

} // namespace plantainslip::membership
