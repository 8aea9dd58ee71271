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

/// @brief Runs the membership's state machine over a UDP port, on the control thread.
class GossipPort
{
public:
  /// @brief What the control loop does with news.
  struct Events
  {
    /// @brief A member's state or a leaving mark has changed.
    std::function<void()> onChange;
    /// @brief A member has a newer configuration.
    std::function<void(const net::Address&, core::ConfigVersion)> onNewerConfiguration;
  };

  GossipPort(boost::asio::io_context& aContext,
             membership::MembershipOptions aOptions,
             std::string aKey,
             const core::Clock& aClock);

  /// @brief Opens the port of this instance's own record.
  /// @return OK, or error 972 (membership.cannot_listen)
  absl::Status Open();

  /// @brief Starts to receive and to probe.
  void Start(Events aEvents);

  /// @brief Sends datagrams; what cannot be sent is dropped, as the network may drop it.
  void Send(const std::vector<membership::Datagram>& aDatagrams);

  /// @brief Gives the state machine; news that it makes show at the next tick.
  membership::Membership& State() { return this->state; }

  /// @brief Sets the version that this instance has in force, and tells the zone.
  void AnnounceConfiguration(core::ConfigVersion aVersion);

private:
  static constexpr std::size_t kDatagramBytes = 8192;

  void Receive();
  void Tick();
  void Take(std::string_view aBytes);
  void ReportChange();

  membership::MembershipOptions options;
  std::string key;
  const core::Clock& clock;
  membership::Membership state;
  boost::asio::ip::udp::socket socket;
  boost::asio::steady_timer timer;
  boost::asio::ip::udp::endpoint from;
  std::array<char, kDatagramBytes> buffer{};
  Events events;
  core::ConfigVersion version;
  std::uint64_t reportedChanges = 0;
};

} // namespace plantainslip::control
