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
#include <plantainslip/control/store_reading.hpp>
#include <plantainslip/control/view_builder.hpp>
#include <plantainslip/core/log.hpp>
#include <plantainslip/core/random.hpp>

#include "gossip_port.hpp"

namespace plantainslip::control {

namespace {

namespace asio = boost::asio;

constexpr std::size_t kCallThreads = 8;
constexpr std::chrono::milliseconds kPollTick(100);
constexpr std::chrono::milliseconds kTellTimeout(500);
constexpr std::chrono::milliseconds kRoleCheckInterval(500);
constexpr std::chrono::milliseconds kCatchUpInterval(500);
constexpr std::size_t kPeersAskedAtOnce = 3;

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
    , calls(kCallThreads)
    , work(asio::make_work_guard(context))
    , listTimer(context)
    , pollTimer(context)
    , tellTimer(context)
    , eventTimer(context)
    , watchTimer(context)
    , catchUpTimer(context)
    , gossip(context, MakeMembershipOptions(options, aPorts.clock), options.peerKey, aPorts.clock)
  {
  }

  absl::Status Run()
  {
    if (this->HasPeers()) {
      if (absl::Status opened = this->gossip.Open(); !opened.ok()) {
        return opened;
      }
      asio::post(this->context, [this] { this->StartGossip(); });
    } else {
      core::Log(core::LogLevel::kWarning, "no key for peers, so there are none");
    }
    asio::post(this->context, [this] { this->ReadList(); });
    asio::post(this->context, [this] { this->FollowConfiguration(); });
    asio::post(this->context, [this] { this->PollEngines(); });
    asio::post(this->context, [this] { this->TellReports(); });
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

  bool HasPeers() const { return !this->options.peerKey.empty() && this->ports.peers != nullptr; }

  void StartGossip()
  {
    GossipPort::Events events;
    events.onChange = [this] {
      this->Publish();
      this->ShareEngines();
    };
    events.onNewerConfiguration = [this](const net::Address& aPeer, core::ConfigVersion) {
      this->AskPeer(aPeer);
    };
    this->gossip.Start(std::move(events));
    for (const net::Address& seed : this->options.seeds) {
      this->gossip.Send({ this->gossip.State().Greet(seed) });
    }
    this->CatchUp();
  }

  // Until this instance knows the configuration and the list, it asks whoever may know them, so
  // that it can start without the platform.
  void CatchUp()
  {
    const bool knowsAll = this->builder.Version() != core::ConfigVersion() && this->listKnown;
    if (knowsAll) {
      return;
    }
    std::vector<net::Address> candidates = this->options.seeds;
    for (const membership::MemberRecord& member : this->gossip.State().Members()) {
      candidates.push_back(member.address);
    }
    for (std::size_t asked = 0; asked < kPeersAskedAtOnce && !candidates.empty(); ++asked) {
      std::swap(candidates[this->random.Below(candidates.size())], candidates.back());
      this->AskPeer(candidates.back());
      candidates.pop_back();
    }
    this->After(this->catchUpTimer, kCatchUpInterval, [this] { this->CatchUp(); });
  }

  void AskPeer(const net::Address& aPeer)
  {
    if (this->peersAsked >= kPeersAskedAtOnce) {
      return;
    }
    ++this->peersAsked;
    this->CallThen(
      [this, aPeer, known = this->builder.Version()] {
        return this->ports.peers->Call(
          aPeer, kFleetStateKind, FormatFleetStateRequest(known), this->options.peerTimeout);
      },
      [this, aPeer](absl::StatusOr<std::string> aAnswer) {
        --this->peersAsked;
        const auto state =
          aAnswer.ok() ? ParseFleetState(*aAnswer) : absl::StatusOr<FleetState>(aAnswer.status());
        if (state.ok()) {
          this->AdoptState(*state);
          this->gossip.Send({ this->gossip.State().Greet(aPeer) });
        }
      });
  }

  void AdoptState(const FleetState& aState)
  {
    this->gossip.State().AdoptMarks(aState.marks);
    // The platform's own word goes before what a peer read earlier.
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
      this->gossip.State().AdoptList(aList, this->ports.clock.Now());
    }
    this->list = aList;
    this->builder.AdoptList(std::move(aList));
    this->Publish();
    this->ShareEngines();
  }

  void ReadList()
  {
    this->CallThen([this] { return this->ports.list.Read(); },
                   [this](absl::StatusOr<std::vector<platform::ListedInstance>> aList) {
                     if (aList.ok()) {
                       this->AdoptList(*std::move(aList));
                     }
                     this->After(
                       this->listTimer, this->options.listInterval, [this] { this->ReadList(); });
                   });
  }

  // A few instances of each zone watch the store; the others hear from them, and poll seldom.
  void FollowConfiguration()
  {
    const std::vector<core::InstanceId> live = this->gossip.State().LiveInZone();
    if (!this->HasPeers() || ShouldWatch(live, this->options.self)) {
      this->WatchConfiguration();
      return;
    }
    const core::MonotonicTime now = this->ports.clock.Now();
    if (this->nextPoll == core::MonotonicTime()) {
      this->nextPoll = now + NextPollDelay(live.size(), this->random);
    } else if (now >= this->nextPoll) {
      this->nextPoll = core::MonotonicTime();
      this->PollConfiguration();
      return;
    }
    this->FollowLater(kRoleCheckInterval);
  }

  void FollowLater(std::chrono::milliseconds aDelay)
  {
    this->After(this->watchTimer, aDelay, [this] { this->FollowConfiguration(); });
  }

  void PollConfiguration()
  {
    this->CallThen([this] { return this->ports.store.Get(config::kConfigurationKey); },
                   [this](const absl::StatusOr<std::optional<platform::StoredValue>>& aValue) {
                     this->TakeStored(aValue);
                     this->FollowLater(kRoleCheckInterval);
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
      [this](const absl::StatusOr<std::optional<platform::StoredValue>>& aValue) {
        this->TakeStored(aValue);
        this->FollowLater(aValue.ok() ? std::chrono::milliseconds(0) : this->options.storeBackOff);
      });
  }

  void TakeStored(const absl::StatusOr<std::optional<platform::StoredValue>>& aValue)
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
                "configuration record cannot be read",
                { { "problem", std::string(parsedRecord.status().message()) } });
      return;
    }
    auto parsed = config::ParseConfiguration(parsedRecord->version, parsedRecord->document);
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
      const bool reachable =
        this->ports.peers != nullptr && entry.peerAddress.port != 0 && entry.alive;
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
    this->PublishView();
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

  // Reports come many times a second and change only the view; the state for peers holds the whole
  // configuration record and list, so it is copied only when one of these or a mark may have
  // changed.
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
    this->builder.AdoptMembership(this->gossip.State().Members(),
                                  this->gossip.State().Marks().All());
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
  std::size_t peersAsked = 0;
  core::MonotonicTime nextPoll;
  std::atomic<bool> stopping = false;
  asio::io_context context;
  asio::thread_pool calls;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  asio::steady_timer listTimer;
  asio::steady_timer pollTimer;
  asio::steady_timer tellTimer;
  asio::steady_timer eventTimer;
  asio::steady_timer watchTimer;
  asio::steady_timer catchUpTimer;
  GossipPort gossip;
  std::thread thread;
};

} // namespace

absl::StatusOr<std::unique_ptr<ControlLoop>>
ControlLoop::Start(ControlLoopOptions aOptions, ControlPorts aPorts, ViewBoard& aBoard)
{
  auto loop = std::make_unique<AsioControlLoop>(std::move(aOptions), aPorts, aBoard);
  if (absl::Status running = loop->Run(); !running.ok()) {
    return running;
  }
  return loop;
}

} // namespace plantainslip::control
