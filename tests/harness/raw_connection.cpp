#include "raw_connection.hpp"

#include <array>
#include <cerrno>
#include <stdexcept>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace plantainslip::harness {

namespace {

constexpr timeval kPatience{ 30, 0 };

} // namespace

RawConnection::RawConnection(const net::Address& aAddress)
  : socket(::socket(AF_INET, SOCK_STREAM, 0))
{
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(aAddress.port);
  inet_pton(AF_INET, aAddress.host.c_str(), &peer.sin_addr);
  setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &kPatience, sizeof(kPatience));
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  if (connect(this->socket, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) != 0) {
    close(this->socket);
    throw std::runtime_error("no connection to " + aAddress.Text());
  }
}

RawConnection::~RawConnection()
{
  close(this->socket);
}

bool
RawConnection::Send(const std::string& aBytes) const
{
  return send(this->socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(aBytes.size());
}

void
RawConnection::FinishSending() const
{
  shutdown(this->socket, SHUT_WR);
}

std::string
RawConnection::ReadToEnd() const
{
  std::string received;
  std::array<char, 4096> buffer{};
  ssize_t got = 0;
  while ((got = recv(this->socket, buffer.data(), buffer.size(), 0)) > 0) {
    received.append(buffer.data(), static_cast<std::size_t>(got));
  }
  this->reset = got < 0 && errno == ECONNRESET;
  return received;
}

std::string
RawConnection::ReadFirstLine() const
{
  std::string received;
  char letter = 0;
  while (recv(this->socket, &letter, 1, 0) == 1 && letter != '\n') {
    received += letter;
  }
  return received;
}

} // namespace plantainslip::harness
