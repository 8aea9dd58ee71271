#include <plantainslip/net/http_server.hpp>

#include <algorithm>
#include <array>
#include <mutex>

#include <arpa/inet.h>
#include <civetweb.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/net/errors.hpp>

namespace plantainslip::net {

namespace {

// mg_read() blocks until its buffer is full, so a small buffer allows deadline checks in between.
constexpr std::size_t kReadBytes = 128;
constexpr std::size_t kQueryValueBytes = 4096;
constexpr int kHandled = 200;
constexpr int kMaxSockets = 65'536;
constexpr int kNoSocket = -1;
constexpr int kSocketNotSearched = -2;

std::string
FormatHead(int aStatus, std::string_view aContentType, const std::vector<Header>& aHeaders)
{
  std::string head = "HTTP/1.1 " + std::to_string(aStatus) + " ";
  head += mg_get_response_code_text(nullptr, aStatus);
  head += "\r\nContent-Type: " + std::string(aContentType) + "\r\nCache-Control: no-store\r\n";
  for (const Header& header : aHeaders) {
    head += header.name + ": " + header.value + "\r\n";
  }
  return head;
}

// CivetWeb does not expose its socket, so it is identified by its local and remote endpoints.
bool
IsSocketOfRequest(int aSocket, const mg_request_info& aInfo)
{
  sockaddr_in peer{};
  sockaddr_in own{};
  socklen_t peerLength = sizeof(peer);
  socklen_t ownLength = sizeof(own);
  std::array<char, INET_ADDRSTRLEN> host{};
  return getpeername(aSocket, reinterpret_cast<sockaddr*>(&peer), &peerLength) == 0 &&
         peer.sin_family == AF_INET && ntohs(peer.sin_port) == aInfo.remote_port &&
         getsockname(aSocket, reinterpret_cast<sockaddr*>(&own), &ownLength) == 0 &&
         ntohs(own.sin_port) == aInfo.server_port &&
         inet_ntop(AF_INET, &peer.sin_addr, host.data(), host.size()) != nullptr &&
         std::string_view(host.data()) == aInfo.remote_addr;
}

int
FindSocket(const mg_request_info& aInfo)
{
  for (int socket = 0; socket < kMaxSockets; ++socket) {
    if (IsSocketOfRequest(socket, aInfo)) {
      return socket;
    }
  }
  return kNoSocket;
}

class CivetExchange final : public HttpExchange
{
public:
  CivetExchange(mg_connection* aConnection, std::chrono::milliseconds aTimeout)
    : connection(aConnection)
    , timeout(aTimeout)
    , info(mg_get_request_info(aConnection))
  {
  }

  std::string Method() const override { return this->info->request_method; }
  std::string Path() const override { return this->info->local_uri; }

  std::optional<std::string> Query(const std::string& aName) const override
  {
    if (this->info->query_string == nullptr) {
      return std::nullopt;
    }
    const std::string query = this->info->query_string;
    std::string value(kQueryValueBytes, '\0');
    const int length =
      mg_get_var(query.data(), query.size(), aName.c_str(), value.data(), value.size());
    if (length < 0) {
      return std::nullopt;
    }
    value.resize(static_cast<std::size_t>(length));
    return value;
  }

  std::optional<std::string> HeaderValue(const std::string& aName) const override
  {
    const char* value = mg_get_header(this->connection, aName.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
  }

  absl::StatusOr<std::string> ReadBody(std::size_t aLimit) override
  {
    const long long contentLength = this->info->content_length;
    if (contentLength > static_cast<long long>(aLimit)) {
      return core::MakeError(errors::kBodyTooLarge, "limit " + std::to_string(aLimit));
    }
    // A sender of one byte at a time never exceeds the timeout of a single read.
    const core::MonotonicTime deadline = this->clock.Now() + this->timeout;
    std::string body;
    std::array<char, kReadBytes> buffer{};
    for (;;) {
      const int bytesRead = mg_read(this->connection, buffer.data(), buffer.size());
      if (bytesRead < 0 || this->clock.Now() > deadline) {
        return core::MakeError(errors::kBodyTruncated, "got " + std::to_string(body.size()));
      }
      if (bytesRead == 0) {
        break;
      }
      if (body.size() + static_cast<std::size_t>(bytesRead) > aLimit) {
        return core::MakeError(errors::kBodyTooLarge, "limit " + std::to_string(aLimit));
      }
      body.append(buffer.data(), static_cast<std::size_t>(bytesRead));
    }
    if (contentLength > static_cast<long long>(body.size())) {
      return core::MakeError(errors::kBodyTruncated, "got " + std::to_string(body.size()));
    }
    return body;
  }

  // The socket belongs to this exchange until the handler returns, so it can be cached.
  bool CallerGone() override
  {
    if (this->socket == kSocketNotSearched) {
      this->socket = FindSocket(*this->info);
    }
    pollfd pollEntry{ this->socket, POLLRDHUP, 0 };
    return this->socket != kNoSocket && poll(&pollEntry, 1, 0) > 0;
  }

  bool Respond(int aStatus,
               std::string_view aContentType,
               std::string_view aBody,
               const std::vector<Header>& aHeaders) override
  {
    std::string answer = FormatHead(aStatus, aContentType, aHeaders);
    answer += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
    answer += aBody;
    return this->Write(answer);
  }

  bool BeginStream(int aStatus,
                   std::string_view aContentType,
                   const std::vector<Header>& aHeaders) override
  {
    return this->Write(FormatHead(aStatus, aContentType, aHeaders) +
                       "Transfer-Encoding: chunked\r\n\r\n");
  }

  bool SendChunk(std::string_view aChunk) override
  {
    if (aChunk.empty()) {
      return true;
    }
    return mg_send_chunk(this->connection, aChunk.data(), static_cast<unsigned>(aChunk.size())) > 0;
  }

  bool EndStream() override { return mg_send_chunk(this->connection, "", 0) > 0; }

private:
  bool Write(const std::string& aBytes)
  {
    return mg_write(this->connection, aBytes.data(), aBytes.size()) ==
           static_cast<int>(aBytes.size());
  }

  mg_connection* connection;
  std::chrono::milliseconds timeout;
  core::SystemClock clock;
  const mg_request_info* info;
  int socket = kSocketNotSearched;
};

class CivetServer final : public HttpServer
{
public:
  explicit CivetServer(Handler aHandler)
    : handler(std::move(aHandler))
  {
  }

  ~CivetServer() override { this->CivetServer::Stop(); }

  absl::Status Start(const HttpServerOptions& aOptions)
  {
    this->requestTimeout = aOptions.requestTimeout;
    const bool useTls = !aOptions.certificateFile.empty();
    const std::string ports =
      aOptions.host + ":" + std::to_string(aOptions.port) + (useTls ? "s" : "");
    const std::string threads = std::to_string(aOptions.threads);
    const std::string maxQueued = std::to_string(aOptions.maxQueuedConnections);
    const std::string timeout = std::to_string(aOptions.requestTimeout.count());
    std::vector<const char*> options = {
      "listening_ports",       ports.c_str(),
      "num_threads",           threads.c_str(),
      "connection_queue",      maxQueued.c_str(),
      "listen_backlog",        maxQueued.c_str(),
      "request_timeout_ms",    timeout.c_str(),
      "enable_keep_alive",     "yes",
      "keep_alive_timeout_ms", "5000",
      "tcp_nodelay",           "1",
    };
    if (useTls) {
      options.insert(options.end(), { "ssl_certificate", aOptions.certificateFile.c_str() });
    }
    options.push_back(nullptr);
    mg_init_library(useTls ? MG_FEATURES_TLS : 0);
    const mg_callbacks callbacks{};
    this->context = mg_start(&callbacks, this, options.data());
    if (this->context == nullptr) {
      return core::MakeError(errors::kCannotListen, ports);
    }
    mg_server_port port{};
    mg_get_server_ports(this->context, 1, &port);
    this->address = Address{ aOptions.host, static_cast<std::uint16_t>(port.port) };
    mg_set_request_handler(this->context, "/", &CivetServer::Handle, this);
    return absl::OkStatus();
  }

  Address ListeningAddress() const override { return this->address; }

  void Stop() override
  {
    if (this->context != nullptr) {
      mg_stop(this->context);
      this->context = nullptr;
    }
  }

private:
  static int Handle(mg_connection* aConnection, void* aServer)
  {
    auto* server = static_cast<CivetServer*>(aServer);
    CivetExchange exchange(aConnection, server->requestTimeout);
    server->handler(exchange);
    return kHandled;
  }

  Handler handler;
  std::chrono::milliseconds requestTimeout{ 0 };
  Address address;
  mg_context* context = nullptr;
};

} // namespace

absl::StatusOr<std::unique_ptr<HttpServer>>
HttpServer::Create(const HttpServerOptions& aOptions, Handler aHandler)
{
  auto server = std::make_unique<CivetServer>(std::move(aHandler));
  if (const absl::Status started = server->Start(aOptions); !started.ok()) {
    return started;
  }
  return server;
}

} // namespace plantainslip::net
