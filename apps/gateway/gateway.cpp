#include "gateway.hpp"

#include <algorithm>
#include <csignal>
#include <thread>

#include <malloc.h>

#include <plantainslip/core/log.hpp>
#include <plantainslip/serving/machine_shares.hpp>
#include <plantainslip/workspaces/key_table.hpp>

#include "control.hpp"
#include "directory_wire.hpp"
#include "duty_wire.hpp"
#include "http_listener.hpp"
#include "limit_refusals.hpp"
#include "load_exchange.hpp"
#include "request_path.hpp"
#include "scaling_duty.hpp"
#include "spawn.hpp"
#include "store_wire.hpp"
#include "target_wire.hpp"
#include "usage_link.hpp"

namespace plantainslip::apps {

using serving::ErrorCode;
using serving::Task;
using std::chrono::milliseconds;
namespace asio = serving::asio;

namespace {

/// Delay from SIGTERM until idle connections are closed. By then the platform has seen two
/// responses saying that the instance is not ready, and sends it no more callers.
constexpr milliseconds kIdleCloseDelay{ 2'500 };
/// Part of the grace period that is reserved for the process to exit by itself.
constexpr milliseconds kStopMargin{ 700 };
constexpr milliseconds kStopCheckInterval{ 50 };
/// Minimum number of instances that the retry budget is divided by. More instances are counted once
/// their load reports arrive.
constexpr std::size_t kMinBudgetShares = 12;
/// Fraction of the retry budget that is used. The margin keeps the total below the limit although
/// each instance counts its retries separately.
constexpr double kUsedBudgetFraction = 0.8;

/// @brief Components of one instance and the two threads that they run on.
class Gateway
{
public:
  Gateway(const wire::Settings& aSettings,
          const GatewayOptions& aOptions,
          const serving::MachineShares& aShares)
    : settings(aSettings)
    , ownOptions(aOptions)
    , machineShares(aShares)
    , path{
      this->traffic.get_executor(), this->targetWire, this->clock, this->targetPool, this->metrics,
      this->settings.zone
    }
  {
    this->path.revocationBound = aSettings.revocationBound;
    this->path.quarantine = serving::RequestQuarantine(aOptions.quarantine);
    this->path.retryOptions.retriesPerRequest = aSettings.retriesPerRequest * kUsedBudgetFraction;
    this->UpdateRetryBudget(0);
  }

  absl::Status Run();

private:
  absl::Status Open();
  void CreateController();
  serving::PeerInstance Self() const
  {
    return { this->settings.instance, this->settings.peers, this->settings.zone };
  }
  Task<void> ServeReadiness(const serving::CallerRequest& aRequest, serving::AnswerWriter& aWriter);
  Task<void> ServeMetrics(serving::AnswerWriter& aWriter);
  Task<void> HandleSignals();
  Task<void> DrainAndStop();
  void ApplyUpdate(serving::ControlUpdate aUpdate);
  void UpdateRetryBudget(std::size_t aPeers);
  void CountWorkspaces();
  void AddUsageDuty();
  void CountUsage();

  serving::PoolOptions PoolOptions(serving::MemoryBudget& aMemory,
                                   std::size_t aMaxOpen,
                                   milliseconds aStatedLifetime) const
  {
    serving::PoolOptions options;
    options.memory = &aMemory;
    options.maxOpen = aMaxOpen;
    options.statedLifetime = aStatedLifetime;
    return options;
  }

  wire::Settings settings;
  GatewayOptions ownOptions;
  serving::MachineShares machineShares;
  core::SystemClock clock;
  serving::PathMetrics metrics;
  serving::LimitRefusals refusals{ this->metrics, this->clock };
  /// @brief Memory of the traffic thread and of the control thread.
  serving::MemoryBudget trafficMemory{ this->machineShares.trafficBytes, this->clock };
  serving::MemoryBudget controlMemory{ this->machineShares.controlBytes, this->clock };
  asio::io_context traffic{ 1 };
  asio::io_context control{ 1 };
  serving::ConnectionPool targetPool{
    this->traffic.get_executor(),
    this->PoolOptions(this->trafficMemory, this->machineShares.targets, std::chrono::minutes(1)),
    this->clock
  };
  serving::ConnectionPool controlPool{ this->control.get_executor(),
                                       this->PoolOptions(this->controlMemory, 0, milliseconds(0)),
                                       this->clock };
  wire::TargetWire targetWire;
  wire::DirectoryWire directoryWire;
  wire::DutyWire dutyWire;
  wire::StoreWire store{ this->settings.store, this->controlPool };
  serving::PathContext path;
  std::unique_ptr<serving::Control> controller;
  std::unique_ptr<serving::HttpListener> callerListener;
  std::unique_ptr<serving::HttpListener> readinessListener;
  std::unique_ptr<serving::HttpListener> metricsListener;
  std::unique_ptr<serving::LoadExchange> exchange;
  /// @brief Absent if the deployment reports no usage.
  std::unique_ptr<serving::UsageLink> usageLink;
  /// @brief Owned by the controller, and used on its thread.
  serving::UsageDuty* usageDuty = nullptr;
  std::vector<std::unique_ptr<serving::LoadScope>> changingLoads;
  std::vector<core::TargetId> changingTargets;
  bool stopping = false;
};

Task<void>
Gateway::ServeReadiness(const serving::CallerRequest& aRequest, serving::AnswerWriter& aWriter)
{
  constexpr int kReady = 200;
  constexpr int kNotReady = 503;
  constexpr int kNotFound = 404;
  const bool ready =
    !this->stopping && this->path.fleet->config != nullptr && !this->path.fleet->targets.empty();
  const bool knownPath = aRequest.target == wire::ReadinessPath();
  const int status = knownPath ? (ready ? kReady : kNotReady) : kNotFound;
  co_await aWriter.WriteWhole(status, serving::HeaderList(), std::string());
}

Task<void>
Gateway::ServeMetrics(serving::AnswerWriter& aWriter)
{
  constexpr int kOk = 200;
  serving::HeaderList headers;
  headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
  std::string page = this->metrics.Format();
  co_await aWriter.WriteWhole(kOk, std::move(headers), std::move(page));
}

void
Gateway::ApplyUpdate(serving::ControlUpdate aUpdate)
{
  const bool firstConfig = this->path.fleet->config == nullptr && aUpdate.fleet->config != nullptr;
  if (aUpdate.fleet->configState.content != this->path.fleet->configState.content ||
      aUpdate.fleet->targetsState.content != this->path.fleet->targetsState.content) {
    this->metrics.Count("store_changes_total", aUpdate.announce ? "store" : "peer");
  }
  const bool newConfig = aUpdate.fleet->config != this->path.fleet->config;
  this->path.fleet = std::move(aUpdate.fleet);
  if (newConfig) {
    this->CountWorkspaces();
  }
  this->path.confirmedAt = aUpdate.confirmedAt;
  for (const serving::TargetProcess& process : aUpdate.leaving) {
    this->path.notices.RecordLeaving(process, this->clock.Now());
  }
  if (this->path.fleet->config != nullptr) {
    this->callerListener->SetLimits(this->path.fleet->config->limits);
  }
  if (firstConfig) {
    core::Log(core::LogLevel::kInfo, "ready", {});
  }
  // Only instances with peers divide the targets among them.
  this->path.affinityKey =
    aUpdate.peers.empty() ? 0 : std::hash<std::string>()(this->settings.instance.Text());
  this->exchange->SetPeers(aUpdate.peers);
  this->exchange->SetHeldToken(aUpdate.heldToken);
  if (aUpdate.changing != this->changingTargets) {
    // An engine that was ordered to change its stage counts as full, here and, through the load
    // exchange, on all peers.
    constexpr serving::TargetLoad kFull{ 1'000.0, { 1'000'000.0 } };
    this->changingLoads.clear();
    for (const core::TargetId& target : aUpdate.changing) {
      this->changingLoads.push_back(
        std::make_unique<serving::LoadScope>(this->path.loads, target, kFull));
    }
    this->changingTargets = aUpdate.changing;
  }
  if (aUpdate.announce) {
    this->exchange->Announce();
  }
}

void
Gateway::CountWorkspaces()
{
  const auto& keys = this->path.fleet->config->workspaces;
  this->metrics.Set("workspaces", "", keys == nullptr ? 0 : keys->Size());
}

void
Gateway::AddUsageDuty()
{
  const wire::PlatformCalls& calls = *this->settings.platformCalls;
  if (!calls.reportsUsage) {
    return;
  }
  auto duty =
    std::make_unique<serving::UsageDuty>(this->store,
                                         this->dutyWire,
                                         this->metrics,
                                         this->clock,
                                         usage::WindowRules{ calls.usageWindow, calls.usageDue },
                                         [this](const usage::Progress& aProgress) {
                                           asio::post(this->traffic, [this, progress = aProgress] {
                                             this->usageLink->SetProgress(progress);
                                           });
                                         });
  this->usageDuty = duty.get();
  this->controller->AddDuty(std::move(duty));
}

// Counts requests by workspace and tells the collectors, if the deployment reports usage.
void
Gateway::CountUsage()
{
  if (this->usageDuty == nullptr) {
    return;
  }
  const wire::PlatformCalls& calls = *this->settings.platformCalls;
  this->usageLink = std::make_unique<serving::UsageLink>(
    this->traffic,
    this->clock,
    usage::WindowRules{ calls.usageWindow, calls.usageDue },
    this->Self(),
    *this->exchange,
    this->metrics,
    [this] {
      const auto holder = this->exchange->CurrentHolder();
      return holder.has_value() ? std::optional(holder->id) : std::nullopt;
    },
    [this](serving::UsageInput aInput) {
      asio::post(this->control, [this, input = std::move(aInput)]() mutable {
        this->usageDuty->SetInput(std::move(input));
      });
    });
  this->path.countUsage = [this](const core::WorkspaceId& aWorkspace) {
    this->usageLink->Count(aWorkspace);
  };
  this->usageLink->Start();
}

// The limit on retries applies to all instances together, so each gets an equal share.
void
Gateway::UpdateRetryBudget(std::size_t aPeers)
{
  const auto shares = static_cast<double>(std::max(kMinBudgetShares, aPeers + 1));
  this->path.SetMaxSavedRetries(this->settings.spareRetries * kUsedBudgetFraction / shares);
}

void
Gateway::CreateController()
{
  serving::ControlOptions options;
  options.self = this->Self();
  options.linkMbps = this->settings.linkMbps;
  options.targetHeartbeat = this->settings.targetHeartbeat;
  options.leaseDuration = this->settings.orderLeaseDuration;
  options.changesLimits = { &this->controlMemory, this->machineShares.internal, &this->refusals };
  options.initialDecodeShare = this->ownOptions.initialDecodeShare;
  options.stageChangeCosts = this->ownOptions.stageChangeCosts;
  if (this->settings.platformCalls.has_value()) {
    options.platformCalls =
      serving::PlatformCallOptions{ this->settings.platformCalls->address,
                                    this->settings.platformCalls->callsPerSecond };
  }
  this->controller = std::make_unique<serving::Control>(
    this->control,
    this->store,
    this->directoryWire,
    this->targetWire,
    this->controlPool,
    this->clock,
    options,
    [this](serving::ControlUpdate aUpdate) {
      asio::post(this->traffic, [this, update = std::move(aUpdate)]() mutable {
        this->ApplyUpdate(std::move(update));
      });
    });
  if (this->settings.platformCalls.has_value()) {
    this->controller->EnableCalls(this->dutyWire, this->metrics);
    this->AddUsageDuty();
    if (this->settings.platformCalls->scalesServices) {
      this->controller->AddDuty(std::make_unique<scaling::ScalingDuty>(
        this->dutyWire, this->metrics, this->clock, this->ownOptions.scaling));
    }
  }
}

absl::Status
Gateway::Open()
{
  this->CreateController();
  auto opened = serving::LoadExchange::Open(
    this->traffic,
    this->Self(),
    this->settings.linkMbps,
    this->path,
    [this](std::vector<serving::PeerState> aPeers, const serving::FleetDemand& aDemand) {
      this->UpdateRetryBudget(aPeers.size());
      asio::post(this->control,
                 [this,
                  peers = std::move(aPeers),
                  demand = aDemand.Totals(),
                  zoneDemand = aDemand.ZoneTotals(),
                  hasTraffic = aDemand.HasTraffic(),
                  leaving = this->path.notices.NewsFor(this->path.fleet->targets)] {
                   this->controller->UpdatePeers(peers);
                   this->controller->SetLeaving(leaving);
                   this->controller->UpdateDemand(demand, zoneDemand, hasTraffic);
                 });
    });
  if (!opened.ok()) {
    return opened.status();
  }
  this->exchange = std::move(*opened);
  this->CountUsage();
  const auto open = [this](std::unique_ptr<serving::HttpListener>& aListener,
                           const net::Address& aAddress,
                           std::size_t aMaxConnections,
                           serving::RequestHandler aHandler) {
    auto listener =
      serving::HttpListener::Open(this->traffic, aAddress, this->clock, std::move(aHandler));
    if (listener.ok()) {
      aListener = std::move(*listener);
      aListener->SetMachineLimits({ &this->trafficMemory, aMaxConnections, &this->refusals });
    }
    return listener.status();
  };
  using serving::AnswerWriter;
  using serving::CallerRequest;
  using serving::Cancellation;
  const std::array<absl::Status, 3> statuses = {
    open(this->callerListener,
         this->settings.callers,
         this->machineShares.callers,
         [this](const CallerRequest& aRequest, AnswerWriter& aWriter, Cancellation& aCancellation) {
           return serving::ServeRequest(this->path, aRequest, aWriter, aCancellation);
         }),
    open(this->readinessListener,
         this->settings.readiness,
         this->machineShares.internal,
         [this](const CallerRequest& aRequest, AnswerWriter& aWriter, Cancellation&) {
           return this->ServeReadiness(aRequest, aWriter);
         }),
    open(this->metricsListener,
         this->settings.metrics,
         this->machineShares.internal,
         [this](const CallerRequest&, AnswerWriter& aWriter, Cancellation&) {
           return this->ServeMetrics(aWriter);
         }),
  };
  for (const absl::Status& status : statuses) {
    if (!status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

Task<void>
Gateway::DrainAndStop()
{
  const core::MonotonicTime startedAt = this->clock.Now();
  this->stopping = true;
  this->callerListener->BeginDrain();
  asio::post(this->control, [this] { this->controller->BeginStop(); });
  core::Log(core::LogLevel::kInfo,
            "stopping",
            { { "open_requests", std::to_string(this->callerListener->CountBusy()) } });
  const core::MonotonicTime deadline = startedAt + this->settings.stopGracePeriod - kStopMargin;
  this->path.stopping = serving::PathContext::Stopping{ startedAt, deadline };
  while (this->clock.Now() < deadline) {
    asio::steady_timer timer(this->traffic, kStopCheckInterval);
    ErrorCode ignored;
    co_await timer.async_wait(serving::RedirectError(ignored));
    if (this->clock.Now() - startedAt < kIdleCloseDelay) {
      continue;
    }
    this->callerListener->CloseIdle();
    if (this->callerListener->CountBusy() == 0) {
      break;
    }
  }
  core::Log(core::LogLevel::kInfo,
            "stopped",
            { { "open_requests", std::to_string(this->callerListener->CountBusy()) } });
  this->control.stop();
  this->traffic.stop();
}

Task<void>
Gateway::HandleSignals()
{
  asio::signal_set signals(this->traffic, SIGTERM, SIGINT);
  signals.add(SIGHUP);
  while (true) {
    ErrorCode error;
    const int received = co_await signals.async_wait(serving::RedirectError(error));
    if (error || received != SIGHUP) {
      break;
    }
    // Addresses cannot change while the process runs, so a changed file is only checked, and the
    // result is logged.
    const auto file = wire::SettingsPath();
    const absl::Status read = file.ok() ? wire::ReadSettings(*file).status() : file.status();
    core::Log(read.ok() ? core::LogLevel::kInfo : core::LogLevel::kError,
              "settings checked",
              { { "result", read.ok() ? "ok" : std::string(read.message()) } });
  }
  co_await this->DrainAndStop();
}

absl::Status
Gateway::Run()
{
  if (const absl::Status opened = this->Open(); !opened.ok()) {
    return opened;
  }
  core::Log(core::LogLevel::kInfo, "started", { { "callers", this->settings.callers.Text() } });
  serving::SpawnLoop(this->traffic, "handle signals", [this] { return this->HandleSignals(); });
  if (const absl::Status started = this->controller->Start(); !started.ok()) {
    return started;
  }
  std::jthread controlThread([this] { serving::RunContext(this->control, "control thread"); });
  serving::RunContext(this->traffic, "traffic thread");
  this->control.stop();
  return absl::OkStatus();
}

} // namespace

absl::Status
RunGateway(const wire::Settings& aSettings, const GatewayOptions& aOptions)
{
  const auto shares = serving::DivideMachine(aSettings.memoryBytes, aSettings.maxDescriptors);
  if (!shares.ok()) {
    return shares.status();
  }
  if (aSettings.memoryBytes > 0) {
    // Fixed, as the allocator would otherwise raise the threshold with each large block that is
    // freed, and keep later ones of that size in fragmented arenas.
    constexpr int kMinMappedBytes = 262'144;
    (void)::mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
  }
  // Never destroyed: the contexts still hold coroutines that refer to the other members.
  static Gateway& gateway = *new Gateway(aSettings, aOptions, *shares);
  return gateway.Run();
}

} // namespace plantainslip::apps
