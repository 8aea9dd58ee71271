#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <nghttp2/nghttp2.h>

namespace plantainslip::peers {

/// @brief One HTTP/2 connection: moves bytes between a socket and an nghttp2 session.
/// @note All functions run on the thread of the socket's executor.
class Http2Connection : public std::enable_shared_from_this<Http2Connection>
{
public:
  enum class Side
  {
    kClient,
    kServer,
  };

  virtual ~Http2Connection();
  Http2Connection(const Http2Connection&) = delete;
  Http2Connection& operator=(const Http2Connection&) = delete;

  /// @brief Writes the session's pending output. Must not be called from an On...() callback.
  void Flush();
  /// @brief Closes the socket; open streams are ended by OnClosed(), not by OnStreamClosed().
  void Close();
  /// @brief Closes the socket after all pending output has been written.
  void CloseWhenWritten();
  bool IsClosed() const { return this->closed; }

protected:
  Http2Connection(boost::asio::ip::tcp::socket aSocket, Side aSide);

  /// @brief Starts reading; the socket must be connected.
  void Start();

  nghttp2_session* Session() { return this->session; }
  boost::asio::ip::tcp::socket& Socket() { return this->socket; }

  /// @brief Provides the next bytes of a stream's body.
  /// @param aBuffer  receives the bytes
  /// @param aFlags  receives NGHTTP2_DATA_FLAG_EOF with the last bytes
  /// @return bytes written or NGHTTP2_ERR_DEFERRED
  virtual ssize_t ReadBody(std::int32_t aStream,
                           std::uint8_t* aBuffer,
                           std::size_t aLength,
                           std::uint32_t& aFlags) = 0;
  virtual void OnHeader(std::int32_t aStream, std::string_view aName, std::string_view aValue) = 0;
  virtual void OnData(std::int32_t aStream, std::string_view aBytes) = 0;
  virtual void OnFrame(const nghttp2_frame& aFrame) = 0;
  virtual void OnFrameSending(const nghttp2_frame& aFrame) = 0;
  virtual void OnStreamClosed(std::int32_t aStream, std::uint32_t aCode) = 0;
  virtual void OnClosed() = 0;

  /// @brief Data provider that calls ReadBody().
  nghttp2_data_provider BodyProvider();

private:
  static constexpr std::size_t kReadBytes = 65'536;

  void Read();
  bool CollectOutput();
  static Http2Connection& FromUserData(void* aConnection);
  static nghttp2_session_callbacks* MakeCallbacks();

  boost::asio::ip::tcp::socket socket;
  nghttp2_session* session = nullptr;
  std::array<std::uint8_t, kReadBytes> input{};
  std::string output;
  bool started = false;
  bool writing = false;
  bool closing = false;
  bool closed = false;
};

/// @brief Makes a request or response header; both texts must stay valid until it is submitted.
nghttp2_nv
MakeHeader(std::string_view aName, std::string_view aValue);

} // namespace plantainslip::peers
