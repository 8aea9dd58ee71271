#include "raw_target.hpp"

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
/// Long enough for the caller to read what was sent.
constexpr std::chrono::milliseconds kReadDelay{ 50 };

bool
IsReady(int aDescriptor, short aEvents)
{
  pollfd polled{ aDescriptor, aEvents, 0 };
  return ::poll(&polled, 1, kPollMs) > 0;
}

bool
IsReportRequest(const std::string& aRequest)
{
  return aRequest.starts_with("GET /plantainslip/report ");
}

// Returns the value of a header field, or an empty string.
std::string
FieldValue(const std::string& aHead, const std::string& aName)
{
  const std::string name = "\r\n" + aName + ": ";
  const std::size_t found = aHead.find(name);
  if (found == std::string::npos) {
    return "";
  }
  const std::size_t start = found + name.size();
  return aHead.substr(start, aHead.find("\r\n", start) - start);
}

} // namespace

RawTarget::RawTarget(std::string aBytes, RawEnding aEnding)
  : RawTarget(std::move(aBytes), "", std::chrono::milliseconds(0), aEnding)
{
}

RawTarget::RawTarget(std::string aBeginning,
                     std::string aRepeated,
                     std::chrono::milliseconds aPause)
  : RawTarget(std::move(aBeginning), std::move(aRepeated), aPause, std::nullopt)
{
}

RawTarget::RawTarget(std::string aBeginning,
                     std::string aRepeated,
                     std::chrono::milliseconds aPause,
                     std::optional<RawEnding> aEnding)
  : beginning(std::move(aBeginning))
  , repeated(std::move(aRepeated))
  , pause(aPause)
  , ending(aEnding)
  , listener(::socket(AF_INET, SOCK_STREAM, 0))
{
  sockaddr_in bound{};
  bound.sin_family = AF_INET;
  bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(bound);
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): sockets interface
  auto* const generic = reinterpret_cast<sockaddr*>(&bound);
  constexpr int kBacklog = 64;
  if (aEnding == RawEnding::kResetUnread) {
    // So small that the request does not fit and its sender has to wait.
    const int receiveBytes = 4'096;
    ::setsockopt(this->listener, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(receiveBytes));
  }
  if (::bind(this->listener, generic, size) != 0 || ::listen(this->listener, kBacklog) != 0 ||
      ::getsockname(this->listener, generic, &size) != 0) {
    throw std::runtime_error("cannot listen");
  }
  this->address = { "127.0.0.1", ntohs(bound.sin_port) };
  this->thread = std::jthread([this] { this->Accept(); });
}

RawTarget::~RawTarget()
{
  this->stopping = true;
  this->thread.join();
  ::close(this->listener);
}

void
RawTarget::Accept()
{
  std::vector<std::jthread> connections;
  while (!this->stopping) {
    if (!IsReady(this->listener, POLLIN)) {
      continue;
    }
    const int connection = ::accept(this->listener, nullptr, nullptr);
    if (connection < 0) {
      // The process has ended.
      return;
    }
    connections.emplace_back([this, connection] { this->Serve(connection); });
  }
}

// Reads a whole request, as closing a connection with unread bytes would reset it.
std::string
RawTarget::ReadRequest(int aConnection) const
{
  std::string request;
  std::array<char, 4'096> bytes{};
  while (!this->stopping) {
    const std::size_t headEnd = request.find("\r\n\r\n");
    if (headEnd != std::string::npos && this->ending == RawEnding::kResetUnread) {
      return request;
    }
    if (headEnd != std::string::npos) {
      const std::string length = FieldValue(request, "Content-Length");
      const std::size_t bodyBytes = length.empty() ? 0 : std::stoul(length);
      if (request.size() >= headEnd + 4 + bodyBytes) {
        return request;
      }
    }
    if (!IsReady(aConnection, POLLIN)) {
      continue;
    }
    const ssize_t count = ::recv(aConnection, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
      return "";
    }
    request.append(bytes.data(), static_cast<std::size_t>(count));
  }
  return "";
}

bool
RawTarget::Send(int aConnection, std::string aBytes) const
{
  while (!this->stopping && !aBytes.empty()) {
    if (!IsReady(aConnection, POLLOUT)) {
      continue;
    }
    const ssize_t count =
      ::send(aConnection, aBytes.data(), aBytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0) {
      return false;
    }
    aBytes.erase(0, static_cast<std::size_t>(count));
  }
  return true;
}

void
RawTarget::End(int aConnection, std::chrono::steady_clock::time_point aDeadline)
{
  // Until the bytes have been read, as a reset would discard them.
  std::this_thread::sleep_for(kReadDelay);
  if (this->ending == RawEnding::kStopAtDeadline) {
    std::this_thread::sleep_until(aDeadline - this->margin);
  }
  this->ended = true;
  if (this->ending == RawEnding::kReset || this->ending == RawEnding::kResetUnread) {
    const linger reset{ 1, 0 };
    ::setsockopt(aConnection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  } else if (this->ending == RawEnding::kEndProcess) {
    ::shutdown(this->listener, SHUT_RDWR);
  }
}

std::string
RawTarget::Response(const std::string& aRequest) const
{
  if (this->ended && this->ending == RawEnding::kReplaceProcess) {
    return FieldValue(aRequest, "X-Expect-Instance").empty()
             ? "HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
             : "HTTP/1.1 421 Misdirected Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  }
  if (IsReportRequest(aRequest) && !this->report.empty()) {
    return this->report;
  }
  if (IsReportRequest(aRequest)) {
    const bool isLater = this->ended && this->ending == RawEnding::kRestartProcess;
    const std::string body =
      R"({"born":)" + std::to_string(isLater ? 2 * kStartedAt : kStartedAt) + "}";
    return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  std::string response = this->beginning;
  if (const std::size_t mark = response.find("{id}"); mark != std::string::npos) {
    response.replace(mark, 4, FieldValue(aRequest, "X-Request-Id"));
  }
  return response;
}

void
RawTarget::Serve(int aConnection)
{
  const std::string request = this->ReadRequest(aConnection);
  if (request.empty()) {
    ::close(aConnection);
    return;
  }
  while (this->ended && this->ending == RawEnding::kStopAnswering && !this->stopping) {
    std::this_thread::sleep_for(kReadDelay);
  }
  const bool isReport = IsReportRequest(request);
  this->requests += isReport ? 0 : 1;
  const std::string timeLeft = FieldValue(request, "X-Deadline-Ms");
  const auto deadline = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds(timeLeft.empty() ? 0 : std::stol(timeLeft));
  bool open = this->Send(aConnection, this->Response(request));
  if (this->ending.has_value()) {
    this->End(aConnection, deadline);
  } else {
    while (open && !this->stopping) {
      std::this_thread::sleep_for(this->pause);
      open = this->Send(aConnection, this->repeated);
    }
    this->closed += open ? 0 : 1;
  }
  ::close(aConnection);
}

} // namespace plantainslip::fakes
