#include <plantainslip/targets/engine.hpp>

#include <nlohmann/json.hpp>
#include <targets/engine_messages.hpp>

#include <plantainslip/net/errors.hpp>
#include <plantainslip/net/http_client.hpp>
#include <plantainslip/targets/errors.hpp>

namespace plantainslip::targets {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kForbidden = 403;
constexpr std::size_t kMaxLineBytes = 1'000'000;

absl::Status
ConvertNetError(const absl::Status& aStatus)
{
  const bool notSent = core::IsError(aStatus, net::errors::kNotConnected);
  return core::MakeError(notSent ? errors::kUnreachable : errors::kLost, aStatus.message());
}

class HttpTokenStream final : public TokenStream
{
public:
  HttpTokenStream(std::unique_ptr<net::HttpStream> aStream, std::chrono::milliseconds aTimeout)
    : stream(std::move(aStream))
    , timeout(aTimeout)
  {
  }

  absl::StatusOr<TokenChunk> Next() override
  {
    std::size_t end = this->pending.find('\n');
    while (end == std::string::npos) {
      if (const absl::Status filled = this->ReadMore(); !filled.ok()) {
        return filled;
      }
      end = this->pending.find('\n');
    }
    const std::string line = this->pending.substr(0, end);
    this->pending.erase(0, end + 1);
    return ParseTokenChunk(line);
  }

private:
  absl::Status ReadMore()
  {
    if (this->pending.size() > kMaxLineBytes) {
      return core::MakeError(errors::kBadAnswer, "a line without an end");
    }
    const auto bytes = this->stream->Read(this->timeout);
    if (!bytes.ok()) {
      return ConvertNetError(bytes.status());
    }
    if (!bytes->has_value()) {
      return core::MakeError(errors::kLost, "the answer ended without its end marker");
    }
    this->pending += **bytes;
    return absl::OkStatus();
  }

  std::unique_ptr<net::HttpStream> stream;
  std::chrono::milliseconds timeout;
  std::string pending;
};

json
ToJson(const GenerateRequest& aRequest)
{
  return { { "request", aRequest.request.Text() },
           { "attempt", aRequest.attempt.Number() },
           { "model", aRequest.model },
           { "version", aRequest.version },
           { "adapter", aRequest.adapter },
           { "prompt", aRequest.prompt },
           { "max_tokens", aRequest.maxTokens.Number() },
           { "offset", aRequest.offset.Number() },
           { "priority", aRequest.priority } };
}

json
ToJson(const EngineOrder& aOrder)
{
  return { { "order", aOrder.order.Text() },       { "token", aOrder.token.Number() },
           { "kind", OrderKindName(aOrder.kind) }, { "model", aOrder.model },
           { "version", aOrder.version },          { "adapter", aOrder.adapter },
           { "role", RoleName(aOrder.role) } };
}

class HttpEngineClient final : public EngineClient
{
public:
  explicit HttpEngineClient(std::chrono::milliseconds aTimeout)
    : timeout(aTimeout)
  {
  }

  absl::StatusOr<std::unique_ptr<TokenStream>> Generate(const net::Address& aEngine,
                                                        const GenerateRequest& aRequest) override
  {
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/v1/generate";
    request.body = ToJson(aRequest).dump(-1, ' ', false, json::error_handler_t::replace);
    request.timeout = aRequest.timeout;
    auto stream = net::HttpStream::Open(aEngine, request);
    if (!stream.ok()) {
      return ConvertNetError(stream.status());
    }
    if ((*stream)->StatusCode() != kOk) {
      return core::MakeError(errors::kRefused, "status " + std::to_string((*stream)->StatusCode()));
    }
    return std::make_unique<HttpTokenStream>(*std::move(stream), aRequest.timeout);
  }

  absl::Status Cancel(const net::Address& aEngine,
                      const core::RequestId& aRequest,
                      core::AttemptNumber aAttempt) override
  {
    const json body = { { "request", aRequest.Text() }, { "attempt", aAttempt.Number() } };
    return this->Call(aEngine, "POST", "/v1/cancel", body.dump()).status();
  }

  absl::StatusOr<EngineReport> ReadReport(const net::Address& aEngine) override
  {
    const auto reply = this->Call(aEngine, "GET", "/v1/report", {});
    if (!reply.ok()) {
      return reply.status();
    }
    if (reply->status != kOk) {
      return core::MakeError(errors::kBadAnswer, "status " + std::to_string(reply->status));
    }
    return ParseEngineReport(reply->body);
  }

  absl::StatusOr<std::vector<CacheEvent>> ReadCacheEvents(const net::Address& aEngine,
                                                          std::uint64_t aAfter) override
  {
    const auto answer =
      this->GetJsonObject(aEngine, "/v1/cache-events?after=" + std::to_string(aAfter));
    if (!answer.ok()) {
      return answer.status();
    }
    try {
      std::vector<CacheEvent> events;
      for (const json& line : answer->at("events")) {
        events.push_back({ line.at("sequence").get<std::uint64_t>(),
                           line.at("piece").get<std::uint64_t>(),
                           line.at("stored").get<bool>() });
      }
      return events;
    } catch (const json::exception& problem) {
      return core::MakeError(errors::kBadAnswer, problem.what());
    }
  }

  absl::Status SendOrder(const net::Address& aEngine, const EngineOrder& aOrder) override
  {
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/v1/orders";
    request.body = ToJson(aOrder).dump();
    request.timeout = this->timeout;
    request.unacknowledgedTimeout = kMaxOrderDeliveryTime;
    const auto answer = net::HttpStream::Open(aEngine, request);
    if (!answer.ok()) {
      return ConvertNetError(answer.status());
    }
    const int status = (*answer)->StatusCode();
    if (status == kOk) {
      return absl::OkStatus();
    }
    return core::MakeError(status == kForbidden ? errors::kOrderFenced : errors::kOrderRefused,
                           "status " + std::to_string(status));
  }

private:
  absl::StatusOr<net::HttpReply> Call(const net::Address& aEngine,
                                      const std::string& aMethod,
                                      const std::string& aTarget,
                                      const std::string& aBody)
  {
    net::HttpRequest request;
    request.method = aMethod;
    request.target = aTarget;
    request.body = aBody;
    request.timeout = this->timeout;
    auto reply = net::CallHttp(aEngine, request);
    if (!reply.ok()) {
      return ConvertNetError(reply.status());
    }
    return reply;
  }

  absl::StatusOr<json> GetJsonObject(const net::Address& aEngine, const std::string& aTarget)
  {
    const auto reply = this->Call(aEngine, "GET", aTarget, {});
    if (!reply.ok()) {
      return reply.status();
    }
    json answer = json::parse(reply->body, nullptr, false);
    if (reply->status != kOk || !answer.is_object()) {
      return core::MakeError(errors::kBadAnswer, "status " + std::to_string(reply->status));
    }
    return answer;
  }

  std::chrono::milliseconds timeout;
};

} // namespace

std::unique_ptr<EngineClient>
MakeHttpEngineClient(std::chrono::milliseconds aTimeout)
{
  return std::make_unique<HttpEngineClient>(aTimeout);
}

} // namespace plantainslip::targets
