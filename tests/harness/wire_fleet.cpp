#include "wire_fleet.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <stdexcept>

#include <arpa/inet.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include "raw_connection.hpp"

namespace plantainslip::harness {

using nlohmann::json;

/// @brief Reserves ports of the loopback address, so that no other process gets them.
///
/// A program can listen on a port for connections while it is reserved, as both sockets allow reuse
/// of the address. Ports for datagrams are free again after ReleaseDatagramPorts().
class PortReservation
{
public:
  PortReservation() = default;
  ~PortReservation()
  {
    this->ReleaseDatagramPorts();
    CloseAll(this->connectionPorts);
  }
  PortReservation(const PortReservation&) = delete;
  PortReservation& operator=(const PortReservation&) = delete;

  /// @brief Binds a port.
  /// @param aPort  the port, or 0 for any
  /// @return the port, or nullopt if it is in use
  std::optional<std::uint16_t> Reserve(int aType, std::uint16_t aPort)
  {
    const int descriptor = ::socket(AF_INET, aType, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(aPort);
    socklen_t size = sizeof(address);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): sockets interface
    auto* const genericAddress = reinterpret_cast<sockaddr*>(&address);
    if (::bind(descriptor, genericAddress, size) != 0 ||
        ::getsockname(descriptor, genericAddress, &size) != 0) {
      ::close(descriptor);
      return std::nullopt;
    }
    (aType == SOCK_STREAM ? this->connectionPorts : this->datagramPorts).push_back(descriptor);
    // Set only now, as a port that is bound with it may be given to another reservation as well.
    const int reuse = aType == SOCK_STREAM ? 1 : 0;
    (void)::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    return ntohs(address.sin_port);
  }

  /// @brief Reserves a port for datagrams and connections, and the next port for connections.
  std::uint16_t ReservePair()
  {
    // Ports of connections that have ended stay in use for a while, so many attempts may fail; they
    // must not hold their descriptors.
    while (true) {
      const std::size_t before = this->connectionPorts.size();
      const auto first = this->Reserve(SOCK_DGRAM, 0);
      constexpr std::uint16_t kMaxPort = 65'535;
      if (first.has_value() && *first < kMaxPort &&
          this->Reserve(SOCK_STREAM, *first).has_value() &&
          this->Reserve(SOCK_STREAM, static_cast<std::uint16_t>(*first + 1)).has_value()) {
        return *first;
      }
      if (this->connectionPorts.size() > before) {
        ::close(this->connectionPorts.back());
        this->connectionPorts.pop_back();
      }
      this->ReleaseDatagramPorts();
    }
  }

  void ReleaseDatagramPorts() { CloseAll(this->datagramPorts); }

private:
  static void CloseAll(std::vector<int>& aDescriptors)
  {
    for (const int descriptor : aDescriptors) {
      ::close(descriptor);
    }
    aDescriptors.clear();
  }

  std::vector<int> connectionPorts;
  std::vector<int> datagramPorts;
};

namespace {

json
MakeRoute(const std::string& aName, const std::string& aKind, const std::string& aService)
{
  return { { "name", aName },     { "host", "h.example" }, { "prefix", "/" + aName + "/" },
           { "kind", aKind },     { "timeoutMs", 5'000 },  { "targetLatencyMs", 500 },
           { "priority", 1 },     { "service", aService }, { "attempts", 1 },
           { "targetGapMs", 250 } };
}

std::string
DecodeChunked(const std::string& aBody, bool& aComplete)
{
  std::string body;
  std::size_t at = 0;
  aComplete = false;
  while (true) {
    const std::size_t lineEnd = aBody.find("\r\n", at);
    if (lineEnd == std::string::npos) {
      return body;
    }
    const std::size_t size = std::stoul(aBody.substr(at, lineEnd - at), nullptr, 16);
    if (size == 0) {
      aComplete = true;
      return body;
    }
    body += aBody.substr(lineEnd + 2, size);
    at = lineEnd + 2 + size + 2;
    if (at > aBody.size()) {
      return body;
    }
  }
}

} // namespace

CallerAnswer
ParseAnswer(const std::string& aBytes)
{
  CallerAnswer answer;
  const std::size_t end = aBytes.find("\r\n\r\n");
  if (end == std::string::npos) {
    return answer;
  }
  answer.head = aBytes.substr(0, end + 2);
  answer.status = std::stoi(answer.head.substr(std::string("HTTP/1.1 ").size()));
  const std::string rest = aBytes.substr(end + 4);
  if (answer.head.find("Transfer-Encoding: chunked") != std::string::npos) {
    answer.body = DecodeChunked(rest, answer.complete);
    return answer;
  }
  const std::string name = "Content-Length: ";
  const std::size_t length = answer.head.find(name);
  answer.body = rest;
  answer.complete = length != std::string::npos &&
                    std::stoul(answer.head.substr(length + name.size())) == rest.size();
  return answer;
}

WireFleet::WireFleet()
  : work(serving::asio::make_work_guard(this->context))
  , store(std::make_unique<fakes::WireStore>(this->context))
{
  this->thread = std::jthread([this] { this->context.run(); });
}

WireFleet::~WireFleet()
{
  this->gateways.clear();
  serving::asio::post(this->context, [this] {
    this->store->Close();
    for (const auto& target : this->targets) {
      target->Close();
    }
  });
  // The thread ends once all coroutines of the fakes have ended.
  this->work.reset();
  this->thread.join();
  for (const std::string& path : this->settingsPaths) {
    std::remove(path.c_str());
  }
}

fakes::WireTarget&
WireFleet::AddTarget(const std::string& aId, const std::string& aService, const std::string& aStage)
{
  this->targets.push_back(std::make_unique<fakes::WireTarget>(this->context, aId));
  this->WriteEntry(*this->targets.back(), aService, aStage);
  return *this->targets.back();
}

void
WireFleet::WriteEntry(const fakes::WireTarget& aTarget,
                      const std::string& aService,
                      const std::string& aStage,
                      const std::string& aState)
{
  this->WriteEntry(aTarget.Id(), aTarget.Address(), aService, aStage, aState);
}

void
WireFleet::WriteEntry(const std::string& aId,
                      const net::Address& aAddress,
                      const std::string& aService,
                      const std::string& aStage,
                      const std::string& aState,
                      std::uint64_t aStartedAt)
{
  json entry = { { "service", aService }, { "address", aAddress.Text() },
                 { "zone", "a" },         { "slots", 8 },
                 { "state", aState },     { "sequence", 1 } };
  if (!aStage.empty()) {
    entry["stage"] = aStage;
  }
  if (aStartedAt != 0) {
    entry["born"] = aStartedAt;
  }
  this->store->Put("servers/" + aId, entry.dump());
}

void
WireFleet::RemoveEntry(const std::string& aId)
{
  this->store->Remove("servers/" + aId);
}

void
WireFleet::Configure(std::uint64_t aVersion, const std::string& aAdded, std::uint64_t aMaxBodyBytes)
{
  json quote = MakeRoute("quote", "stream", "models");
  json note = MakeRoute("note", "stream", "models");
  note["attempts"] = 2;
  note["allowResume"] = true;
  json look = MakeRoute("look", "safe", "desk");
  look["attempts"] = 2;
  json routes = json::array({ quote, note, MakeRoute("pay", "unsafe", "desk"), look });
  if (!aAdded.empty()) {
    routes.push_back(MakeRoute(aAdded, "safe", "desk"));
  }
  for (const auto& [name, route] : this->addedRoutes) {
    routes.push_back(json::parse(route));
  }
  json config = {
    { "version", aVersion },
    { "routes", std::move(routes) },
    { "services",
      json::array({ { { "name", "models" },
                      { "maxConnections", 100 },
                      { "engine", { { "slots", 8 }, { "handleTtlS", 5.0 }, { "switchS", 1.0 } } } },
                    { { "name", "desk" }, { "maxConnections", 100 } } }) },
    { "limits",
      { { "maxHeaderBytes", 16'384 },
        { "maxBodyBytes", aMaxBodyBytes },
        { "headerTimeoutMs", 3'000 },
        { "idleTimeoutMs", 15'000 } } }
  };
  if (!this->workspaces.empty()) {
    config["tenants"] = json::parse(this->workspaces);
  }
  this->store->Put("op/config", config.dump());
}

void
WireFleet::SetWorkspaces(const json& aWorkspaces)
{
  this->workspaces = aWorkspaces.is_null() ? std::string() : aWorkspaces.dump();
}

void
WireFleet::AddRoute(const std::string& aName, const json& aRoute)
{
  json route = MakeRoute(aName, "unsafe", "desk");
  route["attempts"] = 2;
  route.update(aRoute);
  this->addedRoutes[aName] = route.dump();
}

ChildProcess&
WireFleet::StartGateway(bool aAwaitReady)
{
  auto ports = std::make_unique<PortReservation>();
  this->callers = { "127.0.0.1", ports->Reserve(SOCK_STREAM, 0).value() };
  this->readiness = { "127.0.0.1", ports->Reserve(SOCK_STREAM, 0).value() };
  const std::uint16_t internalPort = ports->ReservePair();
  ports->ReleaseDatagramPorts();
  this->reservations.push_back(std::move(ports));
  this->metrics = { "127.0.0.1", static_cast<std::uint16_t>(internalPort + 1) };
  const std::string name = "one-" + std::to_string(this->gateways.size());
  json settings = {
    { "node", name },
    { "zone", "a" },
    { "ip", "127.0.0.1" },
    { "heartbeatMs", 1'200 },
    { "listen", { { "front", this->callers.Text() }, { "ready", this->readiness.Text() } } },
    { "internalPorts", { internalPort, internalPort + 1 } },
    { "platform", { { "address", this->store->Address().Text() } } },
    { "bounds",
      { { "graceS", 8 }, { "leaseMs", 3'000 }, { "budgetRatio", 0.2 }, { "budgetSlack", 58 } } }
  };
  if (this->memoryMegabytes > 0 || this->maxDescriptors > 0) {
    settings["limits"] = { { "memoryMb", this->memoryMegabytes },
                           { "maxFds", this->maxDescriptors } };
  }
  if (!this->usagePlatform.empty()) {
    settings["cloud"] = { { "address", this->usagePlatform },
                          { "dutyPerS", 5 },
                          { "duties", json::array({ "usage_report" }) } };
    settings["bounds"]["windowS"] = 2;
    settings["bounds"]["usageLateS"] = 10;
  }
  const std::string file = "wire-fleet-" + std::to_string(::getpid()) + "-" + name + ".json";
  this->settingsPaths.push_back((std::filesystem::temp_directory_path() / file).string());
  std::ofstream(this->settingsPaths.back()) << settings.dump();
  this->gateways.push_back(LaunchGateway(this->settingsPaths.back()));
  if (aAwaitReady) {
    Await("the gateway to be ready", [&] { return this->Readiness() == 200; });
  }
  return *this->gateways.back();
}

std::unique_ptr<ChildProcess>
WireFleet::LaunchGateway(const std::string& aSettingsPath)
{
  ::setenv("PLANTAINSLIP_SETTINGS", aSettingsPath.c_str(), 1);
  return std::make_unique<ChildProcess>(
    "apps/plantainslip-gateway", std::vector<std::string>{}, false);
}

ChildProcess&
WireFleet::RestartGateway(std::size_t aIndex)
{
  this->gateways.at(aIndex).reset();
  this->gateways.at(aIndex) = LaunchGateway(this->settingsPaths.at(aIndex));
  return *this->gateways.at(aIndex);
}

int
WireFleet::Readiness() const
{
  try {
    const RawConnection connection(this->readiness);
    connection.Send("GET /plantainslip/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    return ParseAnswer(connection.ReadToEnd()).status;
  } catch (const std::exception&) {
    return 0;
  }
}

std::string
WireFleet::Metrics() const
{
  const RawConnection connection(this->metrics);
  connection.Send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  return ParseAnswer(connection.ReadToEnd()).body;
}

std::string
WireFleet::CompletionHeaders()
{
  return "X-Model-Id: m\r\nX-Token-Usage: 100,20\r\nX-Prompt-Prefix: a1:60,b2:40\r\n";
}

CallerAnswer
WireFleet::Call(const std::string& aMethod,
                const std::string& aPath,
                const std::string& aId,
                const std::string& aHeaders,
                const std::string& aBody) const
{
  return this->CallAt(this->callers, aMethod, aPath, aId, aHeaders, aBody);
}

CallerAnswer
WireFleet::CallAt(const net::Address& aCallers,
                  const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aId,
                  const std::string& aHeaders,
                  const std::string& aBody) const
{
  const RawConnection connection(aCallers);
  std::string request =
    aMethod + " " + aPath + " HTTP/" + this->callerVersion + "\r\nHost: h.example\r\n";
  request += "X-Request-Id: " + aId +
             "\r\nX-Deadline-Ms: " + std::to_string(this->callerDeadline.count()) +
             "\r\nConnection: close\r\n" + aHeaders;
  if (!aBody.empty()) {
    request += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  connection.Send(request + "\r\n" + aBody);
  CallerAnswer answer = ParseAnswer(connection.ReadToEnd());
  const bool endsWithConnection = answer.head.find("Content-Length: ") == std::string::npos &&
                                  answer.head.find("Transfer-Encoding: ") == std::string::npos;
  if (this->callerVersion == "1.0" && answer.status != 0 && endsWithConnection) {
    answer.complete = !connection.WasReset();
  }
  return answer;
}

void
WireFleet::AwaitServed(const std::string& aPath, int aStatus) const
{
  int attempt = 0;
  Await(aPath + " to be answered with " + std::to_string(aStatus), [&] {
    return this->Call("GET", aPath, "await-" + std::to_string(++attempt)).status == aStatus;
  });
}

} // namespace plantainslip::harness
