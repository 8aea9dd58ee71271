#include <plantainslip/peers/peer_client.hpp>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <nghttp2/nghttp2.h>

#include <plantainslip/peers/errors.hpp>

#include "http2_connection.hpp"
#include "piece_framing.hpp"

namespace plantainslip::peers {

namespace {

namespace asio = boost::asio;
using Deadline = std::chrono::steady_clock::time_point;

constexpr std::size_t kMaxBufferedBytes = 1 << 18;
constexpr int kNoStatus = 0;
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;

// State of one message, shared by the connection's thread and the caller's thread.
struct Exchange
{
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::string> pieces;
  std::size_t bufferedBytes = 0;
  bool receivedPiece = false;
  bool succeeded = false;
  bool finished = false;
  absl::Status failure;

  // The members below are used on the connection's thread only.
  std::string path;
  std::string body;
  std::size_t sentBytes = 0;
  std::size_t unconsumedBytes = 0;
  std::int32_t stream = 0;
  int status = kNoStatus;
  std::string refusal;
  FrameReader reader;
  bool sendingStarted = false;

  void Finish(absl::Status aStatus)
  {
    const std::scoped_lock lock(this->mutex);
    if (!this->finished) {
      this->finished = true;
      this->succeeded = aStatus.ok();
      this->failure = std::move(aStatus);
    }
    this->changed.notify_all();
  }

  void AddPiece(std::string aPiece)
  {
    const std::scoped_lock lock(this->mutex);
    this->receivedPiece = true;
    this->bufferedBytes += aPiece.size();
    this->pieces.push_back(std::move(aPiece));
    this->changed.notify_all();
  }
};

using ExchangePtr = std::shared_ptr<Exchange>;

class ClientConnection final : public Http2Connection
{
public:
  ClientConnection(asio::io_context& aContext, net::Address aPeer, const std::string& aKey)
    : Http2Connection(asio::ip::tcp::socket(aContext), Side::kClient)
    , peer(std::move(aPeer))
    , key(aKey)
  {
  }

  void Connect()
  {
    boost::system::error_code failure;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(this->peer.host, failure),
                                           this->peer.port);
    if (failure) {
      this->Close();
      return;
    }
    auto self = std::static_pointer_cast<ClientConnection>(this->shared_from_this());
    this->Socket().async_connect(endpoint, [self](boost::system::error_code aCode) {
      if (self->IsClosed()) {
        return;
      }
      if (aCode) {
        self->Close();
      } else {
        self->Start();
      }
    });
  }

  // The session queues the stream until the connection is established.
  void Submit(const ExchangePtr& aExchange)
  {
    const std::string authority = this->peer.Text();
    const std::array<nghttp2_nv, 5> headers{ MakeHeader(":method", "POST"),
                                             MakeHeader(":scheme", "http"),
                                             MakeHeader(":authority", authority),
                                             MakeHeader(":path", aExchange->path),
                                             MakeHeader(kKeyHeader, this->key) };
    const nghttp2_data_provider provider = this->BodyProvider();
    const std::int32_t stream = nghttp2_submit_request(
      this->Session(), nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (stream < 0) {
      aExchange->Finish(core::MakeError(errors::kUnreachable, "no more streams"));
      this->retired = true;
      return;
    }
    aExchange->stream = stream;
    this->exchanges[stream] = aExchange;
    this->Flush();
  }

  void Cancel(const ExchangePtr& aExchange, const std::string& aReason)
  {
    aExchange->Finish(this->MakeFailure(*aExchange, aReason));
    if (this->IsClosed() || !this->exchanges.contains(aExchange->stream)) {
      return;
    }
    nghttp2_submit_rst_stream(
      this->Session(), NGHTTP2_FLAG_NONE, aExchange->stream, NGHTTP2_CANCEL);
    this->Flush();
  }

  // Called after a timeout, so that later messages use a new connection.
  void Retire() { this->retired = true; }
  bool IsUsable() const { return !this->retired && !this->IsClosed(); }

  void ReopenWindow(const ExchangePtr& aExchange)
  {
    if (!this->IsClosed() && this->exchanges.contains(aExchange->stream)) {
      this->Consume(*aExchange);
      this->Flush();
    }
  }

private:
  // Only complete, unread pieces count towards the limit: if partial pieces counted, the window
  // could close before a piece is complete.
  void Consume(Exchange& aExchange)
  {
    {
      const std::scoped_lock lock(aExchange.mutex);
      if (aExchange.bufferedBytes > kMaxBufferedBytes) {
        return;
      }
    }
    nghttp2_session_consume_stream(
      this->Session(), aExchange.stream, std::exchange(aExchange.unconsumedBytes, 0));
  }

  absl::Status MakeFailure(const Exchange& aExchange, const std::string& aReason) const
  {
    const std::string detail = this->peer.Text() + ": " + aReason;
    return core::MakeError(aExchange.sendingStarted ? errors::kLost : errors::kUnreachable, detail);
  }

  ExchangePtr Find(std::int32_t aStream) const
  {
    const auto found = this->exchanges.find(aStream);
    return found == this->exchanges.end() ? nullptr : found->second;
  }

  ssize_t ReadBody(std::int32_t aStream,
                   std::uint8_t* aBuffer,
                   std::size_t aLength,
                   std::uint32_t& aFlags) override
  {
    const ExchangePtr exchange = this->Find(aStream);
    if (exchange == nullptr) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    const std::size_t bytes = std::min(aLength, exchange->body.size() - exchange->sentBytes);
    std::copy_n(exchange->body.data() + exchange->sentBytes, bytes, aBuffer);
    exchange->sentBytes += bytes;
    if (exchange->sentBytes == exchange->body.size()) {
      aFlags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(bytes);
  }

  void OnHeader(std::int32_t aStream, std::string_view aName, std::string_view aValue) override
  {
    const ExchangePtr exchange = this->Find(aStream);
    if (exchange != nullptr && aName == ":status") {
      exchange->status = std::atoi(std::string(aValue).c_str());
    }
  }

  void OnData(std::int32_t aStream, std::string_view aBytes) override
  {
    nghttp2_session_consume_connection(this->Session(), aBytes.size());
    const ExchangePtr exchange = this->Find(aStream);
    if (exchange == nullptr) {
      return;
    }
    exchange->unconsumedBytes += aBytes.size();
    if (exchange->status != kOk) {
      exchange->refusal.append(aBytes);
      return;
    }
    exchange->reader.Append(aBytes);
    while (auto frame = exchange->reader.Next()) {
      this->HandleFrame(*exchange, *std::move(frame));
    }
    if (exchange->reader.IsMalformed()) {
      exchange->Finish(core::MakeError(errors::kLost, "the peer's answer cannot be read"));
    }
    this->Consume(*exchange);
  }

  static void HandleFrame(Exchange& aExchange, PieceFrame aFrame)
  {
    switch (aFrame.kind) {
      case FrameKind::kPiece:
        aExchange.AddPiece(std::move(aFrame.text));
        break;
      case FrameKind::kEnd:
        aExchange.Finish(absl::OkStatus());
        break;
      case FrameKind::kError:
        aExchange.Finish(core::MakeError(errors::kRefused, aFrame.text));
        break;
    }
  }

  void OnFrame(const nghttp2_frame& aFrame) override
  {
    if (aFrame.hd.type == NGHTTP2_GOAWAY) {
      this->retired = true;
    }
  }

  void OnFrameSending(const nghttp2_frame& aFrame) override
  {
    const ExchangePtr exchange = this->Find(aFrame.hd.stream_id);
    if (exchange != nullptr && aFrame.hd.type == NGHTTP2_HEADERS) {
      exchange->sendingStarted = true;
    }
  }

  void OnStreamClosed(std::int32_t aStream, std::uint32_t aCode) override
  {
    const ExchangePtr exchange = this->Find(aStream);
    if (exchange == nullptr) {
      return;
    }
    this->exchanges.erase(aStream);
    if (aCode == NGHTTP2_REFUSED_STREAM) {
      // REFUSED_STREAM guarantees that the peer did not process the message.
      exchange->Finish(core::MakeError(errors::kUnreachable, "the peer takes no more messages"));
    } else if (exchange->status == kUnauthorized) {
      exchange->Finish(core::MakeError(errors::kNotAuthorized, this->peer.Text()));
    } else if (exchange->status != kNoStatus && exchange->status != kOk) {
      exchange->Finish(core::MakeError(errors::kRefused, exchange->refusal));
    } else {
      exchange->Finish(this->MakeFailure(*exchange, "the stream ended early"));
    }
  }

  void OnClosed() override
  {
    for (const auto& [stream, exchange] : this->exchanges) {
      exchange->Finish(this->MakeFailure(*exchange, "the connection was lost"));
    }
    this->exchanges.clear();
  }

  net::Address peer;
  const std::string& key;
  std::map<std::int32_t, ExchangePtr> exchanges;
  bool retired = false;
};

using ConnectionPtr = std::shared_ptr<ClientConnection>;

class ClientStream final : public PeerStream
{
public:
  ClientStream(asio::io_context& aContext,
               ConnectionPtr aConnection,
               ExchangePtr aExchange,
               std::chrono::milliseconds aTimeout)
    : context(aContext)
    , connection(std::move(aConnection))
    , exchange(std::move(aExchange))
    , timeout(aTimeout)
  {
  }

  ~ClientStream() override { this->Cancel("the reader has gone", false); }

  absl::StatusOr<std::optional<std::string>> Next() override
  {
    return this->NextBefore(std::chrono::steady_clock::now() + this->timeout);
  }

  absl::Status WaitForFirstPiece(Deadline aDeadline)
  {
    std::unique_lock lock(this->exchange->mutex);
    const auto hasBegun = [&] { return this->exchange->receivedPiece || this->exchange->finished; };
    if (!this->exchange->changed.wait_until(lock, aDeadline, hasBegun)) {
      lock.unlock();
      this->CancelAndWait();
      lock.lock();
    }
    const bool failed = this->exchange->finished && !this->exchange->succeeded;
    return this->exchange->pieces.empty() && failed ? this->exchange->failure : absl::OkStatus();
  }

  absl::StatusOr<std::optional<std::string>> NextBefore(Deadline aDeadline)
  {
    std::unique_lock lock(this->exchange->mutex);
    const auto ready = [&] { return !this->exchange->pieces.empty() || this->exchange->finished; };
    if (!this->exchange->changed.wait_until(lock, aDeadline, ready)) {
      lock.unlock();
      this->CancelAndWait();
      lock.lock();
    }
    if (!this->exchange->pieces.empty()) {
      std::string piece = std::move(this->exchange->pieces.front());
      this->exchange->pieces.pop_front();
      this->exchange->bufferedBytes -= piece.size();
      lock.unlock();
      this->PostReopenWindow();
      return std::optional<std::string>(std::move(piece));
    }
    if (this->exchange->succeeded) {
      return std::optional<std::string>();
    }
    return this->exchange->failure;
  }

private:
  void PostReopenWindow()
  {
    asio::post(this->context, [connection = this->connection, exchange = this->exchange] {
      connection->ReopenWindow(exchange);
    });
  }

  void Cancel(const std::string& aReason, bool aTimedOut)
  {
    asio::post(this->context,
               [connection = this->connection, exchange = this->exchange, aReason, aTimedOut] {
                 if (aTimedOut) {
                   connection->Retire();
                 }
                 connection->Cancel(exchange, aReason);
               });
  }

  // Only the connection's thread knows whether the message was sent, so wait for its result.
  void CancelAndWait()
  {
    this->Cancel("no answer in time", true);
    std::unique_lock lock(this->exchange->mutex);
    this->exchange->changed.wait(lock, [&] { return this->exchange->finished; });
  }

  asio::io_context& context;
  ConnectionPtr connection;
  ExchangePtr exchange;
  std::chrono::milliseconds timeout;
};

class Http2PeerClient final : public PeerClient
{
public:
  explicit Http2PeerClient(std::string aKey)
    : key(std::move(aKey))
    , work(asio::make_work_guard(context))
    , thread([this] { this->context.run(); })
  {
  }

  ~Http2PeerClient() override
  {
    asio::post(this->context, [this] {
      for (const auto& [peer, connection] : this->connections) {
        connection->Close();
      }
      this->connections.clear();
    });
    this->work.reset();
    this->thread.join();
  }

  absl::StatusOr<std::string> Call(const net::Address& aPeer,
                                   const std::string& aKind,
                                   const std::string& aBody,
                                   std::chrono::milliseconds aTimeout) override
  {
    const Deadline deadline = std::chrono::steady_clock::now() + aTimeout;
    const auto stream = this->Send(aPeer, std::string(kCallPathPrefix) + aKind, aBody, aTimeout);
    std::string answer;
    for (;;) {
      auto piece = stream->NextBefore(deadline);
      if (!piece.ok()) {
        return piece.status();
      }
      if (!piece->has_value()) {
        return answer;
      }
      answer += **piece;
    }
  }

  absl::StatusOr<std::unique_ptr<PeerStream>> OpenStream(
    const net::Address& aPeer,
    const std::string& aKind,
    const std::string& aBody,
    std::chrono::milliseconds aTimeout) override
  {
    const Deadline deadline = std::chrono::steady_clock::now() + aTimeout;
    auto stream = this->Send(aPeer, std::string(kStreamPathPrefix) + aKind, aBody, aTimeout);
    if (absl::Status status = stream->WaitForFirstPiece(deadline); !status.ok()) {
      return status;
    }
    return stream;
  }

private:
  std::unique_ptr<ClientStream> Send(const net::Address& aPeer,
                                     std::string aPath,
                                     const std::string& aBody,
                                     std::chrono::milliseconds aTimeout)
  {
    auto exchange = std::make_shared<Exchange>();
    exchange->path = std::move(aPath);
    exchange->body = aBody;
    const ConnectionPtr connection = this->ConnectionTo(aPeer);
    asio::post(this->context, [connection, exchange] {
      if (connection->IsClosed()) {
        exchange->Finish(core::MakeError(errors::kUnreachable, "the connection is closed"));
      } else {
        connection->Submit(exchange);
      }
    });
    return std::make_unique<ClientStream>(this->context, connection, exchange, aTimeout);
  }

  ConnectionPtr ConnectionTo(const net::Address& aPeer)
  {
    std::promise<ConnectionPtr> promise;
    auto future = promise.get_future();
    asio::post(this->context, [this, aPeer, &promise] {
      ConnectionPtr& connection = this->connections[aPeer];
      if (connection == nullptr || !connection->IsUsable()) {
        connection = std::make_shared<ClientConnection>(this->context, aPeer, this->key);
        connection->Connect();
      }
      promise.set_value(connection);
    });
    return future.get();
  }

  std::string key;
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  std::map<net::Address, ConnectionPtr> connections;
  std::thread thread;
};

} // namespace

std::unique_ptr<PeerClient>
MakeHttp2PeerClient(std::string aKey)
{
  return std::make_unique<Http2PeerClient>(std::move(aKey));
}

} // namespace plantainslip::peers
