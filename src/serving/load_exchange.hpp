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

/// @brief Tells peers what this instance has sent to targets, and learns the same from them, by
///        datagrams. Used on the traffic thread.
class LoadExchange
{
public:
  /// @brief Called several times a second with what peers say of themselves.
  using OnPeers = std::function<void(std::vector<PeerStanding>)>;

  /// @brief Opens the port and starts both directions.
  /// @return the exchange, or error 1506 (serving.cannot_listen)
  static absl::StatusOr<std::unique_ptr<LoadExchange>> Open(asio::io_context& aContext,
                                                            const PeerInstance& aSelf,
                                                            double aLinkMbps,
                                                            PathContext& aPath,
                                                            OnPeers aOnPeers);

  /// @brief Sets the peers that the store lists.
  void SetPeers(const std::vector<PeerInstance>& aPeers);

  /// @brief Tells all peers at once what revisions this instance knows.
  void Announce() { this->SendTo(Reach::kAllZones); }

private:
  struct Peer
  {
    Udp::endpoint endpoint;
    /// @brief What its last message says; never heard of if it is only listed.
    PeerStanding standing;
    bool listed = false;
    std::uint64_t sequence = 0;
  };

  LoadExchange(asio::io_context& aContext,
               const PeerInstance& aSelf,
               double aLinkMbps,
               PathContext& aPath,
               OnPeers aOnPeers);
  Task<void> Receive();
  Task<void> Send();
  void Take(const PeerMessage& aMessage, const Udp::endpoint& aFrom);
  /// @brief Which peers a message is for.
  enum class Reach
  {
    kOwnZone,
    kAllZones,
  };

  void SendTo(Reach aReach);
  std::size_t NearPeers() const;
  void ReportPeers();

  PeerInstance self;
  double linkMbps;
  PathContext& path;
  OnPeers onPeers;
  Udp::socket socket;
  asio::steady_timer timer;
  std::map<core::InstanceId, Peer> peers;
  std::uint64_t sequence = 0;
  LoadTable lastSent;
  /// @brief When peers of other zones were last told.
  core::MonotonicTime sentFarAt;
  core::MonotonicTime sentAt;
  core::MonotonicTime reportedAt;
  std::array<char, 16'384> received{};
};

} // namespace plantainslip::serving
