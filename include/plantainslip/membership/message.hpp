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

/// @brief Number that only a member itself raises, to refute what others say of it.
using Incarnation = core::StrongNumber<struct IncarnationTag>;

/// @brief What is known of a member.
enum class MemberState : std::uint8_t
{
  kAlive = 0,
  /// @brief It did not answer; it is dead unless it refutes in time.
  kSuspect = 1,
  kDead = 2,
};

/// @brief One entry instance, as members tell each other.
struct MemberRecord
{
  core::InstanceId instance;
  core::ZoneId zone;
  /// @brief Address for peers: TCP for messages, UDP with the same port for membership.
  net::Address address;
  Incarnation incarnation;
  MemberState state = MemberState::kAlive;

  bool operator==(const MemberRecord&) const = default;
};

enum class MessageKind : std::uint8_t
{
  kPing = 0,
  kAck = 1,
  /// @brief Asks a third member to ping the subject.
  kPingRequest = 2,
  /// @brief Tells something new; not answered.
  kAnnounce = 3,
};

/// @brief One datagram between members.
struct Message
{
  MessageKind kind = MessageKind::kPing;
  /// @brief Number of the probe, chosen by its origin.
  std::uint64_t sequence = 0;
  MemberRecord sender;
  /// @brief Whom a ping is for, or whom a ping request is about.
  core::InstanceId subject;
  net::Address subjectAddress;
  /// @brief Version of the configuration that the sender has in force.
  core::ConfigVersion configuration;
  std::vector<MemberRecord> updates;
  std::vector<LeavingMark> marks;
};

/// @brief Writes a signed datagram (CBOR and HMAC-SHA256). Linear; no errors.
/// @param aKey  the peers' key
std::string
FormatMessage(const Message& aMessage, const std::string& aKey);

/// @brief Checks and reads a datagram. Linear in its length.
/// @return the message, or error 971 (membership.bad_datagram)
absl::StatusOr<Message>
ParseMessage(std::string_view aBytes, const std::string& aKey);

} // namespace plantainslip::membership
