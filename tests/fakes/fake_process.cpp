#include "fake_process.hpp"

#include <iostream>

#include <nlohmann/json.hpp>

#include <plantainslip/net/http_client.hpp>

#include "../../apps/common/stop_signal.hpp"

namespace plantainslip::fakes {

namespace {

using nlohmann::json;

void
Announce(const FakeSettings& aSettings,
         const std::string& aKind,
         const std::string& aService,
         const net::Address& aAddress)
{
  const auto platform = net::Address::Parse(aSettings.platform);
  if (!platform.ok()) {
    return;
  }
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/v1/instances";
  request.body = json{
    { "name", aSettings.name },
    { "zone", aSettings.zone },
    { "kind", aKind },
    { "service", aService },
    { "address", aAddress.Text() }
  }.dump();
  const auto reply = net::CallHttp(*platform, request);
  if (!reply.ok()) {
    std::cerr << "cannot be listed: " << reply.status().message() << "\n";
  }
}

} // namespace

void
AddFakeFlags(apps::CommandLine& aLine, FakeSettings& aSettings)
{
  aLine.Add("name", aSettings.name, "Name of the fake", "Identity");
  aLine.Add("zone", aSettings.zone, "Availability zone of the fake", "Identity");
  aLine.Add("port", aSettings.port, "Port to listen on; 0 takes a free one", "Network");
  aLine.Add("platform", aSettings.platform, "Platform on whose list the fake is put", "Network");
  aLine.Add("threads", aSettings.threads, "Most requests that are open at once", "Traffic");
}

int
ServeFake(const FakeSettings& aSettings,
          const std::string& aKind,
          const std::string& aService,
          net::HttpServer::Handler aHandler)
{
  net::HttpServerOptions options;
  options.port = aSettings.port;
  options.threads = aSettings.threads;
  const auto server = net::HttpServer::Create(options, std::move(aHandler));
  if (!server.ok()) {
    std::cerr << server.status().message() << "\n";
    return apps::kExitFailed;
  }
  std::cout << "listening " << (*server)->ListeningAddress().Text() << std::endl;
  if (!aKind.empty()) {
    Announce(aSettings, aKind, aService, (*server)->ListeningAddress());
  }
  apps::WaitForStopSignal();
  return apps::kExitDone;
}

} // namespace plantainslip::fakes
