#include <plantainslip/platform/http_platform.hpp>

#include <nlohmann/json.hpp>

#include <plantainslip/net/errors.hpp>
#include <plantainslip/net/http_client.hpp>
#include <plantainslip/platform/errors.hpp>

namespace plantainslip::platform {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailableStatus = 503;

StoredValue
ToStoredValue(const json& aLine)
{
  return StoredValue{ core::Revision(aLine.at("revision").get<std::uint64_t>()),
                      aLine.at("value").get<std::string>() };
}

class HttpStore final : public Store
{
public:
  HttpStore(net::Address aAddress, std::chrono::milliseconds aTimeout)
    : address(std::move(aAddress))
    , timeout(aTimeout)
  {
  }

  absl::StatusOr<std::optional<StoredValue>> Get(const std::string& aKey) override
  {
    return this->ReadOne("/v1/kv?key=" + net::EncodeQueryValue(aKey), this->timeout);
  }

  absl::StatusOr<std::vector<KeyedValue>> List(const std::string& aPrefix) override
  {
    auto answer =
      this->Call("GET", "/v1/kv?prefix=" + net::EncodeQueryValue(aPrefix), {}, this->timeout);
    if (!answer.ok()) {
      return answer.status();
    }
    try {
      std::vector<KeyedValue> values;
      for (const json& line : answer->at("values")) {
        values.push_back({ line.at("key").get<std::string>(), ToStoredValue(line) });
      }
      return values;
    } catch (const json::exception& problem) {
      return core::MakeError(errors::kBadAnswer, problem.what());
    }
  }

  absl::StatusOr<core::Revision> CompareAndSwap(const std::string& aKey,
                                                core::Revision aExpected,
                                                const std::string& aValue) override
  {
    if (aValue.size() > kLargestValueBytes) {
      return core::MakeError(errors::kValueTooLarge,
                             aKey + " has " + std::to_string(aValue.size()) + " bytes");
    }
    const json body = { { "expected", aExpected.Number() }, { "value", aValue } };
    auto answer =
      this->Call("PUT", "/v1/kv?key=" + net::EncodeQueryValue(aKey), body.dump(), this->timeout);
    if (!answer.ok()) {
      return answer.status();
    }
    return core::Revision(answer->value("revision", std::uint64_t{ 0 }));
  }

  absl::StatusOr<std::optional<StoredValue>> Watch(const std::string& aKey,
                                                   core::Revision aAfter,
                                                   std::chrono::milliseconds aTimeout) override
  {
    const std::string target = "/v1/kv?key=" + net::EncodeQueryValue(aKey) +
                               "&after=" + std::to_string(aAfter.Number()) +
                               "&wait_ms=" + std::to_string(aTimeout.count());
    return this->ReadOne(target, aTimeout + this->timeout);
  }

  absl::StatusOr<LeaseGrant> AcquireLease(const std::string& aName,
                                          const std::string& aHolder,
                                          std::chrono::milliseconds aDuration) override
  {
    return this->CallLease(
      aName,
      { { "action", "acquire" }, { "holder", aHolder }, { "duration_ms", aDuration.count() } },
      aDuration);
  }

  absl::StatusOr<LeaseGrant> RenewLease(const std::string& aName,
                                        core::FencingToken aToken,
                                        std::chrono::milliseconds aDuration) override
  {
    return this->CallLease(
      aName,
      { { "action", "renew" }, { "token", aToken.Number() }, { "duration_ms", aDuration.count() } },
      aDuration);
  }

  absl::Status ReleaseLease(const std::string& aName, core::FencingToken aToken) override
  {
    return this
      ->CallLease(aName,
                  { { "action", "release" }, { "token", aToken.Number() } },
                  std::chrono::milliseconds(0))
      .status();
  }

private:
  absl::StatusOr<json> Call(const std::string& aMethod,
                            const std::string& aTarget,
                            const std::string& aBody,
                            std::chrono::milliseconds aTimeout)
  {
    net::HttpRequest request;
    request.method = aMethod;
    request.target = aTarget;
    request.body = aBody;
    request.timeout = aTimeout;
    const auto reply = net::CallHttp(this->address, request);
    if (!reply.ok()) {
      const bool mayHaveWritten =
        aMethod != "GET" && !core::IsError(reply.status(), net::errors::kNotConnected);
      return core::MakeError(mayHaveWritten ? errors::kOutcomeUnknown : errors::kUnavailable,
                             reply.status().message());
    }
    return this->Interpret(*reply, aTarget);
  }

  absl::StatusOr<json> Interpret(const net::HttpReply& aReply, const std::string& aTarget)
  {
    switch (aReply.status) {
      case kOk:
        break;
      case kNotFound:
        return json(nullptr);
      case kConflict:
        return core::MakeError(errors::kRevisionConflict, aTarget + ": " + aReply.body);
      case kUnavailableStatus:
        return core::MakeError(errors::kUnavailable, aReply.body);
      default:
        return core::MakeError(errors::kBadAnswer, "status " + std::to_string(aReply.status));
    }
    json answer = json::parse(aReply.body, nullptr, false);
    if (!answer.is_object()) {
      return core::MakeError(errors::kBadAnswer, "the answer is not a JSON object");
    }
    return answer;
  }

  absl::StatusOr<std::optional<StoredValue>> ReadOne(const std::string& aTarget,
                                                     std::chrono::milliseconds aTimeout)
  {
    auto answer = this->Call("GET", aTarget, {}, aTimeout);
    if (!answer.ok()) {
      return answer.status();
    }
    if (answer->is_null()) {
      return std::optional<StoredValue>();
    }
    try {
      return std::optional<StoredValue>(ToStoredValue(*answer));
    } catch (const json::exception& problem) {
      return core::MakeError(errors::kBadAnswer, problem.what());
    }
  }

  absl::StatusOr<LeaseGrant> CallLease(const std::string& aName,
                                       const json& aBody,
                                       std::chrono::milliseconds aDuration)
  {
    auto answer = this->Call(
      "POST", "/v1/lease?name=" + net::EncodeQueryValue(aName), aBody.dump(), this->timeout);
    if (!answer.ok()) {
      if (core::IsError(answer.status(), errors::kRevisionConflict)) {
        return core::MakeError(errors::kLeaseHeld, aName);
      }
      return answer.status();
    }
    return LeaseGrant{ core::FencingToken(answer->value("token", std::uint64_t{ 0 })), aDuration };
  }

  net::Address address;
  std::chrono::milliseconds timeout;
};

} // namespace

std::unique_ptr<Store>
MakeHttpStore(net::Address aAddress, std::chrono::milliseconds aTimeout)
{
  return std::make_unique<HttpStore>(std::move(aAddress), aTimeout);
}

} // namespace plantainslip::platform
