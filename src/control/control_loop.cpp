#include <plantainslip/control/control_loop.hpp>

#include <atomic>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>

#include <plantainslip/config/record.hpp>
#include <plantainslip/control/view_builder.hpp>
#include <plantainslip/core/log.hpp>

namespace plantainslip::control {

namespace {

namespace asio = boost::asio;

constexpr std::size_t kCallThreads = 4;

class AsioControlLoop final : public ControlLoop
{
public:
  AsioControlLoop(ControlLoopOptions aOptions, ControlPorts aPorts, ViewBoard& aBoard)
    : options(std::move(aOptions))
    , ports(aPorts)
    , board(aBoard)
    , calls(kCallThreads)
    , work(asio::make_work_guard(context))
    , listTimer(context)
    , reportTimer(context)
    , watchTimer(context)
  {
    asio::post(this->context, [this] { this->ReadList(); });
    asio::post(this->context, [this] { this->WatchConfiguration(); });
    asio::post(this->context, [this] { this->ReadReports(); });
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

  void ReadReports()
  {
    for (const EngineView& engine : this->board.Current()->engines) {
      if (engine.zone == this->options.zone) {
        this->ReadReport(engine);
        this->ReadCacheEvents(engine);
      }
    }
    this->After(this->reportTimer, this->options.reportInterval, [this] { this->ReadReports(); });
  }

  void ReadReport(const EngineView& aEngine)
  {
    this->CallThen(
      [this, address = aEngine.address] { return this->ports.engines.ReadReport(address); },
      [this, target = aEngine.target](absl::StatusOr<targets::EngineReport> aReport) {
        this->Observe(target, aReport);
        if (aReport.ok()) {
          this->builder.AdoptReport(target, *std::move(aReport), this->ports.clock.Now());
        } else {
          this->builder.ForgetReport(target);
        }
        this->Publish();
      });
  }

  void Observe(const core::TargetId& aTarget, const absl::StatusOr<targets::EngineReport>& aReport)
  {
    if (this->ports.observer == nullptr) {
      return;
    }
    if (aReport.ok()) {
      this->ports.observer->OnReport(aTarget, *aReport);
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
          this->ports.observer->OnCacheEvents(target, *aEvents);
        }
      });
  }

  void Publish() { this->board.Publish(this->builder.Build()); }

  ControlLoopOptions options;
  ControlPorts ports;
  ViewBoard& board;
  ViewBuilder builder;
  core::Revision configurationRevision;
  std::atomic<bool> stopping = false;
  asio::io_context context;
  asio::thread_pool calls;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  asio::steady_timer listTimer;
  asio::steady_timer reportTimer;
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
