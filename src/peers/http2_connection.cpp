#include "http2_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace plantainslip::peers {

namespace {

namespace asio = boost::asio;

constexpr std::size_t kWriteBatchBytes = 65'536;
constexpr std::int32_t kStreamWindowBytes = 1 << 20;
constexpr std::int32_t kConnectionWindowBytes = 1 << 24;
constexpr std::uint32_t kMaxConcurrentStreams = 4096;

} // namespace

Http2Connection&
Http2Connection::FromUserData(void* aConnection)
{
  return *static_cast<Http2Connection*>(aConnection);
}

nghttp2_session_callbacks*
Http2Connection::MakeCallbacks()
{
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(
    callbacks,
    [](nghttp2_session*,
       const nghttp2_frame* aFrame,
       const std::uint8_t* aName,
       std::size_t aNameBytes,
       const std::uint8_t* aValue,
       std::size_t aValueBytes,
       std::uint8_t,
       void* aConnection) {
      FromUserData(aConnection)
        .OnHeader(aFrame->hd.stream_id,
                  { reinterpret_cast<const char*>(aName), aNameBytes },
                  { reinterpret_cast<const char*>(aValue), aValueBytes });
      return 0;
    });
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
    callbacks,
    [](nghttp2_session*,
       std::uint8_t,
       std::int32_t aStream,
       const std::uint8_t* aBytes,
       std::size_t aLength,
       void* aConnection) {
      FromUserData(aConnection).OnData(aStream, { reinterpret_cast<const char*>(aBytes), aLength });
      return 0;
    });
  nghttp2_session_callbacks_set_on_frame_recv_callback(
    callbacks, [](nghttp2_session*, const nghttp2_frame* aFrame, void* aConnection) {
      FromUserData(aConnection).OnFrame(*aFrame);
      return 0;
    });
  nghttp2_session_callbacks_set_before_frame_send_callback(
    callbacks, [](nghttp2_session*, const nghttp2_frame* aFrame, void* aConnection) {
      FromUserData(aConnection).OnFrameSending(*aFrame);
      return 0;
    });
  nghttp2_session_callbacks_set_on_stream_close_callback(
    callbacks, [](nghttp2_session*, std::int32_t aStream, std::uint32_t aCode, void* aConnection) {
      FromUserData(aConnection).OnStreamClosed(aStream, aCode);
      return 0;
    });
  return callbacks;
}

Http2Connection::Http2Connection(asio::ip::tcp::socket aSocket, Side aSide)
  : socket(std::move(aSocket))
{
  nghttp2_session_callbacks* callbacks = MakeCallbacks();
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  // Flow control: windows are reopened only as data is consumed, so a slow reader slows its sender.
  nghttp2_option_set_no_auto_window_update(option, 1);
  if (aSide == Side::kClient) {
    nghttp2_session_client_new2(&this->session, callbacks, this, option);
  } else {
    nghttp2_session_server_new2(&this->session, callbacks, this, option);
  }
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  const std::array<nghttp2_settings_entry, 2> settings{
    { { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxConcurrentStreams },
      { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes } }
  };
  nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(
    this->session, NGHTTP2_FLAG_NONE, 0, kConnectionWindowBytes);
}

Http2Connection::~Http2Connection()
{
  nghttp2_session_del(this->session);
}

void
Http2Connection::Start()
{
  boost::system::error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->started = true;
  this->Read();
  this->Flush();
}

void
Http2Connection::Read()
{
  this->socket.async_read_some(
    asio::buffer(this->input),
    [self = this->shared_from_this()](boost::system::error_code aFailure, std::size_t aBytes) {
      if (self->closed) {
        return;
      }
      const bool accepted =
        !aFailure && nghttp2_session_mem_recv(self->session, self->input.data(), aBytes) >= 0;
      if (!accepted) {
        self->Close();
        return;
      }
      self->Flush();
      if (!self->closed) {
        self->Read();
      }
    });
}

bool
Http2Connection::CollectOutput()
{
  this->output.clear();
  while (this->output.size() < kWriteBatchBytes) {
    const std::uint8_t* bytes = nullptr;
    const ssize_t length = nghttp2_session_mem_send(this->session, &bytes);
    if (length < 0) {
      return false;
    }
    if (length == 0) {
      break;
    }
    this->output.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(length));
  }
  return true;
}

void
Http2Connection::Flush()
{
  if (!this->started || this->writing || this->closed) {
    return;
  }
  if (!this->CollectOutput()) {
    this->Close();
    return;
  }
  if (this->output.empty()) {
    const bool finished = nghttp2_session_want_read(this->session) == 0 &&
                          nghttp2_session_want_write(this->session) == 0;
    if (finished || this->closing) {
      this->Close();
    }
    return;
  }
  this->writing = true;
  asio::async_write(
    this->socket,
    asio::buffer(this->output),
    [self = this->shared_from_this()](boost::system::error_code aFailure, std::size_t) {
      self->writing = false;
      if (aFailure) {
        self->Close();
      } else {
        self->Flush();
      }
    });
}

void
Http2Connection::Close()
{
  if (this->closed) {
    return;
  }
  this->closed = true;
  boost::system::error_code ignored;
  this->socket.close(ignored);
  this->OnClosed();
}

void
Http2Connection::CloseWhenWritten()
{
  this->closing = true;
  this->Flush();
}

nghttp2_data_provider
Http2Connection::BodyProvider()
{
  nghttp2_data_provider provider{};
  provider.read_callback = [](nghttp2_session*,
                              std::int32_t aStream,
                              std::uint8_t* aBuffer,
                              std::size_t aLength,
                              std::uint32_t* aFlags,
                              nghttp2_data_source*,
                              void* aConnection) {
    return FromUserData(aConnection).ReadBody(aStream, aBuffer, aLength, *aFlags);
  };
  return provider;
}

nghttp2_nv
MakeHeader(std::string_view aName, std::string_view aValue)
{
  // nghttp2 copies both texts at submission and changes neither.
  const auto bytes = [](std::string_view aText) {
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(aText.data()));
  };
  return { bytes(aName), bytes(aValue), aName.size(), aValue.size(), NGHTTP2_NV_FLAG_NONE };
}

} // namespace plantainslip::peers
