#include "gateway.hpp"

#include <algorithm>
#include <csignal>
#include <thread>

#include <plantainslip/core/log.hpp>

#include "control.hpp"
#include "directory_wire.hpp"
#include "front_door.hpp"
#include "load_exchange.hpp"
#include "request_path.hpp"
#include "store_wire.hpp"
#include "target_wire.hpp"

namespace plantainslip::apps {

using serving::ErrorCode;
using serving::Task;
using std::chrono::milliseconds;
namespace asio = serving::asio;

namespace {

/// From SIGTERM until idle connections are closed: the platform has then seen two answers that the
/// instance is not ready, and callers no longer come.
constexpr milliseconds kCloseIdleAfter{ 2'500 };
/// Time of the stop that is left for the process to end by itself.
constexpr milliseconds kStopMargin{ 700 };
constexpr milliseconds kStopCheck{ 50 };
/// Instances that share the retry budget at least; more are counted once they are heard.
constexpr std::size_t kFewestShares = 12;
/// Part of the budget that is used, so that counting apart stays below the whole.
constexpr double kBudgetShare = 0.8;

/// @brief All parts of one instance and the two threads that they run on.
class Gateway
{
public:
  explicit Gateway(const wire::Settings& aSettings)
    : settings(aSettings)
    , path{
      this->traffic.get_executor(), this->targetWire, this->clock, this->targetPool, this->metrics,
      this->settings.zone
    }
  {
    this->path.retryOptions.retriesPerRequest = aSettings.retriesPerRequest * kBudgetShare;
    this->ShareBudget(0);
  }

  absl::Status Run();

private:
  absl::Status Open();
  Task<void> ServeReadiness(const serving::CallerRequest& aRequest, serving::AnswerWriter& aWriter);
  Task<void> ServeMetrics(serving::AnswerWriter& aWriter);
  Task<void> AwaitStop();
  Task<void> Stop();
  void Take(serving::ControlUpdate aUpdate);
  void ShareBudget(std::size_t aPeers);

  static serving::PoolOptions TargetPoolOptions() { return {}; }

  wire::Settings settings;
  core::SystemClock clock;
  asio::io_context traffic{ 1 };
  asio::io_context control{ 1 };
  serving::ConnectionPool targetPool{ this->traffic.get_executor(),
                                      TargetPoolOptions(),
                                      this->clock };
  serving::ConnectionPool controlPool{ this->control.get_executor(), {}, this->clock };
  wire::TargetWire targetWire;
  wire::DirectoryWire directoryWire;
  wire::StoreWire store{ this->settings.store, this->controlPool };
  serving::PathMetrics metrics;
  serving::PathContext path;
  std::unique_ptr<serving::Control> controller;
  std::unique_ptr<serving::FrontDoor> callers;
  std::unique_ptr<serving::FrontDoor> readiness;
  std::unique_ptr<serving::FrontDoor> metricsDoor;
  std::unique_ptr<serving::LoadExchange> exchange;
  std::vector<std::unique_ptr<serving::LoadScope>> changing;
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
  const bool known = aRequest.target == wire::ReadinessPath();
  const int status = known ? (ready ? kReady : kNotReady) : kNotFound;
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
Gateway::Take(serving::ControlUpdate aUpdate)
{
  const bool first = this->path.fleet->config == nullptr && aUpdate.fleet->config != nullptr;
  if (aUpdate.fleet->configRevision > this->path.fleet->configRevision ||
      aUpdate.fleet->targetsRevision > this->path.fleet->targetsRevision) {
    this->metrics.Count("store_changes_total", aUpdate.announce ? "store" : "peer");
  }
  this->path.fleet = std::move(aUpdate.fleet);
  this->path.confirmedAt = aUpdate.confirmedAt;
  if (this->path.fleet->config != nullptr) {
    this->callers->SetLimits(this->path.fleet->config->limits);
  }
  if (first) {
    core::Log(core::LogLevel::kInfo, "ready", {});
  }
  this->exchange->SetPeers(aUpdate.peers);
  if (aUpdate.changing != this->changingTargets) {
    // An engine under order counts as full, here and, by the exchange of loads, at all peers.
    constexpr serving::TargetLoad kFull{ 1'000.0, { 1'000'000.0 } };
    this->changing.clear();
    for (const core::TargetId& target : aUpdate.changing) {
      this->changing.push_back(
        std::make_unique<serving::LoadScope>(this->path.loads, target, kFull));
    }
    this->changingTargets = aUpdate.changing;
  }
  if (aUpdate.announce) {
    this->exchange->Announce();
  }
}

// The bound on retries holds for all instances together.
void
Gateway::ShareBudget(std::size_t aPeers)
{
  const auto shares = static_cast<double>(std::max(kFewestShares, aPeers + 1));
  this->path.SetMaxSavedRetries(this->settings.spareRetries * kBudgetShare / shares);
}

absl::Status
Gateway::Open()
{
  const serving::PeerInstance self{ this->settings.instance,
                                    this->settings.peers,
                                    this->settings.zone };
  serving::ControlOptions options;
  options.self = self;
  options.linkMbps = this->settings.linkMbps;
  options.leaseDuration = this->settings.orderLease;
  this->controller = std::make_unique<serving::Control>(
    this->control,
    this->store,
    this->directoryWire,
    this->controlPool,
    this->clock,
    options,
    [this](serving::ControlUpdate aUpdate) {
      asio::post(this->traffic,
                 [this, update = std::move(aUpdate)]() mutable { this->Take(std::move(update)); });
    });
  auto opened =
    serving::LoadExchange::Open(this->traffic,
                                self,
                                this->settings.linkMbps,
                                this->path,
                                [this](std::vector<serving::PeerState> aPeers) {
                                  this->ShareBudget(aPeers.size());
                                  asio::post(this->control, [this, peers = std::move(aPeers)] {
                                    this->controller->UpdatePeers(peers);
                                  });
                                });
  if (!opened.ok()) {
    return opened.status();
  }
  this->exchange = std::move(*opened);
  const auto open = [this](std::unique_ptr<serving::FrontDoor>& aDoor,
                           const net::Address& aAddress,
                           serving::RequestHandler aHandler) {
    auto door = serving::FrontDoor::Open(this->traffic, aAddress, this->clock, std::move(aHandler));
    if (door.ok()) {
      aDoor = std::move(*door);
    }
    return door.status();
  };
  using serving::AnswerWriter;
  using serving::CallerRequest;
  using serving::Cancellation;
  const std::array<absl::Status, 3> statuses = {
    open(this->callers,
         this->settings.callers,
         [this](const CallerRequest& aRequest, AnswerWriter& aWriter, Cancellation& aCancellation) {
           return serving::ServeRequest(this->path, aRequest, aWriter, aCancellation);
         }),
    open(this->readiness,
         this->settings.readiness,
         [this](const CallerRequest& aRequest, AnswerWriter& aWriter, Cancellation&) {
           return this->ServeReadiness(aRequest, aWriter);
         }),
    open(this->metricsDoor,
         this->settings.metrics,
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
Gateway::Stop()
{
  const core::MonotonicTime begun = this->clock.Now();
  this->stopping = true;
  this->callers->BeginDrain();
  core::Log(core::LogLevel::kInfo,
            "stopping",
            { { "open_requests", std::to_string(this->callers->CountBusy()) } });
  const core::MonotonicTime last = begun + this->settings.stopGrace - kStopMargin;
  this->path.stopping = serving::PathContext::Stopping{ begun, last };
  while (this->clock.Now() < last) {
    asio::steady_timer timer(this->traffic, kStopCheck);
    ErrorCode ignored;
    co_await timer.async_wait(serving::Into(ignored));
    if (this->clock.Now() - begun < kCloseIdleAfter) {
      continue;
    }
    this->callers->CloseIdle();
    if (this->callers->CountBusy() == 0) {
      break;
    }
  }
  core::Log(core::LogLevel::kInfo,
            "stopped",
            { { "open_requests", std::to_string(this->callers->CountBusy()) } });
  this->control.stop();
  this->traffic.stop();
}

Task<void>
Gateway::AwaitStop()
{
  asio::signal_set signals(this->traffic, SIGTERM, SIGINT);
  signals.add(SIGHUP);
  while (true) {
    ErrorCode error;
    const int received = co_await signals.async_wait(serving::Into(error));
    if (error || received != SIGHUP) {
      break;
    }
    // Addresses cannot change while the process runs; a changed file is checked and logged.
    const auto file = wire::SettingsPath();
    const absl::Status read = file.ok() ? wire::ReadSettings(*file).status() : file.status();
    core::Log(read.ok() ? core::LogLevel::kInfo : core::LogLevel::kError,
              "settings read again",
              { { "result", read.ok() ? "ok" : std::string(read.message()) } });
  }
  co_await this->Stop();
}

absl::Status
Gateway::Run()
{
  if (const absl::Status opened = this->Open(); !opened.ok()) {
    return opened;
  }
  core::Log(core::LogLevel::kInfo, "started", { { "callers", this->settings.callers.Text() } });
  asio::co_spawn(
    this->traffic, [this]() -> Task<void> { return this->AwaitStop(); }, asio::detached);
  if (const absl::Status started = this->controller->Start(); !started.ok()) {
    return started;
  }
  std::jthread controlThread([this] { this->control.run(); });
  this->traffic.run();
  this->control.stop();
  return absl::OkStatus();
}

} // namespace

absl::Status
RunGateway(const wire::Settings& aSettings)
{
  // Never destroyed: the contexts still hold coroutines that refer to the other parts.
  static Gateway& gateway = *new Gateway(aSettings);
  return gateway.Run();
}

} // namespace plantainslip::apps
