#include "abusive_clients.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace plantainslip::harness {

namespace {

/// Time without a byte sent after which the peer counts as no longer reading.
constexpr std::chrono::milliseconds kNoProgress{ 2'000 };
/// Pieces are joined to about this size, so that small ones do not cost a system call each.
constexpr std::size_t kSendBytes = 65'536;

/// Receive buffer of clients that read nothing, so that their peers' answers soon remain unread.
constexpr int kReceiveBytes = 4'096;

// Connects without waiting for the peer to accept; returns -1 if there is no listener.
int
Connect(const net::Address& aAddress)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  (void)::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &kReceiveBytes, sizeof(kReceiveBytes));
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(aAddress.port);
  inet_pton(AF_INET, aAddress.host.c_str(), &peer.sin_addr);
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): sockets interface
  if (socket >= 0 && ::connect(socket, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) == 0) {
    return socket;
  }
  ::close(socket);
  return -1;
}

} // namespace

AbusiveClients::~AbusiveClients()
{
  for (const Client& client : this->clients) {
    ::close(client.socket);
  }
}

void
AbusiveClients::Open(std::size_t aCount, const ClientScript& aScript)
{
  for (std::size_t count = 0; count < aCount; ++count) {
    const int socket = Connect(this->address);
    if (socket >= 0) {
      this->clients.push_back({ socket, aScript, aScript.beginning, 0 });
    }
  }
}

bool
AbusiveClients::SendSome(Client& aClient)
{
  while (true) {
    if (aClient.sent == aClient.pending.size()) {
      aClient.pending.clear();
      aClient.sent = 0;
      while (aClient.script.repetitions > 0 && aClient.pending.size() < kSendBytes) {
        aClient.pending += aClient.script.piece;
        --aClient.script.repetitions;
      }
      if (aClient.pending.empty()) {
        return false;
      }
    }
    const ssize_t sent = ::send(aClient.socket,
                                aClient.pending.data() + aClient.sent,
                                aClient.pending.size() - aClient.sent,
                                MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) {
      return errno == EAGAIN;
    }
    aClient.sent += static_cast<std::size_t>(sent);
  }
}

void
AbusiveClients::SendAll()
{
  std::vector<Client*> sending;
  for (Client& client : this->clients) {
    sending.push_back(&client);
  }
  while (true) {
    std::vector<pollfd> entries;
    std::erase_if(sending, [](Client* aClient) { return !SendSome(*aClient); });
    entries.reserve(sending.size());
    for (const Client* client : sending) {
      entries.push_back({ client->socket, POLLOUT, 0 });
    }
    if (entries.empty() ||
        ::poll(entries.data(), entries.size(), static_cast<int>(kNoProgress.count())) <= 0) {
      return;
    }
  }
}

std::size_t
PeakMemory(pid_t aProcess)
{
  std::ifstream status("/proc/" + std::to_string(aProcess) + "/status");
  const std::string name = "VmHWM:";
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(name)) {
      constexpr std::size_t kKibibyte = 1'024;
      return std::stoul(line.substr(name.size())) * kKibibyte;
    }
  }
  throw std::runtime_error("no peak of resident memory of the process");
}

std::size_t
CountSockets(pid_t aProcess)
{
  std::size_t count = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(aProcess) + "/fd")) {
    std::error_code closed;
    const std::string target = std::filesystem::read_symlink(entry.path(), closed).string();
    count += target.starts_with("socket:") ? 1U : 0U;
  }
  return count;
}

void
LimitDescriptors(pid_t aProcess, std::size_t aMax)
{
  rlimit limit{};
  ::prlimit(aProcess, RLIMIT_NOFILE, nullptr, &limit);
  limit.rlim_cur = aMax;
  if (::prlimit(aProcess, RLIMIT_NOFILE, &limit, nullptr) != 0) {
    throw std::runtime_error("the limit on descriptors cannot be lowered");
  }
}

int
CallOnce(const net::Address& aAddress,
         const std::string& aRequest,
         std::chrono::milliseconds aPatience)
{
  const int socket = Connect(aAddress);
  (void)::send(socket, aRequest.data(), aRequest.size(), MSG_NOSIGNAL);
  const std::string version = "HTTP/1.1 ";
  std::string answer;
  pollfd entry{ socket, POLLIN, 0 };
  const auto deadline = std::chrono::steady_clock::now() + aPatience;
  while (answer.size() < version.size() + 3) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - std::chrono::steady_clock::now());
    std::array<char, 1'024> buffer{};
    if (left.count() <= 0 || ::poll(&entry, 1, static_cast<int>(left.count())) <= 0) {
      break;
    }
    const ssize_t received = ::recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (received <= 0) {
      break;
    }
    answer.append(buffer.data(), static_cast<std::size_t>(received));
  }
  ::close(socket);
  return answer.starts_with(version) ? std::stoi(answer.substr(version.size())) : 0;
}

} // namespace plantainslip::harness
