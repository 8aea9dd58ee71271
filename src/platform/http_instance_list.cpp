#include <plantainslip/platform/http_platform.hpp>

#include <nlohmann/json.hpp>

#include <plantainslip/net/http_client.hpp>
#include <plantainslip/platform/errors.hpp>

namespace plantainslip::platform {

namespace {

using nlohmann::json;

constexpr int kOk = 200;

ListedKind
ParseKind(const std::string& aText)
{
  if (aText == "engine") {
    return ListedKind::kEngine;
  }
  return aText == "service" ? ListedKind::kService : ListedKind::kEntry;
}

absl::StatusOr<ListedInstance>
ParseInstance(const json& aLine)
{
  const auto address = net::Address::Parse(aLine.at("address").get<std::string>());
  if (!address.ok()) {
    return core::MakeError(errors::kBadAnswer, address.status().message());
  }
  ListedInstance instance;
  instance.name = aLine.at("name").get<std::string>();
  instance.zone = core::ZoneId(aLine.at("zone").get<std::string>());
  instance.kind = ParseKind(aLine.at("kind").get<std::string>());
  instance.address = *address;
  const auto peerAddress = net::Address::Parse(aLine.value("peer_address", std::string()));
  instance.peerAddress = peerAddress.value_or(net::Address{});
  instance.service = core::ServiceName(aLine.value("service", std::string()));
  instance.leaving = aLine.value("leaving", false);
  return instance;
}

class HttpInstanceList final : public InstanceList
{
public:
  HttpInstanceList(net::Address aAddress, std::chrono::milliseconds aTimeout)
    : address(std::move(aAddress))
    , timeout(aTimeout)
  {
  }

  absl::StatusOr<std::vector<ListedInstance>> Read() override
  {
    net::HttpRequest request;
    request.target = "/v1/instances";
    request.timeout = this->timeout;
    const auto reply = net::CallHttp(this->address, request);
    if (!reply.ok()) {
      return core::MakeError(errors::kUnavailable, reply.status().message());
    }
    if (reply->status != kOk) {
      return core::MakeError(errors::kUnavailable, "status " + std::to_string(reply->status));
    }
    return this->ParseList(reply->body);
  }

private:
  absl::StatusOr<std::vector<ListedInstance>> ParseList(const std::string& aBody)
  {
    try {
      std::vector<ListedInstance> instances;
      const json answer = json::parse(aBody);
      for (const json& line : answer.at("instances")) {
        auto instance = ParseInstance(line);
        if (!instance.ok()) {
          return instance.status();
        }
        instances.push_back(*std::move(instance));
      }
      return instances;
    } catch (const json::exception& problem) {
      return core::MakeError(errors::kBadAnswer, problem.what());
    }
  }

  net::Address address;
  std::chrono::milliseconds timeout;
};

} // namespace

std::unique_ptr<InstanceList>
MakeHttpInstanceList(net::Address aAddress, std::chrono::milliseconds aTimeout)
{
  return std::make_unique<HttpInstanceList>(std::move(aAddress), aTimeout);
}

} // namespace plantainslip::platform
