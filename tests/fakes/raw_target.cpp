#include "endless_target.hpp"

#include <array>
#include <stdexcept>
#include <vector>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace plantainslip::fakes {

namespace {

constexpr int kPollMs = 20;

bool
IsReady(int aDescriptor, short aEvents)
{
  pollfd polled{ aDescriptor, aEvents, 0 };
  return ::poll(&polled, 1, kPollMs) > 0;
}

std::string
RequestId(const std::string& aHead)
{
  const std::string name = "X-Request-Id: ";
  const std::size_t found = aHead.find(name);
  if (found == std::string::npos) {
    return "";
  }
  const std::size_t start = found + name.size();
  return aHead.substr(start, aHead.find("\r\n", start) - start);
}

} // namespace

EndlessTarget::EndlessTarget(std::string aBeginning,
                             std::string aRepeated,
                             std::chrono::milliseconds aPause)
  : beginning(std::move(aBeginning))
  , repeated(std::move(aRepeated))
  , pause(aPause)
  , listener(::socket(AF_INET, SOCK_STREAM, 0))
{
  sockaddr_in bound{};
  bound.sin_family = AF_INET;
  bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(bound);
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): sockets interface
  auto* const generic = reinterpret_cast<sockaddr*>(&bound);
  constexpr int kBacklog = 64;
  if (::bind(this->listener, generic, size) != 0 || ::listen(this->listener, kBacklog) != 0 ||
      ::getsockname(this->listener, generic, &size) != 0) {
    throw std::runtime_error("cannot listen");
  }
  this->address = { "127.0.0.1", ntohs(bound.sin_port) };
  this->thread = std::jthread([this] { this->Accept(); });
}

EndlessTarget::~EndlessTarget()
{
  this->stopping = true;
  this->thread.join();
  ::close(this->listener);
}

void
EndlessTarget::Accept()
{
  std::vector<std::jthread> connections;
  while (!this->stopping) {
    if (IsReady(this->listener, POLLIN)) {
      const int connection = ::accept(this->listener, nullptr, nullptr);
      connections.emplace_back([this, connection] { this->Serve(connection); });
    }
  }
}

void
EndlessTarget::Serve(int aConnection)
{
  std::string request;
  std::array<char, 4'096> bytes{};
  while (!this->stopping && request.find("\r\n\r\n") == std::string::npos) {
    if (!IsReady(aConnection, POLLIN)) {
      continue;
    }
    const ssize_t count = ::recv(aConnection, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
      ::close(aConnection);
      return;
    }
    request.append(bytes.data(), static_cast<std::size_t>(count));
  }
  ++this->requests;
  std::string next = this->beginning;
  if (const std::size_t mark = next.find("{id}"); mark != std::string::npos) {
    next.replace(mark, 4, RequestId(request));
  }
  while (!this->stopping) {
    if (!IsReady(aConnection, POLLOUT)) {
      continue;
    }
    const ssize_t count =
      ::send(aConnection, next.data(), next.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0) {
      ++this->closed;
      break;
    }
    next.erase(0, static_cast<std::size_t>(count));
    if (next.empty()) {
      std::this_thread::sleep_for(this->pause);
      next = this->repeated;
    }
  }
  ::close(aConnection);
}

} // namespace plantainslip::fakes
