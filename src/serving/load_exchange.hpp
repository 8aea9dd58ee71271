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
  /// @brief Called when a peer has seen other revisions than this instance.
  using OnRevisions = std::function<void(core::Revision aConfig, core::Revision aTargets)>;

  /// @brief Opens the port and starts both directions.
  /// @return the exchange, or error 1506 (serving.cannot_listen)
  static absl::StatusOr<std::unique_ptr<LoadExchange>> Open(asio::io_context& aContext,
                                                            const PeerInstance& aSelf,
                                                            PathContext& aPath,
                                                            OnRevisions aOnRevisions);

  /// @brief Sets the peers that the store lists.
  void SetPeers(const std::vector<PeerInstance>& aPeers);

private:
  struct Peer
  {
    Udp::endpoint endpoint;
    /// @brief Last message, of a listed peer or of one that spoke first.
    core::MonotonicTime heardAt;
    bool listed = false;
    std::uint64_t sequence = 0;
  };

  LoadExchange(asio::io_context& aContext,
               const PeerInstance& aSelf,
               PathContext& aPath,
               OnRevisions aOnRevisions);
  Task<void> Receive();
  Task<void> Send();
  void Take(const PeerMessage& aMessage, const Udp::endpoint& aFrom);
  void SendToAll();

  PeerInstance self;
  PathContext& path;
  OnRevisions onRevisions;
  Udp::socket socket;
  asio::steady_timer timer;
  std::map<core::InstanceId, Peer> peers;
  std::uint64_t sequence = 0;
  LoadTable lastSent;
  core::MonotonicTime sentAt;
  std::array<char, 16'384> received{};
};

} // namespace plantainslip::serving
