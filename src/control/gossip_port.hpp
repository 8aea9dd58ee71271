#pragma once

#include <array>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/membership/membership.hpp>

namespace plantainslip::control {

/// @brief UDP transport for the membership state machine; runs on the control thread.
class GossipPort
{
public:
  /// @brief Callbacks into the control loop.
  struct Events
  {
    /// @brief Called after a member's state or a leaving mark has changed.
    std::function<void()> onChange;
    /// @brief Called with a member's address and version if its configuration is newer than this
    ///        instance's.
    std::function<void(const net::Address&, core::ConfigVersion)> onNewerConfiguration;
  };

  GossipPort(boost::asio::io_context& aContext,
             membership::MembershipOptions aOptions,
             std::string aKey,
             const core::Clock& aClock);

  /// @brief Opens the UDP port of MembershipOptions::self.
  /// @return OK, or error 972 (membership.cannot_listen)
  absl::Status Open();

  /// @brief Starts to receive datagrams and to tick the state machine.
  void Start(Events aEvents);

  /// @brief Sends datagrams. Errors are ignored, because the protocol tolerates lost datagrams.
  void Send(const std::vector<membership::Datagram>& aDatagrams);

  /// @brief Returns the state machine. Changes made through it are reported to Events::onChange at
  ///        the next tick.
  membership::Membership& State() { return this->state; }

  /// @brief Sets the version of the configuration in force and announces it to the zone.
  void AnnounceConfiguration(core::ConfigVersion aVersion);

private:
  static constexpr std::size_t kMaxDatagramBytes = 8192;

  void Receive();
  void Tick();
  void HandleDatagram(std::string_view aBytes);
  void NotifyIfChanged();

  membership::MembershipOptions options;
  std::string key;
  const core::Clock& clock;
  membership::Membership state;
  boost::asio::ip::udp::socket socket;
  boost::asio::steady_timer timer;
  boost::asio::ip::udp::endpoint senderEndpoint;
  std::array<char, kMaxDatagramBytes> buffer{};
  Events events;
  core::ConfigVersion configurationVersion;
  std::uint64_t notifiedChanges = 0;
};

} // namespace plantainslip::control
