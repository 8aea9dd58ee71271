#include "control.hpp"

#include <algorithm>

#include <plantainslip/core/log.hpp>
#include <plantainslip/serving/errors.hpp>

namespace plantainslip::serving {

namespace {

/// Renewals cost a tenth of a read. Those of an instance that follows the store also confirm that
/// what it knows is the newest, for all its peers.
constexpr milliseconds kFollowingRenewal{ 1'000 };
constexpr milliseconds kRenewal{ 2'500 };
/// Three renewals may fail.
constexpr milliseconds kEntryDuration{ 8'000 };
/// Peers make themselves known by their messages; the list is for those that cannot be heard yet.
constexpr milliseconds kFirstPeerRead{ 1'000 };
constexpr milliseconds kFollowingPeerRead{ 4'000 };
constexpr milliseconds kPeerRead{ 20'000 };
constexpr milliseconds kLapseCheckInterval{ 200 };
/// Changes come in series; each call costs, and both bounds are seconds.
constexpr milliseconds kGatherConfigs{ 150 };
constexpr milliseconds kGatherTargets{ 350 };

const std::string kInstancePrefix = "plantainslip/instances/";

std::string
OriginName(ChangeOrigin aOrigin)
{
  return aOrigin == ChangeOrigin::kStore ? "store" : "peer";
}

} // namespace

Control::Control(asio::io_context& aContext,
                 AsyncStore& aStore,
                 const DirectoryCodec& aCodec,
                 ConnectionPool& aPool,
                 const core::Clock& aClock,
                 ControlOptions aOptions,
                 Publish aPublish)
  : context(aContext)
  , store(aStore)
  , codec(aCodec)
  , pool(aPool)
  , clock(aClock)
  , options(std::move(aOptions))
  , publish(std::move(aPublish))
  , random(core::MakeSeed())
  , configFollower(aContext,
                   aStore,
                   aPool,
                   aClock,
                   aCodec.ConfigKey(),
                   kGatherConfigs,
                   [this](const FollowedChanges& aChanges) { this->ApplyConfig(aChanges); })
  , targetFollower(aContext,
                   aStore,
                   aPool,
                   aClock,
                   aCodec.TargetPrefix(),
                   kGatherTargets,
                   [this](const FollowedChanges& aChanges) { this->ApplyTargets(aChanges); })
{
}

absl::Status
Control::Start()
{
  auto door = OpenChangesDoor(this->context,
                              this->options.self.address,
                              this->clock,
                              { &this->configFollower, &this->targetFollower });
  if (!door.ok()) {
    return door.status();
  }
  this->changesDoor = std::move(*door);
  const auto run = [this](auto aLoop) { asio::co_spawn(this->context, aLoop, asio::detached); };
  run([this]() -> Task<void> { return this->configFollower.Run(); });
  run([this]() -> Task<void> { return this->targetFollower.Run(); });
  run([this]() -> Task<void> { return this->KeepEntry(); });
  run([this]() -> Task<void> { return this->ReadPeers(); });
  run([this]() -> Task<void> { return this->ExpireLapsed(); });
  run([this]() -> Task<void> { return this->Lead(); });
  return absl::OkStatus();
}

Task<void>
Control::Sleep(milliseconds aTime)
{
  asio::steady_timer timer(this->context, aTime);
  ErrorCode ignored;
  co_await timer.async_wait(Into(ignored));
}

PeerStanding
Control::OwnStanding() const
{
  PeerStanding standing;
  standing.id = this->options.self.id;
  standing.zone = this->options.self.zone;
  standing.address = this->options.self.address;
  standing.linkMbps = this->options.linkMbps;
  standing.confirmedAt = this->confirmedAt;
  standing.configRevision = this->configRevision;
  standing.targetsRevision = this->targetsRevision;
  return standing;
}

void
Control::Confirm(core::MonotonicTime aAt)
{
  if (aAt > this->confirmedAt) {
    this->confirmedAt = aAt;
    this->PublishNews();
  }
}

void
Control::NotePeers(const std::vector<PeerStanding>& aPeers)
{
  const core::MonotonicTime now = this->clock.Now();
  for (const PeerStanding& peer : aPeers) {
    const bool near = peer.zone == this->options.self.zone;
    this->configFollower.NoteSeen(peer.configRevision, peer.address, near);
    this->targetFollower.NoteSeen(peer.targetsRevision, peer.address, near);
  }
  this->livePeers = static_cast<std::size_t>(std::count_if(
    aPeers.begin(), aPeers.end(), [&](const auto& aPeer) { return IsAlive(aPeer, now); }));
  this->Confirm(ConfirmedByPeers(this->OwnStanding(), aPeers, now));
  const WatchDuty decided = DecideWatchDuty(this->OwnStanding(), aPeers, now);
  if (decided.watches != this->duty.watches) {
    core::Log(core::LogLevel::kInfo,
              decided.watches ? "following the store" : "leaving the store to peers",
              { { "watchers", std::to_string(decided.watchers) },
                { "peers", std::to_string(this->livePeers) },
                { "confirmed_ms_ago",
                  std::to_string(
                    std::chrono::duration_cast<milliseconds>(now - this->confirmedAt).count()) } });
  }
  this->duty = decided;
  this->configFollower.SetDuty(decided);
  this->targetFollower.SetDuty(decided);
}

bool
Control::Follows() const
{
  return this->configFollower.InTouch() && this->targetFollower.InTouch();
}

void
Control::ApplyConfig(const FollowedChanges& aChanges)
{
  for (const StoreItem& item : aChanges.items.items) {
    if (item.key != this->codec.ConfigKey() || item.removed ||
        item.revision <= this->configRevision) {
      continue;
    }
    absl::StatusOr<ServingConfig> read = this->codec.ReadConfig(item.value);
    if (!read.ok()) {
      core::Log(core::LogLevel::kError,
                "configuration not readable; the old one stays in force",
                { { "revision", std::to_string(item.revision.Number()) },
                  { "error", std::string(read.status().message()) } });
      continue;
    }
    this->configRevision = item.revision;
    this->config = std::make_shared<const ServingConfig>(std::move(*read));
    core::Log(core::LogLevel::kInfo,
              "configuration in force",
              { { "version", std::to_string(this->config->version.Number()) },
                { "revision", std::to_string(item.revision.Number()) },
                { "routes", std::to_string(this->config->routes.size()) },
                { "origin", OriginName(aChanges.origin) } });
    this->PublishNews(aChanges.origin == ChangeOrigin::kStore);
  }
}

void
Control::ApplyTargets(const FollowedChanges& aChanges)
{
  if (aChanges.outageAt.has_value()) {
    this->directory.NoteOutage(*aChanges.outageAt);
  }
  std::vector<DirectoryChange> changes;
  for (const StoreItem& item : aChanges.items.items) {
    DirectoryChange change;
    change.id = core::TargetId(item.key.substr(this->codec.TargetPrefix().size()));
    change.revision = item.revision;
    change.removed = item.removed;
    if (!item.removed) {
      absl::StatusOr<Target> read = this->codec.ReadTarget(item.key, item.value);
      if (read.ok()) {
        change.target = std::move(*read);
      } else {
        core::Log(core::LogLevel::kWarning,
                  "directory entry not readable",
                  { { "key", item.key }, { "error", std::string(read.status().message()) } });
      }
    }
    this->targetsRevision = std::max(this->targetsRevision, item.revision);
    changes.push_back(std::move(change));
  }
  const core::MonotonicTime now = this->clock.Now();
  const std::size_t before = this->directory.Targets().size();
  bool changed = false;
  if (aChanges.whole) {
    changed = this->directory.ApplyAll(changes, aChanges.items.upTo, now);
  } else {
    for (const DirectoryChange& change : changes) {
      changed = this->directory.Apply(change, now) || changed;
    }
  }
  if (this->directory.Targets().size() != before) {
    this->NoteMembersChanged();
  }
  if (changed) {
    core::Log(core::LogLevel::kInfo,
              "targets changed",
              { { "targets", std::to_string(this->directory.Targets().size()) },
                { "revision", std::to_string(this->targetsRevision.Number()) },
                { "origin", OriginName(aChanges.origin) } });
    this->PublishNews(aChanges.origin == ChangeOrigin::kStore);
  }
}

Task<void>
Control::ExpireLapsed()
{
  while (true) {
    co_await this->Sleep(kLapseCheckInterval);
    if (this->directory.Expire(this->clock.Now())) {
      this->PublishNews();
    }
  }
}

void
Control::PublishNews(bool aAnnounce)
{
  auto fleet = std::make_shared<FleetSnapshot>();
  fleet->config = this->config;
  fleet->targets = this->directory.Targets();
  fleet->configRevision = this->configRevision;
  fleet->targetsRevision = this->targetsRevision;
  ControlNews news;
  news.fleet = std::move(fleet);
  news.confirmedAt = this->confirmedAt;
  news.peers = this->peers;
  news.announce = aAnnounce;
  for (const auto& [id, change] : this->ordered) {
    news.changing.push_back(id);
  }
  this->publish(std::move(news));
}

Task<bool>
Control::EnsureEntry()
{
  if (!this->entryLease.has_value()) {
    const auto lease = co_await this->store.Grant(kEntryDuration);
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
  const absl::Status renewed = co_await this->store.Renew(*this->entryLease);
  if (core::IsError(renewed, errors::kStoreConflict)) {
    this->entryLease.reset();
  }
  co_return renewed.ok();
}

Task<void>
Control::KeepEntry()
{
  while (true) {
    const core::MonotonicTime before = this->clock.Now();
    const bool inTouch = co_await this->EnsureEntry();
    if (inTouch && this->Follows()) {
      this->Confirm(before);
    }
    co_await this->Sleep(this->duty.watches ? kFollowingRenewal : kRenewal);
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
        this->PublishNews();
      }
    }
    const bool alone = this->peers.empty() || this->livePeers == 0;
    co_await this->Sleep(alone ? kFirstPeerRead
                               : (this->duty.watches ? kFollowingPeerRead : kPeerRead));
  }
}

} // namespace plantainslip::serving
