#include "store_follower.hpp"

#include <algorithm>
#include <charconv>

#include <plantainslip/core/log.hpp>
#include <plantainslip/serving/errors.hpp>

namespace plantainslip::serving {

namespace {

/// Watches end after about this time for each watcher, so that in the whole fleet one ends about
/// twice a second and a connection that went silent is noticed by somebody.
constexpr milliseconds kWatchPerWatcher{ 500 };
constexpr milliseconds kShortestWatch{ 2'000 };
constexpr milliseconds kLongestWatch{ 20'000 };
/// Pauses between calls to a store that fails, doubled from the first to the last.
constexpr milliseconds kFirstPause{ 100 };
constexpr milliseconds kLastPause{ 800 };
/// How often an instance that leaves the store to its peers looks whether that is still so.
constexpr milliseconds kDutyCheck{ 250 };
/// From the first list to the first watch: peers are heard of within a few messages.
constexpr milliseconds kMeetPeers{ 800 };
/// How long a change that a peer has seen may take to come by the own watch; longer than changes
/// gather.
constexpr milliseconds kOwnWatchPatience{ 500 };
/// How long a peer of another zone is left alone, as one of the own zone mostly follows at once.
constexpr milliseconds kOtherZonePatience{ 150 };
/// A peer that is alive answers within a few round trips, also on a slow link.
constexpr milliseconds kPeerTimeout{ 700 };

constexpr int kOk = 200;
constexpr int kNotFound = 404;

// Path at which a peer gives changes, up to the revision that follows.
std::string
ChangesPath(const std::string& aPrefix)
{
  std::string path = "/changes/";
  path.append(aPrefix).append("?after=");
  return path;
}

absl::StatusOr<ReplicaChanges>
ReadChanges(const absl::StatusOr<SimpleAnswer>& aAnswer)
{
  if (!aAnswer.ok()) {
    return aAnswer.status();
  }
  if (aAnswer->status != kOk) {
    return core::MakeError(errors::kBadAnswer, "status " + std::to_string(aAnswer->status));
  }
  return DecodeChanges(aAnswer->body);
}

} // namespace

StoreFollower::StoreFollower(asio::io_context& aContext,
                             AsyncStore& aStore,
                             ConnectionPool& aPool,
                             const core::Clock& aClock,
                             std::string aPrefix,
                             milliseconds aGather,
                             Apply aApply)
  : context(aContext)
  , store(aStore)
  , pool(aPool)
  , clock(aClock)
  , prefix(std::move(aPrefix))
  , gather(aGather)
  , apply(std::move(aApply))
  , random(core::MakeSeed())
{
}

Task<void>
StoreFollower::Sleep(milliseconds aTime)
{
  asio::steady_timer timer(this->context, aTime);
  ErrorCode ignored;
  co_await timer.async_wait(Into(ignored));
}

milliseconds
StoreFollower::WatchTime()
{
  const auto longest = std::clamp(
    kWatchPerWatcher * static_cast<long>(this->duty.watchers), kShortestWatch, kLongestWatch);
  return milliseconds(static_cast<std::int64_t>(static_cast<double>(longest.count()) *
                                                (0.5 + 0.5 * this->random.Fraction())));
}

bool
StoreFollower::InTouch() const
{
  return this->healthy && this->duty.watches && this->clock.Now() <= this->due;
}

void
StoreFollower::NoteOutage(const absl::Status& aStatus)
{
  if (!this->lossLogged) {
    this->lossLogged = true;
    core::Log(core::LogLevel::kWarning,
              "store lost",
              { { "prefix", this->prefix }, { "error", std::string(aStatus.message()) } });
  }
  this->healthy = false;
  this->outageAt = this->clock.Now();
}

void
StoreFollower::Take(const StoreItems& aItems,
                    bool aWhole,
                    ChangeOrigin aOrigin,
                    std::optional<core::MonotonicTime> aOutageAt)
{
  this->replica.Apply(aItems, aWhole);
  for (const StoreItem& item : aItems.items) {
    this->newestChange = std::max(this->newestChange, item.revision);
  }
  this->apply(FollowedChanges{ aItems, aWhole, aOrigin, aOutageAt });
}

Task<bool>
StoreFollower::CallStore()
{
  const bool all = this->needsAll;
  absl::StatusOr<StoreItems> items;
  // The connection of a silent watch is given up somewhat later than the watch should end.
  constexpr milliseconds kOverdue{ 1'000 };
  if (all) {
    this->due = this->clock.Now() + kOverdue;
    items = co_await this->store.List(this->prefix, Freshness::kNewest);
  } else {
    const auto wait = this->WatchTime();
    this->due = this->clock.Now() + wait + kOverdue;
    items = co_await this->store.Watch(this->prefix, this->replica.UpTo(), wait);
  }
  if (core::IsError(items.status(), errors::kHistoryGone)) {
    core::Log(core::LogLevel::kInfo, "history gone", { { "prefix", this->prefix } });
    this->needsAll = true;
    co_return true;
  }
  if (!items.ok()) {
    this->NoteOutage(items.status());
    co_return false;
  }
  if (!this->healthy) {
    core::Log(core::LogLevel::kInfo,
              "store in touch",
              { { "prefix", this->prefix }, { "revision", std::to_string(items->upTo.Number()) } });
  }
  this->healthy = true;
  this->lossLogged = false;
  this->needsAll = false;
  this->Take(*items, all, ChangeOrigin::kStore, this->outageAt);
  if (!items->items.empty()) {
    co_await this->Sleep(all ? kMeetPeers : this->gather);
  }
  co_return true;
}

Task<void>
StoreFollower::Run()
{
  milliseconds pause = kFirstPause;
  while (true) {
    if (!this->needsAll && !this->duty.watches) {
      co_await this->Sleep(kDutyCheck);
      continue;
    }
    if (co_await this->CallStore()) {
      pause = kFirstPause;
      continue;
    }
    co_await this->Sleep(pause);
    pause = std::min(pause * 2, kLastPause);
  }
}

void
StoreFollower::NoteSeen(core::Revision aSeen, const net::Address& aPeer, bool aNear)
{
  if (this->catchingUp || this->needsAll || aSeen <= this->newestChange ||
      aSeen <= this->replica.UpTo()) {
    return;
  }
  this->catchingUp = true;
  const auto patience =
    this->duty.watches ? kOwnWatchPatience : (aNear ? milliseconds(0) : kOtherZonePatience);
  asio::co_spawn(
    this->context,
    [this, aSeen, aPeer, patience]() -> Task<void> {
      co_await this->CatchUp(aSeen, aPeer, patience);
      this->catchingUp = false;
    },
    asio::detached);
}

Task<bool>
StoreFollower::AskPeer(net::Address aPeer)
{
  std::string path = ChangesPath(this->prefix) + std::to_string(this->replica.UpTo().Number());
  SimpleRequest ask{ aPeer, "GET", std::move(path), {}, "", kPeerTimeout, true };
  const auto answer = co_await CallOnce(this->pool, std::move(ask));
  const auto read = ReadChanges(answer);
  if (!read.ok()) {
    core::Log(core::LogLevel::kWarning,
              "changes not read from a peer; the store is asked",
              { { "prefix", this->prefix },
                { "peer", aPeer.Text() },
                { "error", std::string(read.status().message()) } });
    co_return false;
  }
  std::optional<core::MonotonicTime> peerOutageAt;
  if (read->sinceOutage.has_value()) {
    peerOutageAt = this->clock.Now() - *read->sinceOutage;
  }
  this->Take(read->changes, read->whole, ChangeOrigin::kPeer, peerOutageAt);
  co_return true;
}

Task<void>
StoreFollower::CatchUp(core::Revision aSeen, net::Address aPeer, milliseconds aPatience)
{
  if (aPatience.count() > 0) {
    co_await this->Sleep(aPatience);
  }
  if (this->replica.UpTo() >= aSeen) {
    co_return;
  }
  co_await this->AskPeer(std::move(aPeer));
  if (this->replica.UpTo() >= aSeen) {
    co_return;
  }
  const auto items = co_await this->store.List(this->prefix, Freshness::kNewest);
  if (items.ok()) {
    this->Take(*items, true, ChangeOrigin::kStore, this->outageAt);
  } else {
    this->NoteOutage(items.status());
  }
}

ReplicaChanges
StoreFollower::ChangesAfter(core::Revision aAfter) const
{
  ReplicaChanges changes = this->replica.After(aAfter);
  if (this->outageAt.has_value()) {
    changes.sinceOutage =
      std::chrono::duration_cast<milliseconds>(this->clock.Now() - *this->outageAt);
  }
  return changes;
}

absl::StatusOr<std::unique_ptr<FrontDoor>>
OpenChangesDoor(asio::io_context& aContext,
                const net::Address& aAddress,
                const core::Clock& aClock,
                std::vector<const StoreFollower*> aFollowers)
{
  const auto serve = [followers = std::move(aFollowers)](const CallerRequest& aRequest,
                                                         AnswerWriter& aWriter) -> Task<void> {
    int status = kNotFound;
    std::string body;
    for (const StoreFollower* follower : followers) {
      const std::string start = ChangesPath(follower->Prefix());
      if (!aRequest.target.starts_with(start) || !follower->Started()) {
        continue;
      }
      std::uint64_t after = 0;
      const std::string_view number = std::string_view(aRequest.target).substr(start.size());
      std::from_chars(number.data(), number.data() + number.size(), after);
      body = EncodeChanges(follower->ChangesAfter(core::Revision(after)));
      status = kOk;
    }
    HeaderList headers;
    co_await aWriter.WriteWhole(status, std::move(headers), std::move(body));
  };
  return FrontDoor::Open(aContext,
                         aAddress,
                         aClock,
                         [serve](const CallerRequest& aRequest,
                                 AnswerWriter& aWriter,
                                 Cancellation&) { return serve(aRequest, aWriter); });
}

} // namespace plantainslip::serving
