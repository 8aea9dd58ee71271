#include "control.hpp"

#include <algorithm>

#include <absl/strings/str_join.h>

#include <plantainslip/core/log.hpp>
#include <plantainslip/serving/errors.hpp>
#include <plantainslip/workspaces/key_table.hpp>

#include "spawn.hpp"

namespace plantainslip::serving {

namespace {

/// Renewals cost a tenth of a read. Those of a watcher also confirm, for all its peers, that its
/// revisions are the newest.
constexpr milliseconds kWatcherRenewInterval{ 1'000 };
constexpr milliseconds kRenewInterval{ 2'500 };
/// Covers three failed renewals.
constexpr milliseconds kEntryTtl{ 8'000 };
/// Peers are mostly discovered by their messages; the list in the store finds those whose messages
/// do not arrive yet.
constexpr milliseconds kInitialPeerReadInterval{ 1'000 };
constexpr milliseconds kWatcherPeerReadInterval{ 4'000 };
constexpr milliseconds kPeerReadInterval{ 20'000 };
constexpr milliseconds kDeadlineCheckInterval{ 200 };
/// Changes come in bursts and each store call costs; configurations and targets may both take
/// seconds to be in force.
constexpr milliseconds kConfigBatchDelay{ 150 };
constexpr milliseconds kTargetBatchDelay{ 350 };

const std::string kInstancePrefix = "plantainslip/instances/";

std::string
OriginName(ChangeOrigin aOrigin)
{
  return aOrigin == ChangeOrigin::kStore ? "store" : "peer";
}

void
LogWorkspacesWithoutKeys(const ServingConfig& aConfig)
{
  if (aConfig.workspaces == nullptr || aConfig.workspaces->WithoutKeys().empty()) {
    return;
  }
  // Bounds the line's length; the count tells whether there are more.
  constexpr std::size_t kMaxNames = 10;
  const std::vector<core::WorkspaceId>& all = aConfig.workspaces->WithoutKeys();
  const auto named = static_cast<std::ptrdiff_t>(std::min(kMaxNames, all.size()));
  core::Log(core::LogLevel::kWarning,
            "workspaces without keys: nobody can use them",
            { { "version", std::to_string(aConfig.version.Number()) },
              { "count", std::to_string(all.size()) },
              { "workspaces",
                absl::StrJoin(all.begin(),
                              all.begin() + named,
                              ",",
                              [](std::string* aText, const core::WorkspaceId& aWorkspace) {
                                aText->append(aWorkspace.Text());
                              }) } });
}

// Without platform calls a lease that was lost may be claimed again at once.
duties::LeaseRules
MakeLeaseRules(const ControlOptions& aOptions)
{
  duties::LeaseRules rules;
  rules.duration = aOptions.leaseDuration;
  if (aOptions.platformCalls.has_value()) {
    rules.pauseAfterLoss = aOptions.leaseDuration;
    rules.resolvesClaims = true;
  }
  return rules;
}

} // namespace

Control::Control(asio::io_context& aContext,
                 AsyncStore& aStore,
                 const DirectoryCodec& aCodec,
                 const TargetProtocol& aProtocol,
                 ConnectionPool& aPool,
                 const core::Clock& aClock,
                 ControlOptions aOptions,
                 Publish aPublish)
  : context(aContext)
  , store(aStore, aClock, this->StoreObserver())
  , codec(aCodec)
  , protocol(aProtocol)
  , pool(aPool)
  , clock(aClock)
  , options(std::move(aOptions))
  , publish(std::move(aPublish))
  , random(core::MakeSeed())
  , configFollower(aContext,
                   this->store,
                   aPool,
                   aClock,
                   aCodec.ConfigKey(),
                   kConfigBatchDelay,
                   [this](const FollowedChanges& aChanges) { this->ApplyConfig(aChanges); })
  , targetFollower(aContext,
                   this->store,
                   aPool,
                   aClock,
                   aCodec.TargetPrefix(),
                   kTargetBatchDelay,
                   [this](const FollowedChanges& aChanges) { this->ApplyTargets(aChanges); })
  , directory(this->options.targetHeartbeat)
  , leadership(this->store, this->options.self.id, MakeLeaseRules(this->options), [this] {
    this->OnLeaseChange();
  })
{
}

ObservedStore::Observer
Control::StoreObserver()
{
  return { [this] { this->directory.RecordContact(this->clock.Now()); },
           [this](core::MonotonicTime aDueAt) { this->directory.RecordUnansweredCall(aDueAt); } };
}

absl::Status
Control::Start()
{
  auto server = ServeChanges(this->context,
                             this->options.self.address,
                             this->clock,
                             { &this->configFollower, &this->targetFollower });
  if (!server.ok()) {
    return server.status();
  }
  this->changesServer = std::move(*server);
  this->changesServer->SetMachineLimits(this->options.changesLimits);
  const auto run = [this](const char* aName, std::function<Task<void>()> aLoop) {
    SpawnLoop(this->context, aName, std::move(aLoop));
  };
  run("follow configuration", [this] { return this->configFollower.Run(); });
  run("follow targets", [this] { return this->targetFollower.Run(); });
  run("maintain own entry", [this] { return this->MaintainEntry(); });
  run("read peers", [this] { return this->ReadPeers(); });
  run("apply target deadlines", [this] { return this->ApplyTargetDeadlines(); });
  run("lead", [this] { return this->LeadershipLoop(); });
  return absl::OkStatus();
}

PeerState
Control::OwnState() const
{
  PeerState state;
  state.id = this->options.self.id;
  state.zone = this->options.self.zone;
  state.address = this->options.self.address;
  state.linkMbps = this->options.linkMbps;
  state.confirmedAt = this->confirmedAt;
  state.configState = this->configFollower.State();
  state.targetsState = this->targetFollower.State();
  return state;
}

void
Control::RecordConfirmation(core::MonotonicTime aAt)
{
  if (aAt > this->confirmedAt) {
    this->confirmedAt = aAt;
    this->directory.RecordContact(aAt);
    this->PublishUpdate();
  }
}

void
Control::UpdateDemand(const DemandTable& aTotals, const ZoneDemandTable& aZones, bool aHasTraffic)
{
  this->hasTraffic = aHasTraffic;
  for (const auto& [zone, services] : aZones) {
    for (const auto& [service, totals] : services) {
      this->zoneDemand[service][zone].Update(totals, this->clock.Now());
    }
  }
  for (const auto& [service, totals] : aTotals) {
    this->demand[service].Update(totals, this->clock.Now());
  }
}

std::map<core::ServiceName, ZoneDemand>
Control::MeasuredZoneDemand() const
{
  std::map<core::ServiceName, ZoneDemand> measured;
  for (const auto& [service, zones] : this->zoneDemand) {
    for (const auto& [zone, estimator] : zones) {
      if (const auto current = estimator.Current(); current.has_value()) {
        measured[service][zone] = *current;
      }
    }
  }
  return measured;
}

void
Control::UpdatePeers(const std::vector<PeerState>& aPeers)
{
  const core::MonotonicTime now = this->clock.Now();
  for (const PeerState& peer : aPeers) {
    if (peer.confirmedAt != core::MonotonicTime{} && IsAlive(peer, now)) {
      this->directory.RecordContact(std::min(peer.confirmedAt, peer.lastMessageAt));
    }
    const bool sameZone = peer.zone == this->options.self.zone;
    this->configFollower.OnPeerState(peer.configState, peer.address, sameZone);
    this->targetFollower.OnPeerState(peer.targetsState, peer.address, sameZone);
  }
  this->livePeerCount = static_cast<std::size_t>(std::count_if(
    aPeers.begin(), aPeers.end(), [&](const auto& aPeer) { return IsAlive(aPeer, now); }));
  this->RecordLivePeers(aPeers);
  this->RecordConfirmation(LatestPeerConfirmation(this->OwnState(), aPeers, now));
  const WatchDuty newDuty = DecideWatchDuty(this->OwnState(), aPeers, now);
  if (newDuty.isWatcher != this->duty.isWatcher) {
    core::Log(core::LogLevel::kInfo,
              newDuty.isWatcher ? "following the store directly"
                                : "following the store through peers",
              { { "watchers", std::to_string(newDuty.watcherCount) },
                { "peers", std::to_string(this->livePeerCount) },
                { "confirmed_ms_ago",
                  std::to_string(
                    std::chrono::duration_cast<milliseconds>(now - this->confirmedAt).count()) } });
  }
  this->duty = newDuty;
  this->configFollower.SetDuty(newDuty);
  this->targetFollower.SetDuty(newDuty);
}

bool
Control::HasHealthyWatches() const
{
  return this->configFollower.IsWatchHealthy() && this->targetFollower.IsWatchHealthy();
}

void
Control::ApplyConfig(const FollowedChanges& aChanges)
{
  for (const StoreItem& item : aChanges.items.items) {
    if (item.key != this->codec.ConfigKey() || item.removed ||
        item.position <= this->configPosition) {
      continue;
    }
    absl::StatusOr<ServingConfig> read = this->codec.ReadConfig(item.value);
    if (!read.ok()) {
      core::Log(core::LogLevel::kError,
                "configuration invalid; the previous one stays in force",
                { { "revision", std::to_string(item.position.revision.Number()) },
                  { "error", std::string(read.status().message()) } });
      this->PublishUpdate(aChanges.origin == ChangeOrigin::kStore);
      continue;
    }
    this->configPosition = item.position;
    if (this->config != nullptr && read->version < this->config->version) {
      // The store came back from an older copy; the operator writes the newest version again.
      core::Log(core::LogLevel::kWarning,
                "configuration older than the one in force; ignored",
                { { "version", std::to_string(read->version.Number()) },
                  { "in_force", std::to_string(this->config->version.Number()) } });
      this->PublishUpdate(aChanges.origin == ChangeOrigin::kStore);
      continue;
    }
    this->config = std::make_shared<const ServingConfig>(std::move(*read));
    core::Log(
      core::LogLevel::kInfo,
      "configuration in force",
      { { "version", std::to_string(this->config->version.Number()) },
        { "revision", std::to_string(item.position.revision.Number()) },
        { "routes", std::to_string(this->config->routes.size()) },
        { "workspaces",
          this->config->workspaces == nullptr ? "none"
                                              : std::to_string(this->config->workspaces->Size()) },
        { "origin", OriginName(aChanges.origin) } });
    LogWorkspacesWithoutKeys(*this->config);
    this->PublishUpdate(aChanges.origin == ChangeOrigin::kStore);
  }
}

void
Control::ApplyTargets(const FollowedChanges& aChanges)
{
  std::vector<DirectoryChange> changes;
  for (const StoreItem& item : aChanges.items.items) {
    DirectoryChange change;
    change.id = core::TargetId(item.key.substr(this->codec.TargetPrefix().size()));
    change.position = item.position;
    change.removed = item.removed;
    if (!item.removed) {
      absl::StatusOr<Target> read = this->codec.ReadTarget(item.key, item.value);
      if (read.ok()) {
        change.target = std::move(*read);
      } else {
        core::Log(core::LogLevel::kWarning,
                  "directory entry invalid",
                  { { "key", item.key }, { "error", std::string(read.status().message()) } });
      }
    }
    changes.push_back(std::move(change));
  }
  const core::MonotonicTime now = this->clock.Now();
  this->directory.RecordContact(now, aChanges.items.upTo);
  const std::map<core::TargetId, Target> before = this->directory.Targets();
  bool changed = false;
  if (aChanges.isSnapshot) {
    changed = this->directory.ApplyAll(changes, aChanges.items.upTo, now);
  } else {
    for (const DirectoryChange& change : changes) {
      changed = this->directory.Apply(change, now) || changed;
    }
  }
  if (this->directory.Targets().size() != before.size()) {
    this->RecordMembershipChange();
  }
  for (const DirectoryChange& change : changes) {
    this->LogDeparture(change, aChanges, before);
  }
  if (changed) {
    core::Log(core::LogLevel::kInfo,
              "targets changed",
              { { "targets", std::to_string(this->directory.Targets().size()) },
                { "revision", std::to_string(aChanges.items.upTo.revision.Number()) },
                { "origin", OriginName(aChanges.origin) } });
  }
  if (changed || aChanges.isNews) {
    this->PublishUpdate(aChanges.origin == ChangeOrigin::kStore);
  }
}

void
Control::LogDeparture(const DirectoryChange& aChange,
                      const FollowedChanges& aSource,
                      const std::map<core::TargetId, Target>& aBefore) const
{
  const auto isUsable = [&](const std::map<core::TargetId, Target>& aTargets) {
    const auto found = aTargets.find(aChange.id);
    return found != aTargets.end() && !found->second.leaving;
  };
  const bool isLeaving = aChange.target.has_value() && aChange.target->leaving;
  if ((!aChange.removed && !isLeaving) || !isUsable(aBefore)) {
    return;
  }
  const auto sinceConfirmed =
    std::chrono::duration_cast<milliseconds>(this->clock.Now() - this->confirmedAt);
  core::Log(core::LogLevel::kInfo,
            "target is leaving, according to the directory",
            { { "target", aChange.id.Text() },
              { "entry", aChange.removed ? "removed" : "leaving" },
              { "origin", OriginName(aSource.origin) },
              { "full_list", aSource.isSnapshot ? "yes" : "no" },
              { "era", std::to_string(aChange.position.era.Number()) },
              { "revision", std::to_string(aChange.position.revision.Number()) },
              { "confirmed_ms_ago", std::to_string(sinceConfirmed.count()) },
              { "still_used", isUsable(this->directory.Targets()) ? "yes" : "no" } });
}

Task<void>
Control::ApplyTargetDeadlines()
{
  while (true) {
    co_await SleepFor(kDeadlineCheckInterval);
    if (this->directory.ApplyDeadlines(this->clock.Now())) {
      this->PublishUpdate();
    }
  }
}

void
Control::PublishUpdate(bool aAnnounce)
{
  auto fleet = std::make_shared<FleetSnapshot>();
  fleet->config = this->config;
  fleet->targets = this->directory.Targets();
  fleet->configState = this->configFollower.State();
  fleet->targetsState = this->targetFollower.State();
  ControlUpdate update;
  update.fleet = std::move(fleet);
  update.confirmedAt = this->confirmedAt;
  update.peers = this->peers;
  update.announce = aAnnounce;
  for (const auto& [id, change] : this->pendingOrders) {
    update.changing.push_back(id);
  }
  update.leaving = this->leaving;
  update.heldToken =
    this->options.platformCalls.has_value() ? this->leadership.Token() : core::FencingToken(0);
  this->publish(std::move(update));
}

Task<bool>
Control::EnsureEntry()
{
  if (this->entryLease.has_value()) {
    const absl::Status renewed = co_await this->store.Renew(*this->entryLease);
    if (!core::IsError(renewed, errors::kStoreConflict)) {
      co_return renewed.ok();
    }
    this->entryLease.reset();
  }
  const auto lease = co_await this->store.Grant(kEntryTtl);
  if (!lease.ok()) {
    co_return false;
  }
  const PeerInstance& self = this->options.self;
  std::string key = kInstancePrefix + self.id.Text();
  std::string value = self.address.Text() + " " + self.zone.Text();
  const auto written =
    co_await this->store.Put(std::move(key), std::move(value), *lease, std::nullopt);
  if (!written.ok()) {
    co_return false;
  }
  this->entryLease = *lease;
  co_return true;
}

Task<void>
Control::MaintainEntry()
{
  while (true) {
    const core::MonotonicTime before = this->clock.Now();
    const bool entryValid = co_await this->EnsureEntry();
    if (entryValid && this->HasHealthyWatches()) {
      this->RecordConfirmation(before);
    }
    co_await SleepFor(this->duty.isWatcher ? kWatcherRenewInterval : kRenewInterval);
  }
}

Task<void>
Control::ReadPeers()
{
  while (true) {
    const auto items = co_await this->store.List(kInstancePrefix, Freshness::kMayBeStale);
    if (items.ok()) {
      std::vector<PeerInstance> read;
      for (const StoreItem& item : items->items) {
        const std::size_t space = item.value.find(' ');
        const auto address = net::Address::Parse(item.value.substr(0, space));
        const core::InstanceId id(item.key.substr(kInstancePrefix.size()));
        if (address.ok() && space != std::string::npos && id != this->options.self.id) {
          read.push_back({ id, *address, core::ZoneId(item.value.substr(space + 1)) });
        }
      }
      if (read != this->peers) {
        this->peers = std::move(read);
        this->PublishUpdate();
      }
    }
    const bool noLivePeers = this->peers.empty() || this->livePeerCount == 0;
    co_await SleepFor(noLivePeers
                        ? kInitialPeerReadInterval
                        : (this->duty.isWatcher ? kWatcherPeerReadInterval : kPeerReadInterval));
  }
}

} // namespace plantainslip::serving
