#include <plantainslip/authority/zone_lease.hpp>

#include <algorithm>
#include <utility>

#include <plantainslip/platform/errors.hpp>

namespace plantainslip::authority {

namespace {

// The lease is renewed after each third of its duration, so a holder may miss two renewals before
// it has to step down.
constexpr int kIntervalsPerLease = 3;
// Approximate number of store calls that all standbys together make in a third of the lease
// duration.
constexpr std::size_t kStandbyCallsPerInterval = 3;

} // namespace

ZoneLease::ZoneLease(platform::Store& aStore,
                     const core::Clock& aClock,
                     TermTimer& aTimer,
                     ZoneLeaseOptions aOptions)
  : store(aStore)
  , clock(aClock)
  , timer(aTimer)
  , options(std::move(aOptions))
{
}

std::string
ZoneLease::Name() const
{
  return "controller/" + this->options.zone.Text();
}

void
ZoneLease::AcquireOrRenew()
{
  // The lease duration counts from before the call was sent: the store may start it any time after.
  const core::MonotonicTime sentAt = this->clock.Now();
  if (this->token.has_value() && !this->Token().has_value()) {
    this->StepDown();
  }
  if (sentAt < this->nextCallAt) {
    return;
  }
  if (this->token.has_value()) {
    this->nextCallAt = sentAt + this->options.duration / kIntervalsPerLease;
    this->ApplyResult(this->store.RenewLease(this->Name(), *this->token, this->options.duration),
                      sentAt);
    return;
  }
  this->nextCallAt = sentAt + this->StandbyInterval();
  this->ApplyResult(
    this->store.AcquireLease(this->Name(), this->options.holder.Text(), this->options.duration),
    sentAt);
}

std::chrono::milliseconds
ZoneLease::StandbyInterval() const
{
  const auto groups = std::max<std::size_t>(1, this->contenderCount / kStandbyCallsPerInterval);
  return this->options.duration / kIntervalsPerLease * static_cast<std::int64_t>(groups);
}

void
ZoneLease::ApplyResult(const absl::StatusOr<platform::LeaseGrant>& aResult,
                       core::MonotonicTime aSentAt)
{
  if (aResult.ok()) {
    this->token = aResult->token;
    this->nextCallAt = aSentAt + this->options.duration / kIntervalsPerLease;
    this->processDeadline = aSentAt + aResult->duration - this->options.margin;
    this->timer.Arm(this->processDeadline);
  } else if (core::IsError(aResult.status(), platform::errors::kLeaseHeld)) {
    this->StepDown();
  }
}

void
ZoneLease::StepDown()
{
  // Orders are sent only with a token. Once it is reset, the process need not be killed.
  this->token.reset();
  this->timer.Disarm();
}

std::optional<core::FencingToken>
ZoneLease::Token() const
{
  return this->clock.Now() < this->processDeadline - this->options.margin ? this->token
                                                                          : std::nullopt;
}

void
ZoneLease::Release()
{
  if (this->token.has_value()) {
    const core::FencingToken released = *this->token;
    this->StepDown();
    // A failure is ignored: a lease that is not released expires.
    this->store.ReleaseLease(this->Name(), released).IgnoreError();
  }
}

} // namespace plantainslip::authority
