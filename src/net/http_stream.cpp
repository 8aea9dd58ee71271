#include <array>
#include <limits>

#include <netinet/tcp.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <plantainslip/net/errors.hpp>
#include <plantainslip/net/http_client.hpp>
#include <plantainslip/net/response_end.hpp>

namespace plantainslip::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr int kHttpVersion = 11;
constexpr std::size_t kReadBytes = 16'384;

http::request<http::string_body>
ToBeastRequest(const Address& aAddress, const HttpRequest& aRequest)
{
  http::request<http::string_body> request;
  request.version(kHttpVersion);
  request.method_string(aRequest.method);
  request.target(aRequest.target);
  request.set(http::field::host, aAddress.Text());
  request.set(http::field::connection, "close");
  request.set(http::field::content_type, aRequest.contentType);
  for (const Header& header : aRequest.headers) {
    request.set(header.name, header.value);
  }
  request.body() = aRequest.body;
  request.prepare_payload();
  return request;
}

// CivetWeb's client blocks until its buffer is full, so streamed answers use Beast.
class BeastStream final : public HttpStream
{
public:
  BeastStream()
    : stream(context)
  {
    // Beast 1.74 rejects every body with a Content-Length if the limit is boost::none.
    this->parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  }

  absl::Status Connect(const Address& aAddress, const HttpRequest& aRequest)
  {
    beast::error_code failure;
    this->endpoint =
      asio::ip::tcp::endpoint(asio::ip::make_address(aAddress.host, failure), aAddress.port);
    if (!failure) {
      this->stream.expires_after(aRequest.timeout);
      this->stream.async_connect(this->endpoint, [&](beast::error_code aCode) { failure = aCode; });
      this->RunPendingOperation();
    }
    if (failure) {
      return core::MakeError(errors::kNotConnected, aAddress.Text() + ": " + failure.message());
    }
    this->stream.socket().set_option(asio::ip::tcp::no_delay(true), failure);
    return this->SetUnacknowledgedTimeout(aRequest.unacknowledgedTimeout);
  }

  absl::Status SendAndReadHead(const Address& aAddress, const HttpRequest& aRequest)
  {
    beast::error_code failure;
    const auto request = ToBeastRequest(aAddress, aRequest);
    this->stream.expires_after(aRequest.timeout);
    http::async_write(
      this->stream, request, [&](beast::error_code aCode, std::size_t) { failure = aCode; });
    this->RunPendingOperation();
    if (!failure) {
      this->stream.expires_after(aRequest.timeout);
      http::async_read_header(this->stream,
                              this->buffer,
                              this->parser,
                              [&](beast::error_code aCode, std::size_t) { failure = aCode; });
      this->RunPendingOperation();
    }
    if (failure) {
      return core::MakeError(errors::kNoAnswer, aAddress.Text() + ": " + failure.message());
    }
    if (!IsValidStatus(this->StatusCode())) {
      return core::MakeError(errors::kNoAnswer,
                             "invalid status " + std::to_string(this->StatusCode()));
    }
    return absl::OkStatus();
  }

  int StatusCode() const override { return static_cast<int>(this->parser.get().result_int()); }

  absl::StatusOr<std::optional<std::string>> Read(std::chrono::milliseconds aTimeout) override
  {
    while (!this->parser.is_done()) {
      std::array<char, kReadBytes> chunk;
      this->parser.get().body().data = chunk.data();
      this->parser.get().body().size = chunk.size();
      beast::error_code failure;
      this->stream.expires_after(aTimeout);
      http::async_read_some(this->stream,
                            this->buffer,
                            this->parser,
                            [&](beast::error_code aCode, std::size_t) { failure = aCode; });
      this->RunPendingOperation();
      if (failure && failure != http::error::need_buffer) {
        return core::MakeError(errors::kNoAnswer, failure.message());
      }
      const std::size_t bytesRead = chunk.size() - this->parser.get().body().size;
      if (bytesRead > 0) {
        return std::string(chunk.data(), bytesRead);
      }
    }
    ResponseEnd end;
    end.status = this->StatusCode();
    end.framing = this->parser.need_eof() ? BodyFraming::kConnectionEnd : BodyFraming::kLength;
    EndJudgement judgement = JudgeEnd(end);
    if (judgement == EndJudgement::kAskSender) {
      // Servers of the own interface have no report that identifies their process.
      end.sender =
        this->IsConnectionRefused(aTimeout) ? SenderState::kUnconfirmed : SenderState::kRunning;
      judgement = JudgeEnd(end);
    }
    if (judgement != EndJudgement::kWhole) {
      return core::MakeError(errors::kNoAnswer, std::string(Describe(judgement)));
    }
    return std::optional<std::string>();
  }

private:
  bool IsConnectionRefused(std::chrono::milliseconds aTimeout)
  {
    beast::error_code failure;
    beast::tcp_stream probe(this->context);
    probe.expires_after(aTimeout);
    probe.async_connect(this->endpoint, [&](beast::error_code aCode) { failure = aCode; });
    this->RunPendingOperation();
    return failure == asio::error::connection_refused;
  }

  absl::Status SetUnacknowledgedTimeout(std::chrono::milliseconds aTimeout)
  {
    if (aTimeout.count() == 0) {
      return absl::OkStatus();
    }
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    beast::error_code failure;
    this->stream.socket().set_option(UserTimeout(static_cast<int>(aTimeout.count())), failure);
    if (!failure) {
      this->stream.socket().set_option(asio::socket_base::linger(true, 0), failure);
    }
    return failure ? core::MakeError(errors::kNotConnected, failure.message()) : absl::OkStatus();
  }

  void RunPendingOperation()
  {
    this->context.restart();
    this->context.run();
  }

  asio::io_context context;
  asio::ip::tcp::endpoint endpoint;
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  http::response_parser<http::buffer_body> parser;
};

} // namespace

absl::StatusOr<std::unique_ptr<HttpStream>>
HttpStream::Open(const Address& aAddress, const HttpRequest& aRequest)
{
  auto stream = std::make_unique<BeastStream>();
  if (const absl::Status connected = stream->Connect(aAddress, aRequest); !connected.ok()) {
    return connected;
  }
  if (const absl::Status sent = stream->SendAndReadHead(aAddress, aRequest); !sent.ok()) {
    return sent;
  }
  return stream;
}

} // namespace plantainslip::net
