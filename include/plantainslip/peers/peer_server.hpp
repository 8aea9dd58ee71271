#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/net/address.hpp>

namespace plantainslip::peers {

/// @brief Answers a whole message with a whole answer, both CBOR.
using CallHandler = std::function<absl::StatusOr<std::string>(const std::string& aBody)>;
/// @brief Hands one piece of an answer on; false if the peer has gone.
using SendPiece = std::function<bool(const std::string& aPiece)>;
/// @brief Answers a message with pieces. A status that is not OK tells the peer that the answer is
///        not whole.
using StreamHandler = std::function<absl::Status(const std::string& aBody, const SendPiece& aSend)>;

/// @brief The messages that a process answers, by kind. Filled before the server starts.
struct PeerHandlers
{
  std::map<std::string, CallHandler> calls;
  std::map<std::string, StreamHandler> streams;
};

/// @brief Settings of a peer server.
struct PeerServerOptions
{
  std::string host = "127.0.0.1";
  /// @brief Port to listen on; 0 takes a free one.
  std::uint16_t port = 0;
  /// @brief Key that peers prove themselves with; compared in constant time.
  std::string key;
  /// @brief Most messages that are worked on at once.
  unsigned threads = 16;
};

/// @brief Server for the system's own processes by HTTP/2 (nghttp2).
class PeerServer
{
public:
  virtual ~PeerServer() = default;

  /// @brief Opens the port and starts to serve.
  /// @return the server, or error 906 (peers.cannot_listen)
  static absl::StatusOr<std::unique_ptr<PeerServer>> Create(const PeerServerOptions& aOptions,
                                                            PeerHandlers aHandlers);

  /// @brief Gives the address that the server listens on.
  virtual net::Address ListeningAddress() const = 0;

  /// @brief Ends open streams and closes the port.
  virtual void Stop() = 0;
};

} // namespace plantainslip::peers
