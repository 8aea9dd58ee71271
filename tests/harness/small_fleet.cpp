#include "small_fleet.hpp"

namespace plantainslip::harness {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kCallTimeout = std::chrono::seconds(20);
constexpr const char* kEventStart = "data: ";

std::vector<std::string>
Join(std::vector<std::string> aFirst, const std::vector<std::string>& aSecond)
{
  aFirst.insert(aFirst.end(), aSecond.begin(), aSecond.end());
  return aFirst;
}

void
ReadEvents(StreamedAnswer& aAnswer)
{
  std::size_t at = 0;
  const std::string start = kEventStart;
  while ((at = aAnswer.raw.find(start, at)) != std::string::npos) {
    const std::size_t end = aAnswer.raw.find("\n\n", at);
    const std::string data = aAnswer.raw.substr(at + start.size(), end - at - start.size());
    at = end;
    if (data == "[DONE]") {
      aAnswer.whole = true;
      return;
    }
    const json event = json::parse(data, nullptr, false);
    if (event.contains("choices")) {
      aAnswer.text += event["choices"][0]["text"].get<std::string>();
    }
  }
}

} // namespace

SmallFleet::SmallFleet()
  : platform(std::make_unique<ChildProcess>("tests/fake-platform",
                                            std::vector<std::string>{ "--port", "0" }))
{
}

ChildProcess&
SmallFleet::Keep(std::unique_ptr<ChildProcess> aProcess)
{
  this->processes.push_back(std::move(aProcess));
  return *this->processes.back();
}

ChildProcess&
SmallFleet::AddEntry(const std::string& aName,
                     const std::string& aZone,
                     const std::vector<std::string>& aFlags)
{
  ChildProcess& entry =
    this->Keep(std::make_unique<ChildProcess>("apps/plantainslip-entry",
                                              Join({ "--instance",
                                                     aName,
                                                     "--zone",
                                                     aZone,
                                                     "--operator-key",
                                                     kOperatorKey,
                                                     "--peer-key",
                                                     kPeerKey,
                                                     "--platform",
                                                     this->platform->ListeningAddress().Text() },
                                                   aFlags)));
  Send(*this->platform,
       "POST",
       "/v1/instances",
       { { "name", aName },
         { "zone", aZone },
         { "kind", "entry" },
         { "address", entry.ListeningAddress().Text() },
         { "peer_address", entry.PeerAddress().Text() } });
  return entry;
}

ChildProcess&
SmallFleet::AddController(const std::string& aName,
                          const std::string& aZone,
                          const std::vector<std::string>& aFlags)
{
  return this->Keep(
    std::make_unique<ChildProcess>("apps/plantainslip-controller",
                                   Join({ "--instance",
                                          aName,
                                          "--zone",
                                          aZone,
                                          "--interval-ms",
                                          "50",
                                          "--peer-key",
                                          kPeerKey,
                                          "--platform",
                                          this->platform->ListeningAddress().Text() },
                                        aFlags),
                                   false));
}

ChildProcess&
SmallFleet::AddEngine(const std::string& aName,
                      const std::string& aZone,
                      const std::vector<std::string>& aFlags)
{
  return this->Keep(
    std::make_unique<ChildProcess>("tests/fake-engine",
                                   Join({ "--name",
                                          aName,
                                          "--zone",
                                          aZone,
                                          "--threads",
                                          "100",
                                          "--platform",
                                          this->platform->ListeningAddress().Text() },
                                        aFlags)));
}

ChildProcess&
SmallFleet::AddService(const std::string& aName,
                       const std::string& aZone,
                       const std::string& aService)
{
  return this->Keep(std::make_unique<ChildProcess>(
    "tests/fake-service",
    std::vector<std::string>{ "--name",
                              aName,
                              "--zone",
                              aZone,
                              "--threads",
                              "100",
                              "--service",
                              aService,
                              "--platform",
                              this->platform->ListeningAddress().Text() }));
}

int
SmallFleet::Patch(const ChildProcess& aEntry, std::uint64_t aBase, const json& aChange)
{
  const json body = { { "patch", "patch-after-" + std::to_string(aBase) },
                      { "base", aBase },
                      { "author", "test" },
                      { "change", aChange } };
  return Send(aEntry,
              "POST",
              "/v1/operator/patches",
              body,
              { { "Authorization", std::string("Bearer ") + kOperatorKey } })
    .status;
}

void
SmallFleet::AwaitVersion(const ChildProcess& aEntry, std::uint64_t aVersion)
{
  Await("version " + std::to_string(aVersion) + " is in force", [&] {
    const auto reply = Send(aEntry,
                            "GET",
                            "/v1/operator/fleet",
                            nullptr,
                            { { "Authorization", std::string("Bearer ") + kOperatorKey } });
    const json fleet = json::parse(reply.body, nullptr, false);
    return fleet.is_object() && fleet.value("version", std::uint64_t{ 0 }) >= aVersion;
  });
}

net::HttpReply
Send(const ChildProcess& aProcess,
     const std::string& aMethod,
     const std::string& aTarget,
     const json& aBody,
     const std::vector<net::Header>& aHeaders)
{
  net::HttpRequest request;
  request.method = aMethod;
  request.target = aTarget;
  request.body = aBody.is_null() ? std::string() : aBody.dump();
  request.headers = aHeaders;
  request.timeout = kCallTimeout;
  return net::CallHttp(aProcess.ListeningAddress(), request).value_or(net::HttpReply{});
}

StreamedAnswer
Complete(const ChildProcess& aEntry, const json& aBody, const std::function<void()>& aOnPiece)
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/v1/completions";
  request.body = aBody.dump();
  request.timeout = kCallTimeout;
  StreamedAnswer answer;
  const auto stream = net::HttpStream::Open(aEntry.ListeningAddress(), request);
  if (!stream.ok()) {
    return answer;
  }
  answer.status = (*stream)->StatusCode();
  for (;;) {
    const auto piece = (*stream)->Read(kCallTimeout);
    if (!piece.ok() || !piece->has_value()) {
      break;
    }
    answer.raw += **piece;
    if (aOnPiece) {
      aOnPiece();
    }
  }
  ReadEvents(answer);
  return answer;
}

} // namespace plantainslip::harness
