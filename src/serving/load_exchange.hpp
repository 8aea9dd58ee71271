#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>

#include <absl/status/statusor.h>

#include <plantainslip/serving/peer_message.hpp>

#include "control.hpp"
#include "path_types.hpp"

namespace plantainslip::serving {

/// @brief The instance that holds the fleet's lease, as it states itself.
struct LeaseHolder
{
  core::InstanceId id;
  net::Address address;
  core::FencingToken token;
};

/// @brief Exchanges load reports and known revisions with peers by datagrams. Used on the traffic
///        thread.
class LoadExchange
{
public:
  /// @brief Called several times per second with the states of all live peers and the demand that
  ///        all instances have seen.
  using OnPeers = std::function<void(std::vector<PeerState>, const FleetDemand&)>;

  /// @brief Opens the port and starts sending and receiving.
  /// @return the exchange, or error 1506 (serving.cannot_listen)
  static absl::StatusOr<std::unique_ptr<LoadExchange>> Open(asio::io_context& aContext,
                                                            const PeerInstance& aSelf,
                                                            double aLinkMbps,
                                                            PathContext& aPath,
                                                            OnPeers aOnPeers);

  /// @brief Handles a datagram with usage counts.
  using OnUsage = std::function<void(std::string_view)>;

  /// @brief Sets the handler of datagrams with usage counts; without one they are dropped.
  void SetUsageHandler(OnUsage aHandler) { this->onUsage = std::move(aHandler); }

  /// @brief Sends a datagram to a peer; without effect if the peer is unknown.
  void SendTo(const core::InstanceId& aPeer, const std::string& aBytes);

  /// @brief Returns the states of all live peers.
  std::vector<PeerState> LivePeers() const;

  /// @brief Sets the peers listed in the store.
  void SetPeers(const std::vector<PeerInstance>& aPeers);

  /// @brief Sets the token with which this instance holds the fleet's lease; zero if it does not.
  void SetHeldToken(core::FencingToken aToken) { this->heldToken = aToken; }

  /// @brief Returns the live instance that states the highest token, this one included; nullopt if
  ///        none states any. Linear in the number of peers.
  std::optional<LeaseHolder> CurrentHolder() const;

  /// @brief Immediately sends this instance's revisions and loads to all peers.
  void Announce() { this->SendToPeers(Recipients::kAllZones); }

private:
  struct Peer
  {
    Udp::endpoint endpoint;
    /// @brief State from the last message; default values but for the zone if none has arrived.
    PeerState state;
    /// @brief Whether the store lists the peer.
    bool listed = false;
    ProcessId process;
    /// @brief Process before the present one, whose last messages may still arrive.
    ProcessId previousProcess;
    std::uint64_t sequence = 0;
  };

  LoadExchange(asio::io_context& aContext,
               const PeerInstance& aSelf,
               double aLinkMbps,
               PathContext& aPath,
               OnPeers aOnPeers);
  Task<void> ReceiveLoop();
  Task<void> SendLoop();
  void ProcessMessage(const PeerMessage& aMessage, const Udp::endpoint& aFrom);
  /// @brief Peers to which a message is sent.
  enum class Recipients
  {
    kOwnZone,
    kAllZones,
  };

  void SendToPeers(Recipients aRecipients);
  std::size_t CountSameZonePeers() const;
  std::size_t CountLivePeers() const;
  void ReportPeers();

  PeerInstance self;
  double linkMbps;
  PathContext& path;
  OnPeers onPeers;
  OnUsage onUsage;
  Udp::socket socket;
  asio::steady_timer timer;
  std::map<core::InstanceId, Peer> peers;
  FleetDemand demand;
  ProcessId process{ core::MakeSeed() };
  std::uint64_t sequence = 0;
  core::FencingToken heldToken;
  LoadTable lastSent;
  /// @brief When a message was last sent to peers of all zones.
  core::MonotonicTime sentToAllZonesAt;
  core::MonotonicTime sentAt;
  core::MonotonicTime reportedAt;
  /// @brief Number of live peers in the last report.
  std::size_t reportedPeers = 0;
  std::array<char, 16'384> received{};
};

} // namespace plantainslip::serving
