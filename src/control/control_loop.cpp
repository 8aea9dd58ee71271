#include <plantainslip/control/control_loop.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>

#include <plantainslip/config/record.hpp>
#include <plantainslip/control/report_exchange.hpp>
#include <plantainslip/control/view_builder.hpp>
#include <plantainslip/core/log.hpp>
#include <plantainslip/core/random.hpp>

namespace plantainslip::control {

namespace {

namespace asio = boost::asio;

constexpr std::size_t kCallThreads = 8;
constexpr std::chrono::milliseconds kPollTick(100);
constexpr std::chrono::milliseconds kTellTimeout(500);

class AsioControlLoop final : public ControlLoop
{
public:
  AsioControlLoop(ControlLoopOptions aOptions, ControlPorts aPorts, ViewBoard& aBoard)
    : options(std::move(aOptions))
    , ports(aPorts)
    , board(aBoard)
    , exchange(this->options.self, {})
    , random(core::MakeSeed())
    , calls(kCallThreads)
    , work(asio::make_work_guard(context))
    , listTimer(context)
    , pollTimer(context)
    , tellTimer(context)
    , eventTimer(context)
    , watchTimer(context)
  {
    asio::post(this->context, [this] { this->ReadList(); });
    asio::post(this->context, [this] { this->WatchConfiguration(); });
    asio::post(this->context, [this] { this->PollEngines(); });
    asio::post(this->context, [this] { this->TellReports(); });
    asio::post(this->context, [this] { this->ReadAllCacheEvents(); });
    this->thread = std::thread([this] { this->context.run(); });
  }

  ~AsioControlLoop() override { this->AsioControlLoop::Stop(); }

  void Stop() override
  {
    if (!this->thread.joinable()) {
      return;
    }
    this->stopping = true;
    this->context.stop();
    this->thread.join();
    this->calls.join();
  }

  absl::StatusOr<std::string> HandleLoadRecords(const std::string& aBody) override
  {
    auto records = ParseLoadRecords(aBody);
    if (!records.ok()) {
      return records.status();
    }
    asio::post(this->context, [this, taken = *std::move(records)] { this->TakeRecords(taken); });
    return std::string();
  }

private:
  // Blocking calls run on the pool; their results come back to the control thread.
  template<typename Call, typename Then>
  void CallThen(Call aCall, Then aThen)
  {
    asio::post(this->calls, [this, aCall, aThen] {
      if (this->stopping) {
        return;
      }
      auto result = aCall();
      asio::post(this->context,
                 [aThen, result = std::move(result)]() mutable { aThen(std::move(result)); });
    });
  }

  template<typename Action>
  void After(asio::steady_timer& aTimer, std::chrono::milliseconds aDelay, Action aAction)
  {
    aTimer.expires_after(aDelay);
    aTimer.async_wait([aAction](boost::system::error_code aFailure) {
      if (!aFailure) {
        aAction();
      }
    });
  }

  void ReadList()
  {
    this->CallThen([this] { return this->ports.list.Read(); },
                   [this](absl::StatusOr<std::vector<platform::ListedInstance>> aList) {
                     if (aList.ok()) {
                       this->builder.AdoptList(*std::move(aList));
                       this->Publish();
                       this->ShareEngines();
                     }
                     this->After(
                       this->listTimer, this->options.listInterval, [this] { this->ReadList(); });
                   });
  }

  void WatchConfiguration()
  {
    const core::Revision after = this->configurationRevision;
    this->CallThen(
      [this, after] {
        return this->ports.store.Watch(
          config::kConfigurationKey, after, this->options.watchTimeout);
      },
      [this](absl::StatusOr<std::optional<platform::StoredValue>> aValue) {
        const bool failed = !aValue.ok();
        if (!failed && aValue->has_value()) {
          this->AdoptRecord(**aValue);
        }
        const auto pause = failed ? this->options.storeBackOff : std::chrono::milliseconds(0);
        this->After(this->watchTimer, pause, [this] { this->WatchConfiguration(); });
      });
  }

  void AdoptRecord(const platform::StoredValue& aStored)
  {
    this->configurationRevision = std::max(this->configurationRevision, aStored.revision);
    const auto record = config::ParseRecord(aStored.value);
    if (!record.ok()) {
      core::Log(core::LogLevel::kError,
                "configuration record cannot be read",
                { { "problem", std::string(record.status().message()) } });
      return;
    }
    auto parsed = config::ParseConfiguration(record->version, record->document);
    if (!parsed.ok()) {
      core::Log(core::LogLevel::kError,
                "configuration cannot be read",
                { { "problem", std::string(parsed.status().message()) } });
      return;
    }
    if (this->builder.AdoptConfiguration(
          std::make_shared<const config::Configuration>(*std::move(parsed)))) {
      core::Log(core::LogLevel::kInfo,
                "configuration in force",
                { { "version", std::to_string(record->version.Number()) } });
      this->Publish();
    }
  }

  void PollEngines()
  {
    for (const core::TargetId& target : this->exchange.TakeDuePolls(this->ports.clock.Now())) {
      const auto view = this->board.Current();
      const auto engine =
        std::find_if(view->engines.begin(), view->engines.end(), [&](const EngineView& aEngine) {
          return aEngine.target == target;
        });
      if (engine != view->engines.end()) {
        this->ReadReport(*engine);
      }
    }
    this->After(this->pollTimer, kPollTick, [this] { this->PollEngines(); });
  }

  void ReadReport(const EngineView& aEngine)
  {
    this->CallThen(
      [this, address = aEngine.address] { return this->ports.engines.ReadReport(address); },
      [this, target = aEngine.target](const absl::StatusOr<targets::EngineReport>& aReport) {
        const core::MonotonicTime now = this->ports.clock.Now();
        if (aReport.ok()) {
          this->exchange.AdoptPolled(target, *aReport, now);
        } else {
          this->exchange.AdoptUnreachable(target, now);
        }
        this->PublishReports();
      });
  }

  void TakeRecords(const std::vector<LoadRecord>& aRecords)
  {
    if (this->exchange.AdoptRecords(aRecords, this->ports.clock.Now())) {
      this->PublishReports();
    }
  }

  // One peer at random in each interval: the cost of an instance does not grow with their number.
  void TellReports()
  {
    const std::vector<EntryView> peers = this->PeersOfZone();
    if (!peers.empty()) {
      const EntryView& peer = peers[this->random.Below(peers.size())];
      const std::string body =
        FormatLoadRecords(this->exchange.MakeRecords(this->ports.clock.Now()));
      this->CallThen(
        [this, address = peer.peerAddress, body] {
          return this->ports.peers->Call(address, kLoadRecordsKind, body, kTellTimeout);
        },
        [](const absl::StatusOr<std::string>& /*aAnswer*/) {});
    }
    this->After(this->tellTimer, this->options.tellInterval, [this] { this->TellReports(); });
  }

  std::vector<EntryView> PeersOfZone() const
  {
    std::vector<EntryView> peers;
    for (const EntryView& entry : this->board.Current()->entries) {
      const bool reachable = this->ports.peers != nullptr && entry.peerAddress.port != 0;
      if (reachable && entry.zone == this->options.zone && entry.instance != this->options.self) {
        peers.push_back(entry);
      }
    }
    return peers;
  }

  void ShareEngines()
  {
    std::vector<core::InstanceId> instances;
    for (const EntryView& entry : this->PeersOfZone()) {
      if (!entry.leaving) {
        instances.push_back(entry.instance);
      }
    }
    std::vector<core::TargetId> engines;
    for (const EngineView& engine : this->board.Current()->engines) {
      if (engine.zone == this->options.zone) {
        engines.push_back(engine.target);
      }
    }
    this->exchange.SetFleet(instances, engines);
  }

  void PublishReports()
  {
    for (const EngineView& engine : this->board.Current()->engines) {
      auto known = this->exchange.Find(engine.target);
      this->Observe(engine.target, known);
      if (known.has_value()) {
        this->builder.AdoptReport(engine.target, std::move(known->report), known->reportedAt);
      } else {
        this->builder.ForgetReport(engine.target);
      }
    }
    this->Publish();
  }

  void ReadAllCacheEvents()
  {
    for (const EngineView& engine : this->board.Current()->engines) {
      if (engine.zone == this->options.zone) {
        this->ReadCacheEvents(engine);
      }
    }
    this->After(
      this->eventTimer, this->options.eventInterval, [this] { this->ReadAllCacheEvents(); });
  }

  // Reports that peers handed on teach as much as those that this instance has read.
  void Observe(const core::TargetId& aTarget, const std::optional<TimedReport>& aKnown)
  {
    if (this->ports.observer == nullptr) {
      return;
    }
    if (aKnown.has_value()) {
      this->ports.observer->OnReport(aTarget, aKnown->report);
    } else {
      this->ports.observer->OnLost(aTarget);
    }
  }

  void ReadCacheEvents(const EngineView& aEngine)
  {
    if (this->ports.observer == nullptr) {
      return;
    }
    const std::uint64_t after = this->ports.observer->NewestCacheEvent(aEngine.target);
    this->CallThen(
      [this, address = aEngine.address, after] {
        return this->ports.engines.ReadCacheEvents(address, after);
      },
      [this, target = aEngine.target](absl::StatusOr<std::vector<targets::CacheEvent>> aEvents) {
        if (aEvents.ok()) {
          this->ports.observer->OnCacheEvents(target, *aEvents, this->ports.clock.Now());
        }
      });
  }

  void Publish() { this->board.Publish(this->builder.Build()); }

  ControlLoopOptions options;
  ControlPorts ports;
  ViewBoard& board;
  ViewBuilder builder;
  ReportExchange exchange;
  core::RandomSource random;
  core::Revision configurationRevision;
  std::atomic<bool> stopping = false;
  asio::io_context context;
  asio::thread_pool calls;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  asio::steady_timer listTimer;
  asio::steady_timer pollTimer;
  asio::steady_timer tellTimer;
  asio::steady_timer eventTimer;
  asio::steady_timer watchTimer;
  std::thread thread;
};

} // namespace

std::unique_ptr<ControlLoop>
ControlLoop::Start(ControlLoopOptions aOptions, ControlPorts aPorts, ViewBoard& aBoard)
{
  return std::make_unique<AsioControlLoop>(std::move(aOptions), aPorts, aBoard);
}

} // namespace plantainslip::control
