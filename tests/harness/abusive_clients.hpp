#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <plantainslip/net/address.hpp>

namespace plantainslip::harness {

/// @brief Bytes that one client sends: a beginning, then a piece again and again.
struct ClientScript
{
  std::string beginning;
  std::string piece;
  /// @brief How often the piece is sent.
  std::size_t repetitions = 0;
};

/// @brief Connections that send their scripts at the same time, read nothing, and stay open.
///
/// Used on one thread; no connection waits for another.
class AbusiveClients
{
public:
  explicit AbusiveClients(net::Address aAddress)
    : address(std::move(aAddress))
  {
  }
  ~AbusiveClients();
  AbusiveClients(const AbusiveClients&) = delete;
  AbusiveClients& operator=(const AbusiveClients&) = delete;

  /// @brief Opens connections for a script. Those that are not taken count as ended.
  void Open(std::size_t aCount, const ClientScript& aScript);

  /// @brief Sends until each client has sent its script, was closed by the peer, or none of them
  ///        could send for a while; their connections stay open.
  void SendAll();

private:
  struct Client
  {
    int socket = -1;
    ClientScript script;
    /// @brief Bytes that are being sent, and how many of them were.
    std::string pending;
    std::size_t sent = 0;
  };

  /// @brief Sends what the socket takes.
  /// @return whether the client has more to send and its peer is still there
  static bool SendSome(Client& aClient);

  net::Address address;
  std::vector<Client> clients;
};

/// @brief Returns the peak of a process's resident memory in bytes.
std::size_t
PeakMemory(pid_t aProcess);

/// @brief Returns the number of sockets that a process has open.
std::size_t
CountSockets(pid_t aProcess);

/// @brief Lowers the number of descriptors that a process may have open.
void
LimitDescriptors(pid_t aProcess, std::size_t aMax);

/// @brief Sends one request on a connection of its own.
/// @param aPatience  max time for the whole call
/// @return the status; 0 if there was no answer in this time
int
CallOnce(const net::Address& aAddress,
         const std::string& aRequest,
         std::chrono::milliseconds aPatience);

} // namespace plantainslip::harness
