#include "control.hpp"

#include <algorithm>

#include <plantainslip/core/log.hpp>
#include <plantainslip/serving/errors.hpp>

namespace plantainslip::serving {

namespace {

/// Watches end after about this time for each live peer, so that in the whole fleet one ends about
/// every second and a connection that went silent is noticed by somebody.
constexpr milliseconds kWatchPerPeer{ 1'000 };
constexpr milliseconds kShortestWatch{ 2'000 };
constexpr milliseconds kLongestWatch{ 20'000 };
/// Pauses between calls to a store that fails, doubled from the first to the last.
constexpr milliseconds kFirstPause{ 100 };
constexpr milliseconds kLastPause{ 800 };
/// Renewals cost a hundredth of a read, and confirm that the store is in touch.
constexpr milliseconds kRenewInterval{ 1'000 };
constexpr milliseconds kEntryDuration{ 8'000 };
constexpr milliseconds kPeerReadInterval{ 4'000 };
constexpr milliseconds kLapseCheckInterval{ 200 };
/// How long a change that a peer has seen may take to come by the own watch.
constexpr milliseconds kPeerNewsPatience{ 900 };
/// Changes come in series; each call costs, and both bounds are seconds.
constexpr milliseconds kGatherConfigs{ 150 };
constexpr milliseconds kGatherTargets{ 350 };

const std::string kInstancePrefix = "plantainslip/instances/";

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
{
  this->configFollowing.gather = kGatherConfigs;
  this->targetFollowing.gather = kGatherTargets;
  this->configFollowing.prefix = this->codec.ConfigKey();
  this->configFollowing.apply = [this](const StoreItems& aItems, bool aAll) {
    this->ApplyConfig(aItems, aAll);
  };
  this->targetFollowing.prefix = this->codec.TargetPrefix();
  this->targetFollowing.apply = [this](const StoreItems& aItems, bool aAll) {
    this->ApplyTargets(aItems, aAll);
  };
}

void
Control::Start()
{
  const auto run = [this](auto aLoop) { asio::co_spawn(this->context, aLoop, asio::detached); };
  run([this]() -> Task<void> { return this->Follow(this->configFollowing); });
  run([this]() -> Task<void> { return this->Follow(this->targetFollowing); });
  run([this]() -> Task<void> { return this->KeepEntry(); });
  run([this]() -> Task<void> { return this->ReadPeers(); });
  run([this]() -> Task<void> { return this->ExpireLapsed(); });
  run([this]() -> Task<void> { return this->Lead(); });
}

Task<void>
Control::Sleep(milliseconds aTime)
{
  asio::steady_timer timer(this->context, aTime);
  ErrorCode ignored;
  co_await timer.async_wait(Into(ignored));
}

milliseconds
Control::WatchTime()
{
  const auto longest =
    std::clamp(kWatchPerPeer * static_cast<long>(this->livePeers), kShortestWatch, kLongestWatch);
  return milliseconds(static_cast<std::int64_t>(static_cast<double>(longest.count()) *
                                                (0.5 + 0.5 * this->random.Fraction())));
}

Task<bool>
Control::FollowOnce(Following& aFollowing)
{
  const bool all = aFollowing.needsAll;
  absl::StatusOr<StoreItems> items;
  if (all) {
    items = co_await this->store.List(aFollowing.prefix, Freshness::kNewest);
  } else {
    const auto wait = this->WatchTime();
    aFollowing.due = this->clock.Now() + wait;
    items = co_await this->store.Watch(aFollowing.prefix, aFollowing.upTo, wait);
  }
  if (core::IsError(items.status(), errors::kHistoryGone)) {
    core::Log(core::LogLevel::kInfo, "history gone", { { "prefix", aFollowing.prefix } });
    aFollowing.needsAll = true;
    co_return true;
  }
  if (!items.ok()) {
    if (!aFollowing.lossLogged) {
      aFollowing.lossLogged = true;
      core::Log(
        core::LogLevel::kWarning,
        "store lost",
        { { "prefix", aFollowing.prefix }, { "error", std::string(items.status().message()) } });
    }
    aFollowing.healthy = false;
    this->directory.NoteOutage(this->clock.Now());
    co_return false;
  }
  if (!aFollowing.healthy) {
    core::Log(
      core::LogLevel::kInfo,
      "store in touch",
      { { "prefix", aFollowing.prefix }, { "revision", std::to_string(items->upTo.Number()) } });
  }
  aFollowing.healthy = true;
  aFollowing.lossLogged = false;
  aFollowing.needsAll = false;
  aFollowing.upTo = std::max(aFollowing.upTo, items->upTo);
  aFollowing.apply(*items, all);
  if (!items->items.empty()) {
    co_await this->Sleep(aFollowing.gather);
  }
  co_return true;
}

Task<void>
Control::Follow(Following& aFollowing)
{
  milliseconds pause = kFirstPause;
  while (true) {
    if (co_await this->FollowOnce(aFollowing)) {
      pause = kFirstPause;
      continue;
    }
    co_await this->Sleep(pause);
    pause = std::min(pause * 2, kLastPause);
  }
}

Task<void>
Control::CatchUp(Following& aFollowing, core::Revision aSeen)
{
  co_await this->Sleep(kPeerNewsPatience);
  aFollowing.catchingUp = false;
  if (aFollowing.upTo >= aSeen) {
    co_return;
  }
  const auto items = co_await this->store.List(aFollowing.prefix, Freshness::kNewest);
  if (items.ok()) {
    aFollowing.apply(*items, true);
  }
}

void
Control::NoteRevisions(core::Revision aConfig, core::Revision aTargets)
{
  const auto check = [this](Following& aFollowing, core::Revision aOwn, core::Revision aSeen) {
    if (aSeen > aOwn && aSeen > aFollowing.upTo && !aFollowing.catchingUp) {
      aFollowing.catchingUp = true;
      asio::co_spawn(
        this->context,
        [this, &aFollowing, aSeen]() -> Task<void> { return this->CatchUp(aFollowing, aSeen); },
        asio::detached);
    }
  };
  check(this->configFollowing, this->configRevision, aConfig);
  check(this->targetFollowing, this->targetsRevision, aTargets);
}

void
Control::ApplyConfig(const StoreItems& aItems, bool /*aAll*/)
{
  for (const StoreItem& item : aItems.items) {
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
                { "routes", std::to_string(this->config->routes.size()) } });
    this->PublishNews();
  }
}

void
Control::ApplyTargets(const StoreItems& aItems, bool aAll)
{
  std::vector<DirectoryChange> changes;
  for (const StoreItem& item : aItems.items) {
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
  if (aAll) {
    changed = this->directory.ApplyAll(changes, aItems.upTo, now);
  } else {
    for (const DirectoryChange& change : changes) {
      changed = this->directory.Apply(change, now) || changed;
    }
  }
  if (this->directory.Targets().size() != before) {
    this->membersChangedAt = now;
  }
  if (changed) {
    core::Log(core::LogLevel::kInfo,
              "targets changed",
              { { "targets", std::to_string(this->directory.Targets().size()) },
                { "revision", std::to_string(this->targetsRevision.Number()) } });
    this->PublishNews();
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
Control::PublishNews()
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
    const auto onTime = [&](const Following& aFollowing) {
      return aFollowing.healthy && this->clock.Now() < aFollowing.due + kRenewInterval;
    };
    if (inTouch && onTime(this->configFollowing) && onTime(this->targetFollowing)) {
      this->confirmedAt = before;
      this->PublishNews();
    }
    co_await this->Sleep(kRenewInterval);
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
    co_await this->Sleep(this->peers.empty() ? kRenewInterval : kPeerReadInterval);
  }
}

} // namespace plantainslip::serving
