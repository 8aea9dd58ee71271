#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/net/address.hpp>

namespace plantainslip::peers {

/// @brief An answer of a peer that arrives piece by piece. Destroying it resets the stream.
class PeerStream
{
public:
  virtual ~PeerStream() = default;

  /// @brief Waits for the next piece, as the peer's handler sent it.
  /// @return the piece; nothing at the proper end; or error 902 (peers.lost) or 903 (peers.refused)
  virtual absl::StatusOr<std::optional<std::string>> Next() = 0;
};

/// @brief Port to the system's own processes. Calls block and are safe from any thread.
class PeerClient
{
public:
  virtual ~PeerClient() = default;

  /// @brief Sends a message and waits for the whole answer.
  /// @param aPeer  the peer's address for peers
  /// @param aKind  names the handler, such as `drain_mark`
  /// @param aBody  CBOR
  /// @param aTimeout  longest wait
  /// @return the answer's CBOR, or error 901 to 904
  virtual absl::StatusOr<std::string> Call(const net::Address& aPeer,
                                           const std::string& aKind,
                                           const std::string& aBody,
                                           std::chrono::milliseconds aTimeout) = 0;

  /// @brief Sends a message whose answer arrives in pieces.
  /// @param aTimeout  longest wait for the beginning and between two pieces
  /// @return the open stream, or error 901 to 904
  virtual absl::StatusOr<std::unique_ptr<PeerStream>> OpenStream(
    const net::Address& aPeer,
    const std::string& aKind,
    const std::string& aBody,
    std::chrono::milliseconds aTimeout) = 0;
};

/// @brief Connects the port to peers by HTTP/2 (nghttp2), over one pooled connection for each peer.
/// @param aKey  the peers' key; never logged
std::unique_ptr<PeerClient>
MakeHttp2PeerClient(std::string aKey);

} // namespace plantainslip::peers
