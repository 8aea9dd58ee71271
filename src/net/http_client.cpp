#include <plantainslip/net/http_client.hpp>

#include <array>

#include <civetweb.h>

#include <plantainslip/net/errors.hpp>
#include <plantainslip/net/response_end.hpp>

namespace plantainslip::net {

namespace {

constexpr std::size_t kErrorTextBytes = 256;
constexpr std::size_t kReadBytes = 16'384;
constexpr std::size_t kEncodedByteLength = 3;
constexpr int kNoTls = 0;

struct ConnectionCloser
{
  void operator()(mg_connection* aConnection) const { mg_close_connection(aConnection); }
};

using Connection = std::unique_ptr<mg_connection, ConnectionCloser>;

std::string
FormatRequest(const Address& aAddress, const HttpRequest& aRequest)
{
  std::string text = aRequest.method + " " + aRequest.target + " HTTP/1.1\r\n";
  text += "Host: " + aAddress.Text() + "\r\nConnection: close\r\n";
  text += "Content-Type: " + aRequest.contentType + "\r\n";
  for (const Header& header : aRequest.headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(aRequest.body.size()) + "\r\n\r\n";
  return text + aRequest.body;
}

absl::StatusOr<std::string>
ReadBody(mg_connection* aConnection, long long aContentLength)
{
  std::string body;
  std::array<char, kReadBytes> buffer{};
  int bytesRead = 0;
  while ((bytesRead = mg_read(aConnection, buffer.data(), buffer.size())) > 0) {
    body.append(buffer.data(), static_cast<std::size_t>(bytesRead));
  }
  if (bytesRead < 0 || static_cast<long long>(body.size()) < aContentLength) {
    return core::MakeError(errors::kNoAnswer, "the answer was cut");
  }
  return body;
}

} // namespace

absl::StatusOr<HttpReply>
CallHttp(const Address& aAddress, const HttpRequest& aRequest)
{
  std::array<char, kErrorTextBytes> errorText{};
  const Connection connection(mg_connect_client(
    aAddress.host.c_str(), aAddress.port, kNoTls, errorText.data(), errorText.size()));
  if (connection == nullptr) {
    return core::MakeError(errors::kNotConnected, aAddress.Text() + ": " + errorText.data());
  }
  const std::string request = FormatRequest(aAddress, aRequest);
  const int sent = mg_write(connection.get(), request.data(), request.size());
  if (sent != static_cast<int>(request.size())) {
    return core::MakeError(errors::kNoAnswer, aAddress.Text() + ": the request was cut");
  }
  const int timeout = static_cast<int>(aRequest.timeout.count());
  if (mg_get_response(connection.get(), errorText.data(), errorText.size(), timeout) < 0) {
    return core::MakeError(errors::kNoAnswer, aAddress.Text() + ": " + errorText.data());
  }
  const mg_response_info* info = mg_get_response_info(connection.get());
  if (!IsValidStatus(info->status_code)) {
    return core::MakeError(errors::kNoAnswer,
                           "invalid status " + std::to_string(info->status_code));
  }
  absl::StatusOr<std::string> body = ReadBody(connection.get(), info->content_length);
  if (!body.ok()) {
    return body.status();
  }
  return HttpReply{ info->status_code, *std::move(body) };
}

std::string
EncodeQueryValue(const std::string& aText)
{
  std::string encoded(aText.size() * kEncodedByteLength + 1, '\0');
  const int length = mg_url_encode(aText.c_str(), encoded.data(), encoded.size());
  encoded.resize(static_cast<std::size_t>(std::max(length, 0)));
  return encoded;
}

} // namespace plantainslip::net
