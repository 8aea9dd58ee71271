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
  /// @return the piece; std::nullopt at the end of a complete answer; or error 902 (peers.lost) or
  /// 903 (peers.refused)
  virtual absl::StatusOr<std::optional<std::string>> Next() = 0;
};

/// @brief Sends messages to other processes of the system. Calls block and are thread-safe.
class PeerClient
{
public:
  virtual ~PeerClient() = default;

  /// @brief Sends a message and waits for the complete answer.
  /// @param aPeer  the address that the peer serves peers on
  /// @param aKind  selects the handler, such as `drain_mark`
  /// @param aBody  CBOR
  /// @param aTimeout  timeout of the whole call
  /// @return the answer's CBOR, or error 901 to 904
  virtual absl::StatusOr<std::string> Call(const net::Address& aPeer,
                                           const std::string& aKind,
                                           const std::string& aBody,
                                           std::chrono::milliseconds aTimeout) = 0;

  /// @brief Sends a message whose answer arrives in pieces.
  /// @param aTimeout  timeout for the first piece and for each further piece
  /// @return the open stream, or error 901 to 904
  virtual absl::StatusOr<std::unique_ptr<PeerStream>> OpenStream(
    const net::Address& aPeer,
    const std::string& aKind,
    const std::string& aBody,
    std::chrono::milliseconds aTimeout) = 0;
};

/// @brief Creates a client over HTTP/2 (nghttp2) with one pooled connection per peer.
/// @param aKey  the shared key between peers; never logged
std::unique_ptr<PeerClient>
MakeHttp2PeerClient(std::string aKey);

} // namespace plantainslip::peers
