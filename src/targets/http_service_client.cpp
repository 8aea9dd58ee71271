#include <plantainslip/targets/plain_service.hpp>

#include <plantainslip/net/errors.hpp>
#include <plantainslip/net/http_client.hpp>
#include <plantainslip/targets/errors.hpp>

namespace plantainslip::targets {

namespace {

constexpr std::size_t kMaxAnswerBytes = 4'000'000;

absl::Status
ConvertNetError(const absl::Status& aStatus)
{
  const bool notSent = core::IsError(aStatus, net::errors::kNotConnected);
  return core::MakeError(notSent ? errors::kUnreachable : errors::kLost, aStatus.message());
}

net::HttpRequest
ToHttpRequest(const ServiceCall& aCall)
{
  net::HttpRequest request;
  request.method = aCall.method;
  request.target = aCall.path;
  request.contentType = aCall.contentType;
  request.body = aCall.body;
  request.timeout = aCall.timeout;
  request.headers.push_back({ "X-Request-Id", aCall.request.Text() });
  if (!aCall.key.Empty()) {
    request.headers.push_back({ "Idempotency-Key", aCall.key.Text() });
  }
  return request;
}

class HttpServiceClient final : public ServiceClient
{
public:
  absl::StatusOr<ServiceReply> Call(const net::Address& aService, const ServiceCall& aCall) override
  {
    const auto stream = net::HttpStream::Open(aService, ToHttpRequest(aCall));
    if (!stream.ok()) {
      return ConvertNetError(stream.status());
    }
    ServiceReply reply;
    reply.status = (*stream)->StatusCode();
    for (;;) {
      const auto bytes = (*stream)->Read(aCall.timeout);
      if (!bytes.ok()) {
        return ConvertNetError(bytes.status());
      }
      if (!bytes->has_value()) {
        return reply;
      }
      reply.body += **bytes;
      if (reply.body.size() > kMaxAnswerBytes) {
        return core::MakeError(errors::kLost, "the answer is too large");
      }
    }
  }
};

} // namespace

std::unique_ptr<ServiceClient>
MakeHttpServiceClient()
{
  return std::make_unique<HttpServiceClient>();
}

} // namespace plantainslip::targets
