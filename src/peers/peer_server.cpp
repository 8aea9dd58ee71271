#include <plantainslip/peers/peer_server.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <openssl/crypto.h>

#include <plantainslip/peers/errors.hpp>

#include "http2_connection.hpp"
#include "piece_framing.hpp"

namespace plantainslip::peers {

namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxBufferedBytes = 1 << 18;
constexpr std::chrono::seconds kSendTimeout(30);
constexpr std::chrono::seconds kStopTimeout(1);
constexpr unsigned kMaxQueuedMessagesPerThread = 16;
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;

bool
KeysMatch(const std::string& aLeft, const std::string& aRight)
{
  return !aLeft.empty() && aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

// State of one message, shared by the connection's thread and a worker.
struct Message
{
  std::mutex mutex;
  std::condition_variable drained;
  std::string output;
  bool complete = false;
  bool streamClosed = false;
  int status = kOk;

  // The members below are used only on the connection's thread until the worker starts.
  std::string path;
  std::string key;
  std::string body;
  bool refused = false;
  bool responseStarted = false;
};

using MessagePtr = std::shared_ptr<Message>;

// State shared by all connections of a server.
struct ServerCore
{
  ServerCore(PeerServerOptions aOptions, PeerHandlers aHandlers)
    : options(std::move(aOptions))
    , handlers(std::move(aHandlers))
    , workers(options.threads)
  {
  }

  PeerServerOptions options;
  PeerHandlers handlers;
  asio::io_context context;
  asio::thread_pool workers;
  std::atomic<unsigned> pendingMessages = 0;
  std::atomic<bool> stopping = false;

  absl::Status Handle(const Message& aMessage, const SendPiece& aSend)
  {
    const std::string_view path = aMessage.path;
    if (path.starts_with(kCallPathPrefix)) {
      const auto handler =
        this->handlers.calls.find(std::string(path.substr(kCallPathPrefix.size())));
      auto answer = handler->second(aMessage.body);
      if (answer.ok()) {
        aSend(*answer);
      }
      return answer.status();
    }
    return this->handlers.streams.find(std::string(path.substr(kStreamPathPrefix.size())))
      ->second(aMessage.body, aSend);
  }

  bool HasHandler(const std::string& aPath) const
  {
    const std::string_view path = aPath;
    if (path.starts_with(kCallPathPrefix)) {
      return this->handlers.calls.contains(std::string(path.substr(kCallPathPrefix.size())));
    }
    return path.starts_with(kStreamPathPrefix) &&
           this->handlers.streams.contains(std::string(path.substr(kStreamPathPrefix.size())));
  }
};

class ServerConnection final : public Http2Connection
{
public:
  ServerConnection(asio::ip::tcp::socket aSocket, ServerCore& aCore)
    : Http2Connection(std::move(aSocket), Side::kServer)
    , core(aCore)
  {
  }

  void Begin() { this->Start(); }

  // GOAWAY tells clients which messages were not processed. Running calls complete normally;
  // running streams fail at their next Send(), so they are woken here.
  void SubmitGoAway()
  {
    nghttp2_submit_goaway(this->Session(),
                          NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(this->Session()),
                          NGHTTP2_NO_ERROR,
                          nullptr,
                          0);
    for (const auto& [stream, message] : this->messages) {
      message->drained.notify_all();
    }
    this->Flush();
  }

  void Resume(std::int32_t aStream, const MessagePtr& aMessage)
  {
    if (this->IsClosed() || !this->messages.contains(aStream)) {
      return;
    }
    if (aMessage->responseStarted) {
      nghttp2_session_resume_data(this->Session(), aStream);
    } else {
      this->Respond(aStream, *aMessage);
    }
    this->Flush();
  }

private:
  void Respond(std::int32_t aStream, Message& aMessage)
  {
    aMessage.responseStarted = true;
    const std::string status = std::to_string(aMessage.status);
    const nghttp2_nv header = MakeHeader(":status", status);
    const nghttp2_data_provider provider = this->BodyProvider();
    nghttp2_submit_response(this->Session(), aStream, &header, 1, &provider);
  }

  void Refuse(std::int32_t aStream, Message& aMessage, int aStatus, const std::string& aReason)
  {
    aMessage.refused = true;
    aMessage.status = aStatus;
    aMessage.output = aReason;
    aMessage.complete = true;
    this->Respond(aStream, aMessage);
  }

  MessagePtr Find(std::int32_t aStream) const
  {
    const auto found = this->messages.find(aStream);
    return found == this->messages.end() ? nullptr : found->second;
  }

  ssize_t ReadBody(std::int32_t aStream,
                   std::uint8_t* aBuffer,
                   std::size_t aLength,
                   std::uint32_t& aFlags) override
  {
    const MessagePtr message = this->Find(aStream);
    if (message == nullptr) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    const std::scoped_lock lock(message->mutex);
    const std::size_t bytes = std::min(aLength, message->output.size());
    std::copy_n(message->output.data(), bytes, aBuffer);
    message->output.erase(0, bytes);
    message->drained.notify_all();
    if (message->output.empty() && message->complete) {
      aFlags |= NGHTTP2_DATA_FLAG_EOF;
      return static_cast<ssize_t>(bytes);
    }
    return bytes > 0 ? static_cast<ssize_t>(bytes) : ssize_t{ NGHTTP2_ERR_DEFERRED };
  }

  void OnHeader(std::int32_t aStream, std::string_view aName, std::string_view aValue) override
  {
    MessagePtr& message = this->messages[aStream];
    if (message == nullptr) {
      message = std::make_shared<Message>();
    }
    if (aName == ":path") {
      message->path = aValue;
    } else if (aName == kKeyHeader) {
      message->key = aValue;
    }
  }

  void OnData(std::int32_t aStream, std::string_view aBytes) override
  {
    nghttp2_session_consume(this->Session(), aStream, aBytes.size());
    const MessagePtr message = this->Find(aStream);
    if (message == nullptr || message->refused) {
      return;
    }
    if (message->body.size() + aBytes.size() > kMaxPieceBytes) {
      this->Refuse(aStream, *message, kTooLarge, "the message is too large");
      return;
    }
    message->body.append(aBytes);
  }

  void OnFrame(const nghttp2_frame& aFrame) override
  {
    const std::int32_t stream = aFrame.hd.stream_id;
    const MessagePtr message = this->Find(stream);
    if (message == nullptr) {
      return;
    }
    if (aFrame.hd.type == NGHTTP2_HEADERS) {
      // The key arrives before the body, so bodies of unauthenticated peers are never buffered.
      if (!KeysMatch(this->core.options.key, message->key)) {
        this->Refuse(stream, *message, kUnauthorized, "");
      } else if (!this->core.HasHandler(message->path)) {
        this->Refuse(stream, *message, kNotFound, "no handler for " + message->path);
      }
    }
    const bool endsStream = (aFrame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    const bool canEndStream = aFrame.hd.type == NGHTTP2_HEADERS || aFrame.hd.type == NGHTTP2_DATA;
    if (canEndStream && endsStream && !message->refused) {
      this->Dispatch(stream, message);
    }
  }

  void Dispatch(std::int32_t aStream, const MessagePtr& aMessage)
  {
    const unsigned maxPending = this->core.options.threads * (1 + kMaxQueuedMessagesPerThread);
    if (this->core.stopping || this->core.pendingMessages >= maxPending) {
      nghttp2_submit_rst_stream(
        this->Session(), NGHTTP2_FLAG_NONE, aStream, NGHTTP2_REFUSED_STREAM);
      return;
    }
    ++this->core.pendingMessages;
    auto self = std::static_pointer_cast<ServerConnection>(this->shared_from_this());
    asio::post(this->core.workers, [self, aStream, aMessage] {
      self->HandleMessage(aStream, aMessage);
      --self->core.pendingMessages;
    });
  }

  void HandleMessage(std::int32_t aStream, const MessagePtr& aMessage)
  {
    {
      const std::scoped_lock lock(aMessage->mutex);
      if (aMessage->streamClosed) {
        return;
      }
    }
    bool sent = false;
    bool truncated = false;
    absl::Status outcome = this->core.Handle(*aMessage, [&](const std::string& aPiece) {
      const bool accepted = !truncated && this->Send(aStream, aMessage, aPiece);
      sent = sent || accepted;
      truncated = !accepted;
      return accepted;
    });
    // A handler may ignore a failed send; the answer must still be marked incomplete.
    if (truncated && outcome.ok()) {
      outcome = core::MakeError(errors::kLost, "the answer was cut");
    }
    Finish(*aMessage, outcome, sent);
    this->PostResume(aStream, aMessage);
  }

  static void Finish(Message& aMessage, const absl::Status& aOutcome, bool aSent)
  {
    const std::string reason(aOutcome.message());
    const std::scoped_lock lock(aMessage.mutex);
    if (!aOutcome.ok() && !aSent) {
      aMessage.status = kConflict;
      aMessage.output = reason;
    } else {
      aMessage.output += FormatFrame(aOutcome.ok() ? FrameKind::kEnd : FrameKind::kError, reason);
    }
    aMessage.complete = true;
  }

  bool Send(std::int32_t aStream, const MessagePtr& aMessage, const std::string& aPiece)
  {
    if (aPiece.size() > kMaxPieceBytes) {
      return false;
    }
    std::unique_lock lock(aMessage->mutex);
    const auto canContinue = [&] {
      return aMessage->streamClosed || this->core.stopping ||
             aMessage->output.size() < kMaxBufferedBytes;
    };
    const bool drained = aMessage->drained.wait_for(lock, kSendTimeout, canContinue);
    const bool isStream = std::string_view(aMessage->path).starts_with(kStreamPathPrefix);
    if (!drained || aMessage->streamClosed || (this->core.stopping && isStream)) {
      return false;
    }
    aMessage->output += FormatFrame(FrameKind::kPiece, aPiece);
    lock.unlock();
    this->PostResume(aStream, aMessage);
    return true;
  }

  void PostResume(std::int32_t aStream, const MessagePtr& aMessage)
  {
    auto self = std::static_pointer_cast<ServerConnection>(this->shared_from_this());
    asio::post(this->core.context, [self, aStream, aMessage] { self->Resume(aStream, aMessage); });
  }

  void OnFrameSending(const nghttp2_frame& /*aFrame*/) override {}

  void OnStreamClosed(std::int32_t aStream, std::uint32_t /*aCode*/) override
  {
    if (const MessagePtr message = this->Find(aStream); message != nullptr) {
      MarkStreamClosed(*message);
      this->messages.erase(aStream);
    }
  }

  void OnClosed() override
  {
    for (const auto& [stream, message] : this->messages) {
      MarkStreamClosed(*message);
    }
    this->messages.clear();
  }

  static void MarkStreamClosed(Message& aMessage)
  {
    const std::scoped_lock lock(aMessage.mutex);
    aMessage.streamClosed = true;
    aMessage.drained.notify_all();
  }

  ServerCore& core;
  std::map<std::int32_t, MessagePtr> messages;
};

class Http2PeerServer final : public PeerServer
{
public:
  Http2PeerServer(const PeerServerOptions& aOptions, PeerHandlers aHandlers)
    : core(aOptions, std::move(aHandlers))
    , acceptor(core.context)
    , stopTimer(core.context)
  {
  }

  ~Http2PeerServer() override { this->Http2PeerServer::Stop(); }

  absl::Status Start()
  {
    boost::system::error_code failure;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(this->core.options.host, failure),
                                           this->core.options.port);
    if (!failure) {
      this->acceptor.open(endpoint.protocol(), failure);
    }
    if (!failure) {
      this->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), failure);
      this->acceptor.bind(endpoint, failure);
    }
    if (!failure) {
      this->acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
      return core::MakeError(errors::kCannotListen, failure.message());
    }
    this->address = { this->core.options.host, this->acceptor.local_endpoint().port() };
    this->Accept();
    this->thread = std::thread([this] { this->core.context.run(); });
    return absl::OkStatus();
  }

  net::Address ListeningAddress() const override { return this->address; }

  void Stop() override
  {
    if (!this->thread.joinable()) {
      return;
    }
    this->core.stopping = true;
    asio::post(this->core.context, [this] {
      boost::system::error_code ignored;
      this->acceptor.close(ignored);
      this->ForEachConnection([](ServerConnection& aConnection) { aConnection.SubmitGoAway(); });
    });
    this->core.workers.join();
    asio::post(this->core.context, [this] {
      this->ForEachConnection(
        [](ServerConnection& aConnection) { aConnection.CloseWhenWritten(); });
      this->stopTimer.expires_after(kStopTimeout);
      this->stopTimer.async_wait([this](boost::system::error_code) { this->core.context.stop(); });
      this->StopWhenClosed();
    });
    this->thread.join();
    this->ForEachConnection([](ServerConnection& aConnection) { aConnection.Close(); });
  }

private:
  template<typename Action>
  void ForEachConnection(Action aAction)
  {
    for (const auto& weak : this->connections) {
      if (const auto connection = weak.lock(); connection != nullptr) {
        aAction(*connection);
      }
    }
  }

  void StopWhenClosed()
  {
    bool open = false;
    this->ForEachConnection(
      [&](const ServerConnection& aConnection) { open = open || !aConnection.IsClosed(); });
    if (!open) {
      this->stopTimer.cancel();
    } else {
      asio::post(this->core.context, [this] { this->StopWhenClosed(); });
    }
  }

  void Accept()
  {
    this->acceptor.async_accept([this](boost::system::error_code aFailure,
                                       asio::ip::tcp::socket aSocket) {
      if (!this->acceptor.is_open()) {
        return;
      }
      if (!aFailure) {
        std::erase_if(this->connections, [](const auto& aWeak) { return aWeak.expired(); });
        const auto connection = std::make_shared<ServerConnection>(std::move(aSocket), this->core);
        this->connections.push_back(connection);
        connection->Begin();
      }
      this->Accept();
    });
  }

  ServerCore core;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer stopTimer;
  std::vector<std::weak_ptr<ServerConnection>> connections;
  net::Address address;
  std::thread thread;
};

} // namespace

absl::StatusOr<std::unique_ptr<PeerServer>>
PeerServer::Create(const PeerServerOptions& aOptions, PeerHandlers aHandlers)
{
  auto server = std::make_unique<Http2PeerServer>(aOptions, std::move(aHandlers));
  if (absl::Status started = server->Start(); !started.ok()) {
    return started;
  }
  return server;
}

} // namespace plantainslip::peers
