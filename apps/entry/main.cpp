// Entry instance: the flags, the wiring and the order of starting and stopping. No decisions.

#include <atomic>
#include <iostream>

#include <plantainslip/authority/drain_messages.hpp>
#include <plantainslip/claims/bucket_owner.hpp>
#include <plantainslip/claims/claim_book.hpp>
#include <plantainslip/control/control_loop.hpp>
#include <plantainslip/control/drain_mark_learner.hpp>
#include <plantainslip/core/log.hpp>
#include <plantainslip/limits/limit_gate.hpp>
#include <plantainslip/net/http_server.hpp>
#include <plantainslip/peers/peer_client.hpp>
#include <plantainslip/peers/peer_server.hpp>
#include <plantainslip/platform/http_platform.hpp>
#include <plantainslip/requests/dispatcher.hpp>
#include <plantainslip/requests/spill_over.hpp>

#include "../common/command_line.hpp"
#include "../common/setting_checks.hpp"
#include "../common/stop_signal.hpp"

namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)

constexpr std::uint16_t kMostPort = 65535;
constexpr unsigned kMostThreads = 4096;
constexpr int kPortAttempts = 8;
constexpr std::chrono::milliseconds kPlatformTimeout = std::chrono::seconds(2);
constexpr std::chrono::milliseconds kEngineTimeout = std::chrono::seconds(2);

struct Settings
{
  std::string instance;
  std::string zone;
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  std::string platform;
  apps::Secret operatorKey;
  apps::Secret resumeKey;
  std::uint16_t peerPort = 0;
  apps::Secret peerKey;
  unsigned peerThreads = 64;
  std::vector<std::string> seeds;
  unsigned threads = 256;
  int lingerMs = 0;
};

void
AddFlags(apps::CommandLine& aLine, Settings& aSettings)
{
  aLine.Add("instance", aSettings.instance, "Name of this instance", "Identity")
    ->required()
    ->check(&apps::CheckName);
  aLine.Add("zone", aSettings.zone, "Availability zone of this instance", "Identity")
    ->required()
    ->check(&apps::CheckName);
  aLine.Add("host", aSettings.host, "IP number to listen on", "Network")
    ->check(&apps::CheckIpNumber);
  aLine.Add("port", aSettings.port, "Port to listen on; 0 takes a free one", "Network")
    ->check(CLI::Range(std::uint16_t{ 0 }, kMostPort));
  aLine.Add("platform", aSettings.platform, "Address of the platform's services", "Network")
    ->required()
    ->check(&apps::CheckAddress);
  aLine.AddSecret("operator-key",
                  aSettings.operatorKey,
                  "Key that operators prove themselves with; without it all are refused",
                  "Security");
  aLine.AddSecret("resume-key",
                  aSettings.resumeKey,
                  "Key of all instances that signs resume tokens; without it none are issued",
                  "Security");
  aLine
    .Add(
      "peer-port", aSettings.peerPort, "Port to listen on for peers; 0 takes a free one", "Network")
    ->check(CLI::Range(std::uint16_t{ 0 }, kMostPort));
  aLine.AddSecret("peer-key",
                  aSettings.peerKey,
                  "Key that peers prove themselves with; without it all are refused",
                  "Security");
  aLine
    .Add("peer-threads", aSettings.peerThreads, "Most peers' messages worked on at once", "Traffic")
    ->check(CLI::Range(1U, kMostThreads));
  aLine
    .Add("seeds",
         aSettings.seeds,
         "Peers' addresses with commas, to start by when the platform cannot be reached",
         "Network")
    ->delimiter(',')
    ->check(&apps::CheckAddress);
  aLine.Add("threads", aSettings.threads, "Most requests that are open at once", "Traffic")
    ->check(CLI::Range(1U, kMostThreads));
  aLine
    .Add("linger-ms",
         aSettings.lingerMs,
         "Time that a stopping instance goes on refusing, for balancers that lag; milliseconds",
         "Traffic")
    ->check(CLI::Range(0, 600'000));
  aLine.OnCheck([&aSettings]() -> std::string {
    const bool same = aSettings.port != 0 && aSettings.port == aSettings.peerPort;
    return same ? "--peer-port: " + std::to_string(aSettings.peerPort) + " is --port as well" : "";
  });
}

// The peers' server needs the control loop and the loop needs the server's port, so messages that
// come before the loop are refused.
using LoopSlot = std::atomic<control::ControlLoop*>;

peers::PeerHandlers
MakePeerHandlers(requests::RequestContext& aContext,
                 const control::FleetStateBoard& aState,
                 const LoopSlot& aSlot)
{
  peers::PeerHandlers handlers;
  handlers.calls[control::kFleetStateKind] = control::MakeFleetStateHandler(aState);
  handlers.calls[control::kLoadRecordsKind] =
    [&aSlot](const std::string& aBody) -> absl::StatusOr<std::string> {
    control::ControlLoop* loop = aSlot.load();
    return loop == nullptr ? absl::UnavailableError("starting") : loop->HandleLoadRecords(aBody);
  };
  handlers.calls[claims::kCommitMessage] = [&aContext](const std::string& aBody) {
    return aContext.claims.HandleCommit(aBody);
  };
  handlers.calls[limits::kReportMessage] = [&aContext](const std::string& aBody) {
    return aContext.limits->HandleReport(aBody);
  };
  handlers.calls[limits::kLimitRequestMessage] = [&aContext](const std::string& aBody) {
    return aContext.limits->HandleLimitRequest(aBody);
  };
  handlers.streams[requests::kSpillKind] = [&aContext](const std::string& aBody,
                                                       const peers::SendPiece& aSend) {
    return requests::HandleSpilledCompletion(aContext, aBody, aSend);
  };
  handlers.calls[authority::kSetDrainMarksKind] = [&aContext](const std::string& aBody) {
    return authority::HandleSetDrainMarks(aContext.drainMarks, aBody);
  };
  handlers.calls[roles::kDemandKind] = [&aContext](const std::string&) {
    return roles::FormatDigest(aContext.demand.Digest());
  };
  handlers.calls[authority::kGetDrainMarksKind] = [&aContext](const std::string&) {
    return authority::HandleGetDrainMarks(aContext.drainMarks);
  };
  return handlers;
}

// The peers' server and the control thread share a port number, one by TCP, the other by UDP.
struct ControlPlane
{
  std::unique_ptr<control::ControlLoop> loop;
  std::unique_ptr<peers::PeerServer> peerServer;
};

struct ControlParts
{
  requests::RequestContext& context;
  const control::ControlPorts& ports;
  LoopSlot& slot;
};

absl::StatusOr<ControlPlane>
StartControlPlane(const Settings& aSettings, const ControlParts& aParts)
{
  peers::PeerServerOptions options;
  options.host = aSettings.host;
  options.port = aSettings.peerPort;
  options.key = aSettings.peerKey.Reveal();
  options.threads = aSettings.peerThreads;
  auto peerServer = peers::PeerServer::Create(
    options, MakePeerHandlers(aParts.context, aParts.ports.state, aParts.slot));
  if (!peerServer.ok()) {
    return peerServer.status();
  }
  control::ControlLoopOptions controlOptions;
  controlOptions.self = aParts.context.instance;
  controlOptions.zone = aParts.context.zone;
  controlOptions.peerAddress = (*peerServer)->ListeningAddress();
  controlOptions.peerKey = aSettings.peerKey.Reveal();
  for (const std::string& seed : aSettings.seeds) {
    controlOptions.seeds.push_back(*net::Address::Parse(seed));
  }
  auto loop = control::ControlLoop::Start(controlOptions, aParts.ports, aParts.context.board);
  if (!loop.ok()) {
    return loop.status();
  }
  aParts.slot = loop->get();
  return ControlPlane{ *std::move(loop), *std::move(peerServer) };
}

// A port that the system picked for TCP may be taken for UDP, so another one is tried.
absl::StatusOr<ControlPlane>
StartControlPlaneOnFreePort(const Settings& aSettings, const ControlParts& aParts)
{
  auto started = StartControlPlane(aSettings, aParts);
  for (int attempt = 1; attempt < kPortAttempts && !started.ok() && aSettings.peerPort == 0;
       ++attempt) {
    started = StartControlPlane(aSettings, aParts);
  }
  return started;
}

int
Serve(const Settings& aSettings)
{
  const net::Address platformAddress = *net::Address::Parse(aSettings.platform);
  const core::SystemClock clock;
  const auto store = platform::MakeHttpStore(platformAddress, kPlatformTimeout);
  const auto list = platform::MakeHttpInstanceList(platformAddress, kPlatformTimeout);
  const auto engines = targets::MakeHttpEngineClient(kEngineTimeout);
  const auto services = targets::MakeHttpServiceClient();
  const auto peerClient = peers::MakeHttp2PeerClient(aSettings.peerKey.Reveal());
  control::ViewBoard board;
  const core::InstanceId self(aSettings.instance);
  const auto claimBook = claims::MakeSegmentClaimBook(
    {}, { *store, clock, peerClient.get(), [&](std::uint64_t aBucket) {
           return claims::FindBucketOwner(aBucket, self, board.Current()->entries);
         } });
  requests::RequestContext context{ .instance = core::InstanceId(aSettings.instance),
                                    .zone = core::ZoneId(aSettings.zone),
                                    .operatorKey = aSettings.operatorKey.Reveal(),
                                    .clock = clock,
                                    .store = *store,
                                    .engines = *engines,
                                    .services = *services,
                                    .claims = *claimBook,
                                    .peers = *peerClient,
                                    .board = board,
                                    .resume = requests::ResumeSigner(aSettings.resumeKey.Reveal()),
                                    .gate = {},
                                    .ledger = {},
                                    .deployments = {},
                                    .timeToFirstToken = {},
                                    .answerDuration = {},
                                    .inFlight = {},
                                    .randomMutex = {},
                                    .random = core::RandomSource(core::MakeSeed()) };
  const auto limitGate = limits::MakeLimitGate(
    {}, self, { clock, *peerClient, [&] { return board.Current()->entries; } });
  context.limits = limitGate.get();
  control::FleetStateBoard state;
  LoopSlot slot = nullptr;
  const control::ControlPorts ports{ *store,          *list, *engines,
                                     clock,           state, &context.knowledge,
                                     peerClient.get() };
  const auto plane = StartControlPlaneOnFreePort(aSettings, { context, ports, slot });
  if (!plane.ok()) {
    std::cerr << plane.status().message() << "\n";
    return apps::kExitFailed;
  }
  const auto learner = control::DrainMarkLearner::Start(
    { *store, *peerClient, board, context.drainMarks }, context.instance, context.zone);
  net::HttpServerOptions serverOptions;
  serverOptions.host = aSettings.host;
  serverOptions.port = aSettings.port;
  serverOptions.threads = aSettings.threads;
  const auto server = net::HttpServer::Create(
    serverOptions, [&](net::HttpExchange& aExchange) { requests::Dispatch(context, aExchange); });
  if (!server.ok()) {
    std::cerr << server.status().message() << "\n";
    return apps::kExitFailed;
  }
  core::Log(core::LogLevel::kInfo,
            "listening",
            { { "address", (*server)->ListeningAddress().Text() },
              { "peer_address", plane->peerServer->ListeningAddress().Text() } });

  apps::WaitForStopSignal();
  core::Log(
    core::LogLevel::kInfo, "stopping", { { "open", std::to_string(context.ledger.OpenNow()) } });
  context.gate.Close();
  context.gate.WaitUntilEmpty();
  claimBook->Flush();
  apps::WaitForStopSignal(aSettings.lingerMs);
  (*server)->Stop();
  plane->peerServer->Stop();
  plane->loop->Stop();
  core::Log(core::LogLevel::kInfo, "stopped");
  return apps::kExitDone;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Settings settings;
  apps::CommandLine line("plantainslip-entry",
                         "Admits, routes, streams and accounts for callers' requests.");
  AddFlags(line, settings);
  if (const auto exitCode = line.Parse(aCount, aArguments); exitCode.has_value()) {
    return *exitCode;
  }
  apps::BlockStopSignals();
  core::InitializeLog({ "plantainslip-entry", settings.instance, settings.zone }, line.LogLevel());
  return Serve(settings);
}
