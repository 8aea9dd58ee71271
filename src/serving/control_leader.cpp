#include "control.hpp"

#include <algorithm>
#include <ctime>

#include <plantainslip/core/log.hpp>
#include <plantainslip/core/random.hpp>
#include <plantainslip/serving/errors.hpp>

namespace plantainslip::serving {

namespace {

const std::string kLeaderKey = "plantainslip/leader";
constexpr milliseconds kLeadInterval{ 1'000 };
/// Instances that look for a lapsed lease every interval, in the mean.
constexpr double kLookers = 8.0;
/// Left of the lease when an order is sent, so that it arrives while the lease holds.
constexpr milliseconds kLeaseMargin{ 700 };
constexpr milliseconds kOrderTimeout{ 600 };
/// An order without an answer may be carried out this much later; until then it is not repeated.
constexpr milliseconds kLateOrder{ 13'000 };
/// Time beside the engine's own in which the directory shows a change.
constexpr milliseconds kDirectoryLag{ 2'500 };
constexpr int kDone = 200;
constexpr int kAccepted = 202;
constexpr int kFenced = 412;

std::chrono::nanoseconds
BootTime()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

bool
Control::LeaseIsSafe() const
{
  return this->leadership.has_value() && BootTime() + kLeaseMargin < this->leadership->safeUntil;
}

void
Control::StandDown(const std::string& aReason)
{
  if (this->leadership.has_value()) {
    core::Log(
      core::LogLevel::kWarning,
      "orders: stood down",
      { { "reason", aReason }, { "token", std::to_string(this->leadership->token.Number()) } });
  }
  this->leadership.reset();
}

Task<void>
Control::TakeLease()
{
  const auto items = co_await this->store.List(kLeaderKey, Freshness::kMayBeStale);
  if (!items.ok() || !items->items.empty()) {
    co_return;
  }
  const auto before = BootTime();
  const auto lease = co_await this->store.Grant(this->options.leaseDuration);
  if (!lease.ok()) {
    co_return;
  }
  std::string key = kLeaderKey;
  std::string value = this->options.self.id.Text();
  const auto written =
    co_await this->store.Put(std::move(key), std::move(value), *lease, core::Revision(0));
  if (!written.ok()) {
    co_return;
  }
  // The revision of the key grows with every holder, so it serves as the fencing token. The first
  // order waits until any order of the holder before is a lease old.
  Leadership taken{ *lease,
                    core::FencingToken(written->Number()),
                    before + this->options.leaseDuration,
                    BootTime() + this->options.leaseDuration };
  this->leadership = taken;
  core::Log(core::LogLevel::kInfo,
            "orders: lease taken",
            { { "token", std::to_string(taken.token.Number()) } });
}

Task<void>
Control::HoldLease()
{
  if (BootTime() >= this->leadership->safeUntil) {
    this->StandDown("lease lapsed");
    co_return;
  }
  const auto before = BootTime();
  const absl::Status renewed = co_await this->store.Renew(this->leadership->lease);
  if (!this->leadership.has_value()) {
    co_return;
  }
  if (renewed.ok()) {
    this->leadership->safeUntil = before + this->options.leaseDuration;
  } else if (core::IsError(renewed, errors::kStoreConflict)) {
    this->StandDown("lease ended");
  }
}

Task<void>
Control::Lead()
{
  while (true) {
    if (this->leadership.has_value()) {
      co_await this->HoldLease();
      if (this->LeaseIsSafe() && BootTime() >= this->leadership->ordersFrom) {
        co_await this->GiveOrders();
      }
    } else {
      co_await this->TakeLease();
    }
    // Those that do not lead look less often the more they are.
    const double others = this->leadership.has_value()
                            ? 1.0
                            : std::max(1.0, static_cast<double>(this->livePeers) / kLookers);
    const double jitter = others * (0.75 + 0.5 * this->random.Fraction());
    co_await this->Sleep(
      milliseconds(static_cast<std::int64_t>(static_cast<double>(kLeadInterval.count()) * jitter)));
  }
}

milliseconds
Control::SinceMembersChanged() const
{
  return std::chrono::duration_cast<milliseconds>(this->clock.Now() - this->membersChangedAt);
}

void
Control::NoteMembersChanged()
{
  const bool first = this->membersChangedAt == core::MonotonicTime{};
  this->settledOnce = this->settledOnce || (!first && this->SinceMembersChanged() >= kSettledAfter);
  this->membersChangedAt = this->clock.Now();
}

void
Control::ForgetEndedOrders()
{
  const core::MonotonicTime now = this->clock.Now();
  const auto ended = std::erase_if(this->ordered, [&](const auto& aEntry) {
    const auto found = this->directory.Targets().find(aEntry.first);
    return found == this->directory.Targets().end() || now >= aEntry.second.lookAgainAt ||
           found->second.stage == aEntry.second.stage;
  });
  if (ended > 0) {
    this->PublishNews();
  }
}

FleetSnapshot
Control::ExpectedFleet() const
{
  FleetSnapshot fleet;
  fleet.targets = this->directory.Targets();
  for (const auto& [id, change] : this->ordered) {
    if (const auto found = fleet.targets.find(id); found != fleet.targets.end()) {
      found->second.stage = change.stage;
    }
  }
  return fleet;
}

Task<void>
Control::GiveOrders()
{
  this->ForgetEndedOrders();
  const auto tolerated = ToleratedShortfall(this->SinceMembersChanged(), this->settledOnce);
  if (this->config == nullptr || !tolerated.has_value()) {
    co_return;
  }
  const FleetSnapshot fleet = this->ExpectedFleet();
  const auto current = this->config;
  for (const auto& [name, service] : current->services) {
    if (!service.engine.has_value()) {
      continue;
    }
    StageGoal goal = StartingGoal(service.engine->slots);
    goal.tolerated = *tolerated;
    for (const StageChange& change : PlanStages(fleet, name, goal)) {
      if (!this->LeaseIsSafe()) {
        co_return;
      }
      this->ordered[change.target.id] = {
        change.stage, this->clock.Now() + service.engine->stageChange + kDirectoryLag
      };
      this->PublishNews();
      co_await this->GiveOrder(change);
    }
  }
}

Task<void>
Control::GiveOrder(StageChange aChange)
{
  SimpleRequest ask = this->codec.OrderCountRequest(aChange.target);
  const auto report = co_await CallOnce(this->pool, std::move(ask));
  const auto count = report.ok() && report->status == kDone
                       ? this->codec.ReadOrderCount(report->body)
                       : absl::StatusOr<std::uint64_t>(report.status());
  if (!report.ok() || report->status != kDone || !count.ok() || !this->LeaseIsSafe()) {
    core::Log(core::LogLevel::kWarning,
              "orders: not sent",
              { { "target", aChange.target.id.Text() },
                { "lease_safe", this->LeaseIsSafe() ? "yes" : "no" } });
    co_return;
  }
  const OrderAuthority authority{ this->options.self.id, this->leadership->token };
  SimpleRequest order = this->codec.StageOrder(aChange, authority, *count);
  order.timeout = kOrderTimeout;
  const auto answer = co_await CallOnce(this->pool, std::move(order));
  core::Log(
    core::LogLevel::kInfo,
    "orders: stage",
    { { "target", aChange.target.id.Text() },
      { "stage", aChange.stage == EngineStage::kPrefill ? "prefill" : "decode" },
      { "token", std::to_string(authority.token.Number()) },
      { "order_count", std::to_string(*count) },
      { "answer",
        answer.ok() ? std::to_string(answer->status) : std::string(answer.status().message()) } });
  if (!answer.ok()) {
    this->ordered[aChange.target.id].lookAgainAt = this->clock.Now() + kLateOrder;
  } else if (answer->status == kFenced) {
    this->StandDown("a newer token was used");
  } else if (answer->status != kAccepted && answer->status != kDone) {
    this->ordered[aChange.target.id].lookAgainAt = this->clock.Now() + kDirectoryLag;
  }
}

} // namespace plantainslip::serving
