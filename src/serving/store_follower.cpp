#include "store_follower.hpp"

#include <algorithm>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <plantainslip/core/log.hpp>
#include <plantainslip/serving/errors.hpp>

#include "spawn.hpp"

namespace plantainslip::serving {

namespace {

/// Watch time per watcher: in the whole fleet a watch ends about twice per second, so that some
/// instance notices a dead connection early.
constexpr milliseconds kWatchTimePerWatcher{ 500 };
constexpr milliseconds kMinWatchTime{ 2'000 };
constexpr milliseconds kMaxWatchTime{ 20'000 };
/// Watch time while the store is not known to be reachable. A store that has come back has lost the
/// calls that it was sent before, so a long watch would notice its return late.
constexpr milliseconds kProbeWatchTime{ 100 };
/// Backoff after failed store calls, doubled up to the maximum.
constexpr milliseconds kMinBackoff{ 100 };
constexpr milliseconds kMaxBackoff{ 800 };
/// Delay between the first list and the first watch, in which peers are discovered by their
/// messages.
constexpr milliseconds kPeerDiscoveryTime{ 800 };
/// Time for a change that a peer has reported to arrive by this instance's own watch; longer than
/// the batch delays.
constexpr milliseconds kOwnWatchDelay{ 500 };
/// Delay before changes are fetched from another zone, as a peer of the own zone mostly reports
/// them shortly after.
constexpr milliseconds kCrossZoneDelay{ 150 };
/// A live peer answers within a few round trips, even on a slow link.
constexpr milliseconds kPeerTimeout{ 700 };

constexpr int kOk = 200;
constexpr int kNotFound = 404;

std::string
FormatPosition(const StorePosition& aPosition)
{
  return std::to_string(aPosition.era.Number()) + "." + std::to_string(aPosition.revision.Number());
}

// Returns the zero position, which asks for everything, if the text is not one.
StorePosition
ParsePosition(std::string_view aText)
{
  const std::pair<absl::string_view, absl::string_view> parts =
    absl::StrSplit(absl::string_view(aText.data(), aText.size()), absl::MaxSplits('.', 1));
  std::uint64_t era = 0;
  std::uint64_t revision = 0;
  if (!absl::SimpleAtoi(parts.first, &era) || !absl::SimpleAtoi(parts.second, &revision)) {
    return {};
  }
  return { StoreEra(era), core::Revision(revision) };
}

// Returns the path at which peers serve changes of a prefix; the caller appends the position.
std::string
ChangesPath(const std::string& aPrefix)
{
  std::string path = "/changes/";
  path.append(aPrefix).append("?after=");
  return path;
}

absl::StatusOr<ReplicaChanges>
ParseChanges(const absl::StatusOr<SimpleAnswer>& aAnswer)
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
                             milliseconds aBatchDelay,
                             OnChanges aOnChanges)
  : context(aContext)
  , store(aStore)
  , pool(aPool)
  , clock(aClock)
  , prefix(std::move(aPrefix))
  , batchDelay(aBatchDelay)
  , onChanges(std::move(aOnChanges))
  , random(core::MakeSeed())
  , dutyTimer(aContext)
{
}

void
StoreFollower::SetDuty(const WatchDuty& aDuty)
{
  const bool begins = aDuty.isWatcher && !this->duty.isWatcher;
  this->duty = aDuty;
  if (begins) {
    this->dutyTimer.cancel();
  }
}

milliseconds
StoreFollower::NextWatchTimeout()
{
  const auto maxWait = std::clamp(kWatchTimePerWatcher * static_cast<long>(this->duty.watcherCount),
                                  kMinWatchTime,
                                  kMaxWatchTime);
  return milliseconds(static_cast<std::int64_t>(static_cast<double>(maxWait.count()) *
                                                (0.5 + 0.5 * this->random.Fraction())));
}

bool
StoreFollower::IsWatchHealthy() const
{
  return this->storeReachable && this->duty.isWatcher && this->clock.Now() <= this->watchDeadline;
}

void
StoreFollower::RecordOutage(const absl::Status& aStatus)
{
  if (!this->outageLogged) {
    this->outageLogged = true;
    core::Log(core::LogLevel::kWarning,
              "store unreachable",
              { { "prefix", this->prefix }, { "error", std::string(aStatus.message()) } });
  }
  this->storeReachable = false;
}

bool
StoreFollower::ApplyChanges(StoreItems aItems, bool aIsSnapshot, ChangeOrigin aOrigin)
{
  // An answer to a watch may arrive after that to a list which was read later.
  if (!aIsSnapshot && aItems.upTo.era == this->replica.UpTo().era) {
    this->replica.DropKnown(aItems);
  }
  const StorePosition before = this->replica.UpTo();
  const ContentDigest contentBefore = this->State().content;
  if (!this->replica.Apply(aItems, aIsSnapshot)) {
    core::Log(core::LogLevel::kInfo,
              "store changes older than those known; ignored",
              { { "prefix", this->prefix },
                { "era", std::to_string(aItems.upTo.era.Number()) },
                { "known_era", std::to_string(before.era.Number()) } });
    return false;
  }
  this->needsFullList = this->needsFullList && !aIsSnapshot;
  if (aItems.upTo.era != before.era && before != StorePosition{}) {
    core::Log(core::LogLevel::kWarning,
              "store era changed",
              { { "prefix", this->prefix },
                { "era", std::to_string(aItems.upTo.era.Number()) },
                { "revision", std::to_string(aItems.upTo.revision.Number()) },
                { "previous_era", std::to_string(before.era.Number()) },
                { "previous_revision", std::to_string(before.revision.Number()) } });
  }
  const bool isNews = this->State().content != contentBefore;
  this->onChanges(FollowedChanges{ aItems, aIsSnapshot, aOrigin, isNews });
  return true;
}

Task<bool>
StoreFollower::ReadStore()
{
  const bool fullList = this->needsFullList;
  const StorePosition after = this->replica.UpTo();
  absl::StatusOr<StoreItems> items;
  // Time after which a call counts as overdue. Longer than the store client's own limits: 900 ms
  // for a list, 700 ms beyond the wait of a watch.
  constexpr milliseconds kWatchGracePeriod{ 1'000 };
  if (fullList) {
    this->watchDeadline = this->clock.Now() + kWatchGracePeriod;
    items = co_await this->store.List(this->prefix, Freshness::kNewest);
  } else {
    const auto wait = this->storeReachable ? this->NextWatchTimeout() : kProbeWatchTime;
    this->watchDeadline = this->clock.Now() + wait + kWatchGracePeriod;
    items = co_await this->store.Watch(this->prefix, after, wait);
  }
  // The revision that the watch began at has another meaning in another era.
  const bool isOtherEra = items.ok() && items->upTo.era != after.era;
  if (core::IsError(items.status(), errors::kHistoryGone) || (!fullList && isOtherEra)) {
    core::Log(core::LogLevel::kInfo,
              "store history no longer available; reading the full list",
              { { "prefix", this->prefix } });
    this->needsFullList = true;
    co_return true;
  }
  if (!items.ok()) {
    this->RecordOutage(items.status());
    co_return false;
  }
  if (!this->storeReachable) {
    core::Log(core::LogLevel::kInfo,
              "store reachable",
              { { "prefix", this->prefix },
                { "era", std::to_string(items->upTo.era.Number()) },
                { "revision", std::to_string(items->upTo.revision.Number()) } });
  }
  this->storeReachable = true;
  this->outageLogged = false;
  const bool hasItems = !items->items.empty();
  if (!this->ApplyChanges(std::move(*items), fullList, ChangeOrigin::kStore)) {
    co_return false;
  }
  if (hasItems) {
    co_await SleepFor(fullList ? kPeerDiscoveryTime : this->batchDelay);
  }
  co_return true;
}

Task<void>
StoreFollower::Run()
{
  milliseconds backoff = kMinBackoff;
  while (true) {
    if (!this->needsFullList && !this->duty.isWatcher) {
      // The first watch is a short one: whether the store can be reached is not known.
      this->storeReachable = false;
      this->dutyTimer.expires_at(core::MonotonicTime::max());
      ErrorCode cancelled;
      co_await this->dutyTimer.async_wait(RedirectError(cancelled));
      continue;
    }
    if (co_await this->ReadStore()) {
      backoff = kMinBackoff;
      continue;
    }
    co_await SleepFor(backoff);
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
}

void
StoreFollower::OnPeerState(const ReplicaState& aPeerState,
                           const net::Address& aPeer,
                           bool aSameZone)
{
  if (this->catchingUp || !this->IsInitialized() || !MayLackChanges(this->State(), aPeerState)) {
    return;
  }
  this->catchingUp = true;
  const auto delay =
    this->duty.isWatcher ? kOwnWatchDelay : (aSameZone ? milliseconds(0) : kCrossZoneDelay);
  Spawn(this->context, "catch up", [this, aPeerState, aPeer, delay]() -> Task<void> {
    // Also reset if an exception ends the attempt, so that the next one can start.
    const std::shared_ptr<bool> reset(&this->catchingUp, [](bool* aFlag) { *aFlag = false; });
    co_await this->CatchUp(aPeerState, aPeer, delay);
  });
}

Task<bool>
StoreFollower::FetchFromPeer(net::Address aPeer)
{
  std::string path = ChangesPath(this->prefix) + FormatPosition(this->replica.UpTo());
  SimpleRequest request{ aPeer, "GET", std::move(path), {}, "", kPeerTimeout, true };
  const auto answer = co_await SendSimpleRequest(this->pool, std::move(request));
  auto read = ParseChanges(answer);
  if (!read.ok()) {
    core::Log(core::LogLevel::kWarning,
              "reading changes from a peer failed; reading them from the store",
              { { "prefix", this->prefix },
                { "peer", aPeer.Text() },
                { "error", std::string(read.status().message()) } });
    co_return false;
  }
  this->ApplyChanges(std::move(read->changes), read->isSnapshot, ChangeOrigin::kPeer);
  co_return true;
}

Task<void>
StoreFollower::CatchUp(ReplicaState aPeerState, net::Address aPeer, milliseconds aDelay)
{
  if (aDelay.count() > 0) {
    co_await SleepFor(aDelay);
  }
  if (!MayLackChanges(this->State(), aPeerState)) {
    co_return;
  }
  co_await this->FetchFromPeer(std::move(aPeer));
  if (!MayLackChanges(this->State(), aPeerState)) {
    co_return;
  }
  auto items = co_await this->store.List(this->prefix, Freshness::kNewest);
  if (items.ok()) {
    this->ApplyChanges(std::move(*items), true, ChangeOrigin::kStore);
  } else {
    this->RecordOutage(items.status());
  }
}

ReplicaChanges
StoreFollower::ChangesAfter(StorePosition aAfter) const
{
  return this->replica.ChangesAfter(aAfter);
}

absl::StatusOr<std::unique_ptr<HttpListener>>
ServeChanges(asio::io_context& aContext,
             const net::Address& aAddress,
             const core::Clock& aClock,
             std::vector<const StoreFollower*> aFollowers)
{
  const auto handler = [followers = std::move(aFollowers)](const CallerRequest& aRequest,
                                                           AnswerWriter& aWriter) -> Task<void> {
    int status = kNotFound;
    std::string body;
    for (const StoreFollower* follower : followers) {
      const std::string pathPrefix = ChangesPath(follower->Prefix());
      if (!aRequest.target.starts_with(pathPrefix) || !follower->IsInitialized()) {
        continue;
      }
      const auto after = ParsePosition(std::string_view(aRequest.target).substr(pathPrefix.size()));
      body = EncodeChanges(follower->ChangesAfter(after));
      status = kOk;
    }
    HeaderList headers;
    co_await aWriter.WriteWhole(status, std::move(headers), std::move(body));
  };
  return HttpListener::Open(aContext,
                            aAddress,
                            aClock,
                            [handler](const CallerRequest& aRequest,
                                      AnswerWriter& aWriter,
                                      Cancellation&) { return handler(aRequest, aWriter); });
}

} // namespace plantainslip::serving
