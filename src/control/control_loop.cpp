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
#include <plantainslip/control/store_watch_policy.hpp>
#include <plantainslip/control/view_builder.hpp>
#include <plantainslip/core/log.hpp>
#include <plantainslip/core/random.hpp>

#include "gossip_port.hpp"

namespace plantainslip::control {

namespace {

namespace asio = boost::asio;

constexpr std::size_t kBlockingCallThreads = 8;
constexpr std::chrono::milliseconds kPollCheckInterval(100);
constexpr std::chrono::milliseconds kLoadRecordsTimeout(500);
constexpr std::chrono::milliseconds kWatcherCheckInterval(500);
constexpr std::chrono::milliseconds kBootstrapInterval(500);
constexpr std::size_t kMaxPeerQueries = 3;

membership::MembershipOptions
MakeMembershipOptions(const ControlLoopOptions& aOptions, const core::Clock& aClock)
{
  const auto started =
    std::chrono::duration_cast<std::chrono::milliseconds>(aClock.WallNow().time_since_epoch());
  membership::MembershipOptions options;
  options.self.instance = aOptions.self;
  options.self.zone = aOptions.zone;
  options.self.address = aOptions.peerAddress;
  options.self.incarnation = membership::Incarnation(static_cast<std::uint64_t>(started.count()));
  return options;
}

class AsioControlLoop final : public ControlLoop
{
public:
  AsioControlLoop(ControlLoopOptions aOptions, ControlPorts aPorts, ViewBoard& aBoard)
    : options(std::move(aOptions))
    , ports(aPorts)
    , board(aBoard)
    , exchange(this->options.self, {})
    , random(core::MakeSeed())
    , calls(kBlockingCallThreads)
    , work(asio::make_work_guard(context))
    , listTimer(context)
    , pollTimer(context)
    , loadRecordTimer(context)
    , cacheEventTimer(context)
    , configurationTimer(context)
    , bootstrapTimer(context)
    , gossip(context, MakeMembershipOptions(options, aPorts.clock), options.peerKey, aPorts.clock)
  {
  }

  absl::Status StartThread()
  {
    if (this->HasPeers()) {
      if (absl::Status opened = this->gossip.Open(); !opened.ok()) {
        return opened;
      }
      asio::post(this->context, [this] { this->StartGossip(); });
    } else {
      core::Log(core::LogLevel::kWarning, "no peer key is configured, peers are disabled");
    }
    asio::post(this->context, [this] { this->ReadList(); });
    asio::post(this->context, [this] { this->RefreshConfiguration(); });
    asio::post(this->context, [this] { this->PollEngines(); });
    asio::post(this->context, [this] { this->SendLoadRecords(); });
    asio::post(this->context, [this] { this->ReadAllCacheEvents(); });
    this->thread = std::thread([this] { this->context.run(); });
    return absl::OkStatus();
  }

  ~AsioControlLoop() override { this->AsioControlLoop::Stop(); }

  void Stop() override
  {
    if (!this->thread.joinable()) {
      return;
    }
    this->stopping = true;
    asio::post(this->context, [this] {
      if (this->HasPeers()) {
        this->gossip.Send(this->gossip.State().Leave());
      }
      this->context.stop();
    });
    this->thread.join();
    this->calls.join();
  }

  absl::StatusOr<std::string> HandleLoadRecords(const std::string& aBody) override
  {
    auto records = ParseLoadRecords(aBody);
    if (!records.ok()) {
      return records.status();
    }
    asio::post(this->context, [this, parsedRecords = *std::move(records)] {
      this->MergeLoadRecords(parsedRecords);
    });
    return std::string();
  }

private:
  // Runs a blocking call on the thread pool, then passes its result to aThen on the control thread.
  template<typename Call, typename Then>
  void CallOnPool(Call aCall, Then aThen)
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
  void RunAfter(asio::steady_timer& aTimer, std::chrono::milliseconds aDelay, Action aAction)
  {
    aTimer.expires_after(aDelay);
    aTimer.async_wait([aAction](boost::system::error_code aFailure) {
      if (!aFailure) {
        aAction();
      }
    });
  }

  bool HasPeers() const { return !this->options.peerKey.empty() && this->ports.peers != nullptr; }

  void StartGossip()
  {
    GossipPort::Events events;
    events.onChange = [this] {
      this->Publish();
      this->UpdateExchangeFleet();
    };
    events.onNewerConfiguration = [this](const net::Address& aPeer, core::ConfigVersion) {
      this->RequestFleetState(aPeer);
    };
    this->gossip.Start(std::move(events));
    for (const net::Address& seed : this->options.seeds) {
      this->gossip.Send({ this->gossip.State().MakeJoinMessage(seed) });
    }
    this->Bootstrap();
  }

  // Queries seeds and known members until the configuration and the instance list are known, so
  // that the instance can start while the platform is unreachable.
  void Bootstrap()
  {
    const bool complete = this->builder.Version() != core::ConfigVersion() && this->listKnown;
    if (complete) {
      return;
    }
    std::vector<net::Address> candidates = this->options.seeds;
    for (const membership::MemberRecord& member : this->gossip.State().Members()) {
      candidates.push_back(member.address);
    }
    for (std::size_t sent = 0; sent < kMaxPeerQueries && !candidates.empty(); ++sent) {
      std::swap(candidates[this->random.Below(candidates.size())], candidates.back());
      this->RequestFleetState(candidates.back());
      candidates.pop_back();
    }
    this->RunAfter(this->bootstrapTimer, kBootstrapInterval, [this] { this->Bootstrap(); });
  }

  void RequestFleetState(const net::Address& aPeer)
  {
    if (this->peerQueriesInFlight >= kMaxPeerQueries) {
      return;
    }
    ++this->peerQueriesInFlight;
    this->CallOnPool(
      [this, aPeer, known = this->builder.Version()] {
        return this->ports.peers->Call(
          aPeer, kFleetStateKind, FormatFleetStateRequest(known), this->options.peerTimeout);
      },
      [this, aPeer](absl::StatusOr<std::string> aAnswer) {
        --this->peerQueriesInFlight;
        const auto state =
          aAnswer.ok() ? ParseFleetState(*aAnswer) : absl::StatusOr<FleetState>(aAnswer.status());
        if (state.ok()) {
          this->AdoptState(*state);
          this->gossip.Send({ this->gossip.State().MakeJoinMessage(aPeer) });
        }
      });
  }

  void AdoptState(const FleetState& aState)
  {
    this->gossip.State().MergeMarks(aState.marks);
    // A list that was read from the platform takes precedence over a peer's older copy.
    if (!this->listKnown && !aState.list.empty()) {
      this->AdoptList(aState.list);
    }
    if (!aState.record.value.empty()) {
      this->AdoptRecord(aState.record);
    }
    this->Publish();
  }

  void AdoptList(std::vector<platform::ListedInstance> aList)
  {
    this->listKnown = true;
    if (this->HasPeers()) {
      this->gossip.State().UpdateFromList(aList, this->ports.clock.Now());
    }
    this->list = aList;
    this->builder.SetList(std::move(aList));
    this->Publish();
    this->UpdateExchangeFleet();
  }

  void ReadList()
  {
    this->CallOnPool([this] { return this->ports.list.Read(); },
                     [this](absl::StatusOr<std::vector<platform::ListedInstance>> aList) {
                       if (aList.ok()) {
                         this->AdoptList(*std::move(aList));
                       }
                       this->RunAfter(this->listTimer, this->options.listPollInterval, [this] {
                         this->ReadList();
                       });
                     });
  }

  // A few instances of each zone watch the store. The others learn of new versions by gossip, and
  // poll the store at a low rate.
  void RefreshConfiguration()
  {
    const std::vector<core::InstanceId> live = this->gossip.State().LiveInZone();
    if (!this->HasPeers() || ShouldWatch(live, this->options.self)) {
      this->WatchConfiguration();
      return;
    }
    const core::MonotonicTime now = this->ports.clock.Now();
    if (this->nextStorePoll == core::MonotonicTime()) {
      this->nextStorePoll = now + NextPollDelay(live.size(), this->random);
    } else if (now >= this->nextStorePoll) {
      this->nextStorePoll = core::MonotonicTime();
      this->PollConfiguration();
      return;
    }
    this->ScheduleRefresh(kWatcherCheckInterval);
  }

  void ScheduleRefresh(std::chrono::milliseconds aDelay)
  {
    this->RunAfter(this->configurationTimer, aDelay, [this] { this->RefreshConfiguration(); });
  }

  void PollConfiguration()
  {
    this->CallOnPool([this] { return this->ports.store.Get(config::kConfigurationKey); },
                     [this](const absl::StatusOr<std::optional<platform::StoredValue>>& aValue) {
                       this->AdoptStored(aValue);
                       this->ScheduleRefresh(kWatcherCheckInterval);
                     });
  }

  void WatchConfiguration()
  {
    const core::Revision after = this->configurationRevision;
    this->CallOnPool(
      [this, after] {
        return this->ports.store.Watch(
          config::kConfigurationKey, after, this->options.watchTimeout);
      },
      [this](const absl::StatusOr<std::optional<platform::StoredValue>>& aValue) {
        this->AdoptStored(aValue);
        this->ScheduleRefresh(aValue.ok() ? std::chrono::milliseconds(0)
                                          : this->options.storeBackoff);
      });
  }

  void AdoptStored(const absl::StatusOr<std::optional<platform::StoredValue>>& aValue)
  {
    if (aValue.ok() && aValue->has_value()) {
      this->AdoptRecord(**aValue);
    }
  }

  void AdoptRecord(const platform::StoredValue& aStored)
  {
    this->configurationRevision = std::max(this->configurationRevision, aStored.revision);
    const auto parsedRecord = config::ParseRecord(aStored.value);
    if (!parsedRecord.ok()) {
      core::Log(core::LogLevel::kError,
                "configuration record cannot be parsed",
                { { "problem", std::string(parsedRecord.status().message()) } });
      return;
    }
    auto parsed = config::ParseConfiguration(parsedRecord->version, parsedRecord->document);
    if (!parsed.ok()) {
      core::Log(core::LogLevel::kError,
                "configuration cannot be parsed",
                { { "problem", std::string(parsed.status().message()) } });
      return;
    }
    if (this->builder.AdoptConfiguration(
          std::make_shared<const config::Configuration>(*std::move(parsed)))) {
      core::Log(core::LogLevel::kInfo,
                "configuration in force",
                { { "version", std::to_string(parsedRecord->version.Number()) } });
      this->record = aStored;
      if (this->HasPeers()) {
        this->gossip.AnnounceConfiguration(parsedRecord->version);
      }
      this->Publish();
    }
  }

  void PollEngines()
  {
    for (const core::TargetId& target : this->exchange.StartDuePolls(this->ports.clock.Now())) {
      const auto view = this->board.Current();
      const auto engine =
        std::find_if(view->engines.begin(), view->engines.end(), [&](const EngineView& aEngine) {
          return aEngine.target == target;
        });
      if (engine != view->engines.end()) {
        this->ReadReport(*engine);
      }
    }
    this->RunAfter(this->pollTimer, kPollCheckInterval, [this] { this->PollEngines(); });
  }

  void ReadReport(const EngineView& aEngine)
  {
    this->CallOnPool(
      [this, address = aEngine.address] { return this->ports.engines.ReadReport(address); },
      [this, target = aEngine.target](const absl::StatusOr<targets::EngineReport>& aReport) {
        const core::MonotonicTime now = this->ports.clock.Now();
        if (aReport.ok()) {
          this->exchange.SetPolledReport(target, *aReport, now);
        } else {
          this->exchange.SetUnreachable(target, now);
        }
        this->PublishReports();
      });
  }

  void MergeLoadRecords(const std::vector<LoadRecord>& aRecords)
  {
    if (this->exchange.MergeRecords(aRecords, this->ports.clock.Now())) {
      this->PublishReports();
    }
  }

  // Sends to one random peer per interval, so that an instance's cost does not grow with the number
  // of peers.
  void SendLoadRecords()
  {
    const std::vector<EntryView> peers = this->ReachablePeersInZone();
    if (!peers.empty()) {
      const EntryView& peer = peers[this->random.Below(peers.size())];
      const std::string body =
        FormatLoadRecords(this->exchange.MakeRecords(this->ports.clock.Now()));
      this->CallOnPool(
        [this, address = peer.peerAddress, body] {
          return this->ports.peers->Call(address, kLoadRecordsKind, body, kLoadRecordsTimeout);
        },
        [](const absl::StatusOr<std::string>& /*aAnswer*/) {});
    }
    this->RunAfter(
      this->loadRecordTimer, this->options.loadRecordInterval, [this] { this->SendLoadRecords(); });
  }

  std::vector<EntryView> ReachablePeersInZone() const
  {
    std::vector<EntryView> peers;
    for (const EntryView& entry : this->board.Current()->entries) {
      const bool reachable =
        this->ports.peers != nullptr && entry.peerAddress.port != 0 && entry.alive;
      if (reachable && entry.zone == this->options.zone && entry.instance != this->options.self) {
        peers.push_back(entry);
      }
    }
    return peers;
  }

  void UpdateExchangeFleet()
  {
    std::vector<core::InstanceId> instances;
    for (const EntryView& entry : this->ReachablePeersInZone()) {
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
      this->NotifyObserver(engine.target, known);
      if (known.has_value()) {
        this->builder.SetReport(engine.target, std::move(known->report), known->reportedAt);
      } else {
        this->builder.RemoveReport(engine.target);
      }
    }
    this->PublishView();
  }

  void ReadAllCacheEvents()
  {
    for (const EngineView& engine : this->board.Current()->engines) {
      if (engine.zone == this->options.zone) {
        this->ReadCacheEvents(engine);
      }
    }
    this->RunAfter(this->cacheEventTimer, this->options.cacheEventInterval, [this] {
      this->ReadAllCacheEvents();
    });
  }

  // Reports forwarded by peers are passed on as well as those that this instance has polled.
  void NotifyObserver(const core::TargetId& aTarget, const std::optional<TimedReport>& aKnown)
  {
    if (this->ports.observer == nullptr) {
      return;
    }
    if (aKnown.has_value()) {
      this->ports.observer->OnReport(aTarget, aKnown->report);
    } else {
      this->ports.observer->OnNoReport(aTarget);
    }
  }

  void ReadCacheEvents(const EngineView& aEngine)
  {
    if (this->ports.observer == nullptr) {
      return;
    }
    const std::uint64_t after = this->ports.observer->NewestCacheEvent(aEngine.target);
    this->CallOnPool(
      [this, address = aEngine.address, after] {
        return this->ports.engines.ReadCacheEvents(address, after);
      },
      [this, target = aEngine.target](absl::StatusOr<std::vector<targets::CacheEvent>> aEvents) {
        if (aEvents.ok()) {
          this->ports.observer->OnCacheEvents(target, *aEvents, this->ports.clock.Now());
        }
      });
  }

  // Publishes the view and the state for peers. Reports arrive many times per second and change
  // only the view, so they use PublishView(): the state for peers contains the whole configuration
  // record and instance list, and is copied only when one of these or a mark may have changed.
  void Publish()
  {
    this->PublishView();
    auto state = std::make_shared<FleetState>();
    state->marks = this->gossip.State().Marks().All();
    state->version = this->builder.Version();
    state->record = this->record;
    state->list = this->list;
    this->ports.state.Publish(std::move(state));
  }

  void PublishView()
  {
    this->builder.SetMembership(this->gossip.State().Members(), this->gossip.State().Marks().All());
    this->board.Publish(this->builder.Build());
  }

  ControlLoopOptions options;
  ControlPorts ports;
  ViewBoard& board;
  ViewBuilder builder;
  ReportExchange exchange;
  core::RandomSource random;
  core::Revision configurationRevision;
  platform::StoredValue record;
  std::vector<platform::ListedInstance> list;
  bool listKnown = false;
  std::size_t peerQueriesInFlight = 0;
  core::MonotonicTime nextStorePoll;
  std::atomic<bool> stopping = false;
  asio::io_context context;
  asio::thread_pool calls;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  asio::steady_timer listTimer;
  asio::steady_timer pollTimer;
  asio::steady_timer loadRecordTimer;
  asio::steady_timer cacheEventTimer;
  asio::steady_timer configurationTimer;
  asio::steady_timer bootstrapTimer;
  GossipPort gossip;
  std::thread thread;
};

} // namespace

absl::StatusOr<std::unique_ptr<ControlLoop>>
ControlLoop::Start(ControlLoopOptions aOptions, ControlPorts aPorts, ViewBoard& aBoard)
{
  auto loop = std::make_unique<AsioControlLoop>(std::move(aOptions), aPorts, aBoard);
  if (absl::Status running = loop->StartThread(); !running.ok()) {
    return running;
  }
  return loop;
}

} // namespace plantainslip::control
