#include "lease_keeper.hpp"

#include <ctime>

#include <plantainslip/core/log.hpp>
#include <plantainslip/serving/errors.hpp>

namespace plantainslip::serving {

namespace {

const std::string kLeaderKey = "plantainslip/leader";

} // namespace

duties::BootTime
ReadBootTime()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

LeaseKeeper::LeaseKeeper(AsyncStore& aStore,
                         core::InstanceId aSelf,
                         const duties::LeaseRules& aRules,
                         OnChange aOnChange)
  : store(aStore)
  , self(std::move(aSelf))
  , rules(aRules)
  , state(this->self.Text(), aRules)
  , onChange(std::move(aOnChange))
{
}

Task<void>
LeaseKeeper::Step(bool aMayClaim)
{
  const duties::BootTime now = ReadBootTime();
  if (this->state.HasLapsed(now)) {
    this->StepDown("lease lapsed");
    co_return;
  }
  this->state.DropLapsedClaim(now);
  const std::optional<Lease> lease = this->state.LeaseToRenew();
  if (lease.has_value()) {
    co_await this->Renew(*lease);
  } else if (this->state.AwaitsReadBack()) {
    co_await this->ReadBack();
  } else if (aMayClaim && this->state.MayClaim(now)) {
    co_await this->Claim();
  }
}

Task<absl::StatusOr<std::optional<duties::SeenKey>>>
LeaseKeeper::ReadKey(Freshness aFreshness)
{
  const auto read = co_await this->store.List(kLeaderKey, aFreshness);
  if (!read.ok()) {
    co_return read.status();
  }
  if (read->items.empty()) {
    co_return std::optional<duties::SeenKey>();
  }
  const StoreItem& item = read->items.front();
  co_return std::optional<duties::SeenKey>(
    { item.value, item.position, { item.position.era, item.lease } });
}

Task<void>
LeaseKeeper::Claim()
{
  const auto key = co_await this->ReadKey(Freshness::kMayBeStale);
  if (!key.ok()) {
    co_return;
  }
  const auto expected = this->state.ClaimableRevision(*key, ReadBootTime());
  if (!expected.has_value()) {
    co_return;
  }
  const duties::BootTime grantSentAt = ReadBootTime();
  const auto lease = co_await this->store.Grant(this->rules.duration);
  // The instance may have begun to stop meanwhile.
  if (!lease.ok() || !this->state.MayClaim(ReadBootTime())) {
    co_return;
  }
  this->state.BeginClaim(*lease, grantSentAt);
  std::string writtenKey = kLeaderKey;
  std::string value = this->self.Text();
  const auto written =
    co_await this->store.Put(std::move(writtenKey), std::move(value), *lease, *expected);
  if (written.ok()) {
    this->state.OnClaimWritten(*written, ReadBootTime());
    this->LogAcquired();
  } else if (core::IsError(written.status(), errors::kStoreOutcomeUnknown)) {
    this->state.OnClaimUnanswered();
    if (this->state.AwaitsReadBack()) {
      co_await this->ReadBack();
    }
  } else {
    this->state.OnClaimRefused();
  }
}

Task<void>
LeaseKeeper::ReadBack()
{
  const auto key = co_await this->ReadKey(Freshness::kNewest);
  if (!key.ok()) {
    co_return;
  }
  this->state.OnReadBack(*key, ReadBootTime());
  if (this->state.IsHeld()) {
    this->LogAcquired();
  }
}

Task<void>
LeaseKeeper::Renew(Lease aLease)
{
  const duties::BootTime sentAt = ReadBootTime();
  const absl::Status renewed = co_await this->store.Renew(aLease);
  if (!this->state.IsHeld()) {
    co_return;
  }
  if (renewed.ok()) {
    this->state.OnRenewed(sentAt);
  } else if (core::IsError(renewed, errors::kStoreConflict)) {
    this->StepDown("lease ended");
  }
}

void
LeaseKeeper::LogAcquired()
{
  core::Log(core::LogLevel::kInfo,
            "orders: lease acquired",
            { { "token", std::to_string(this->state.Token().Number()) } });
  this->onChange();
}

void
LeaseKeeper::LogLost(const std::string& aReason) const
{
  core::Log(core::LogLevel::kWarning,
            "orders: stepped down",
            { { "reason", aReason }, { "token", std::to_string(this->state.Token().Number()) } });
}

void
LeaseKeeper::StepDown(const std::string& aReason)
{
  if (this->state.IsHeld()) {
    this->LogLost(aReason);
    this->state.Lose(ReadBootTime());
    this->onChange();
  }
}

void
LeaseKeeper::GiveUp(const std::string& aReason, std::chrono::milliseconds aAbsence)
{
  if (this->state.IsHeld()) {
    this->LogLost(aReason);
    this->state.GiveUp(ReadBootTime(), aAbsence);
    this->onChange();
  }
}

void
LeaseKeeper::Retire()
{
  this->state.Retire();
}

} // namespace plantainslip::serving
