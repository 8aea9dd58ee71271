#include <plantainslip/authority/zone_lease.hpp>

#include <algorithm>
#include <utility>

#include <plantainslip/platform/errors.hpp>

namespace plantainslip::authority {

namespace {

// A holder may miss two renewals before it has to stand down.
constexpr int kRenewalsPerTerm = 3;
// So many calls are made in a third of the lease by all that stand by together.
constexpr std::size_t kStandbyCalls = 3;

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
ZoneLease::Keep()
{
  // The duration counts from before the call was sent, since the store may start it then.
  const core::MonotonicTime sentAt = this->clock.Now();
  if (this->token.has_value() && !this->Token().has_value()) {
    this->StandDown();
  }
  if (sentAt < this->nextCallAt) {
    return;
  }
  if (this->token.has_value()) {
    this->nextCallAt = sentAt + this->options.duration / kRenewalsPerTerm;
    this->Adopt(this->store.RenewLease(this->Name(), *this->token, this->options.duration), sentAt);
    return;
  }
  this->nextCallAt = sentAt + this->StandbyInterval();
  this->Adopt(
    this->store.AcquireLease(this->Name(), this->options.holder.Text(), this->options.duration),
    sentAt);
}

std::chrono::milliseconds
ZoneLease::StandbyInterval() const
{
  const auto groups = std::max<std::size_t>(1, this->contenders / kStandbyCalls);
  return this->options.duration / kRenewalsPerTerm * static_cast<std::int64_t>(groups);
}

void
ZoneLease::Adopt(const absl::StatusOr<platform::LeaseGrant>& aGrant, core::MonotonicTime aSentAt)
{
  if (aGrant.ok()) {
    this->token = aGrant->token;
    this->nextCallAt = aSentAt + this->options.duration / kRenewalsPerTerm;
    this->endsAt = aSentAt + aGrant->duration - this->options.margin;
    this->timer.Arm(this->endsAt);
  } else if (core::IsError(aGrant.status(), platform::errors::kLeaseHeld)) {
    this->StandDown();
  }
}

void
ZoneLease::StandDown()
{
  // The token goes first: nothing is sent without it, so the process need not end.
  this->token.reset();
  this->timer.Disarm();
}

std::optional<core::FencingToken>
ZoneLease::Token() const
{
  return this->clock.Now() < this->endsAt - this->options.margin ? this->token : std::nullopt;
}

void
ZoneLease::Release()
{
  if (this->token.has_value()) {
    const core::FencingToken released = *this->token;
    this->StandDown();
    // Not waited for: an unreleased lease lapses by itself.
    this->store.ReleaseLease(this->Name(), released).IgnoreError();
  }
}

} // namespace plantainslip::authority
