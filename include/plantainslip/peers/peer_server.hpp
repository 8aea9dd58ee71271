#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/net/address.hpp>

namespace plantainslip::peers {

/// @brief Handles a message and returns the complete answer, both CBOR.
using CallHandler = std::function<absl::StatusOr<std::string>(const std::string& aBody)>;
/// @brief Sends one piece of an answer; false if it was not accepted, such as after a disconnect.
using SendPiece = std::function<bool(const std::string& aPiece)>;
/// @brief Handles a message and sends the answer in pieces. A status other than OK marks the answer
///        as incomplete.
using StreamHandler = std::function<absl::Status(const std::string& aBody, const SendPiece& aSend)>;

/// @brief Message handlers by kind. Filled before the server starts.
struct PeerHandlers
{
  std::map<std::string, CallHandler> calls;
  std::map<std::string, StreamHandler> streams;
};

/// @brief Settings of a peer server.
struct PeerServerOptions
{
  std::string host = "127.0.0.1";
  /// @brief Port to listen on; 0 selects a free one.
  std::uint16_t port = 0;
  /// @brief Shared key that authenticates peers; compared in constant time.
  std::string key;
  /// @brief Maximum number of messages handled concurrently.
  unsigned threads = 16;
};

/// @brief HTTP/2 server (nghttp2) for messages from other processes of the system.
class PeerServer
{
public:
  virtual ~PeerServer() = default;

  /// @brief Opens the port and starts serving.
  /// @return the server, or error 906 (peers.cannot_listen)
  static absl::StatusOr<std::unique_ptr<PeerServer>> Create(const PeerServerOptions& aOptions,
                                                            PeerHandlers aHandlers);

  /// @brief Returns the address that the server listens on.
  virtual net::Address ListeningAddress() const = 0;

  /// @brief Ends open streams and closes the port.
  virtual void Stop() = 0;
};

} // namespace plantainslip::peers
