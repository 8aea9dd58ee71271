#include <plantainslip/authority/zone_lease.hpp>

#include <utility>

#include <plantainslip/platform/errors.hpp>

namespace plantainslip::authority {

ZoneLease::ZoneLease(platform::Store& aStore, const core::Clock& aClock, ZoneLeaseOptions aOptions)
  : store(aStore)
  , clock(aClock)
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
  if (this->Token().has_value()) {
    this->Adopt(this->store.RenewLease(this->Name(), *this->token, this->options.duration), sentAt);
    return;
  }
  this->token.reset();
  this->Adopt(
    this->store.AcquireLease(this->Name(), this->options.holder.Text(), this->options.duration),
    sentAt);
}

void
ZoneLease::Adopt(const absl::StatusOr<platform::LeaseGrant>& aGrant, core::MonotonicTime aSentAt)
{
  if (aGrant.ok()) {
    this->token = aGrant->token;
    this->endsAt = aSentAt + aGrant->duration - this->options.margin;
  } else if (core::IsError(aGrant.status(), platform::errors::kLeaseHeld)) {
    this->token.reset();
  }
}

std::optional<core::FencingToken>
ZoneLease::Token() const
{
  return this->clock.Now() < this->endsAt ? this->token : std::nullopt;
}

void
ZoneLease::Release()
{
  if (this->token.has_value()) {
    // Not waited for: an unreleased lease lapses by itself.
    this->store.ReleaseLease(this->Name(), *this->token).IgnoreError();
    this->token.reset();
  }
}

} // namespace plantainslip::authority
