#include <plantainslip/duties/lease_state.hpp>

#include <algorithm>

namespace plantainslip::duties {

bool
LeaseState::HasLapsed(BootTime aNow) const
{
  return this->held.has_value() && aNow >= this->held->safeUntil;
}

bool
LeaseState::IsSafe(BootTime aNow) const
{
  return this->held.has_value() && aNow + this->rules.margin < this->held->safeUntil;
}

bool
LeaseState::MayCall(BootTime aNow) const
{
  return this->IsSafe(aNow) && aNow >= this->held->callsAllowedFrom;
}

core::FencingToken
LeaseState::Token() const
{
  return this->held.has_value() ? this->held->token : core::FencingToken(0);
}

std::optional<serving::Lease>
LeaseState::LeaseToRenew() const
{
  if (!this->held.has_value() || this->retired) {
    return std::nullopt;
  }
  return this->held->lease;
}

bool
LeaseState::MayClaim(BootTime aNow) const
{
  return !this->held.has_value() && !this->claim.has_value() && !this->retired &&
         aNow >= this->claimsFrom;
}

std::optional<core::Revision>
LeaseState::ClaimableRevision(const std::optional<SeenKey>& aKey, BootTime aNow)
{
  if (!aKey.has_value()) {
    this->leftover.reset();
    return core::Revision(0);
  }
  if (!this->rules.resolvesClaims || aKey->value != this->name) {
    this->leftover.reset();
    return std::nullopt;
  }
  if (!this->leftover.has_value() || this->leftover->position != aKey->position) {
    this->leftover = { aKey->position, aNow };
  }
  // Twice the duration covers a renewal that the store carried out late.
  if (aNow - this->leftover->seenAt < 2 * this->rules.duration) {
    return std::nullopt;
  }
  return aKey->position.revision;
}

void
LeaseState::BeginClaim(const serving::Lease& aLease, BootTime aGrantSentAt)
{
  this->claim = Claim{ aLease, aGrantSentAt + this->rules.duration };
}

void
LeaseState::OnClaimWritten(const serving::StorePosition& aPosition, BootTime aNow)
{
  if (!this->claim.has_value()) {
    return;
  }
  this->held = Holding{ this->claim->lease,
                        serving::FencingTokenAt(aPosition),
                        this->claim->safeUntil,
                        aNow + this->rules.duration };
  this->claim.reset();
  this->leftover.reset();
}

void
LeaseState::OnClaimUnanswered()
{
  if (!this->rules.resolvesClaims) {
    this->claim.reset();
  } else if (this->claim.has_value()) {
    this->claim->unanswered = true;
  }
}

void
LeaseState::OnReadBack(const std::optional<SeenKey>& aKey, BootTime aNow)
{
  this->DropLapsedClaim(aNow);
  if (!this->claim.has_value() || !aKey.has_value()) {
    return;
  }
  const serving::Lease& own = this->claim->lease;
  if (aKey->value == this->name && aKey->lease.id == own.id && aKey->lease.era == own.era &&
      aKey->position.era == own.era) {
    this->OnClaimWritten(aKey->position, aNow);
  }
}

void
LeaseState::DropLapsedClaim(BootTime aNow)
{
  if (this->claim.has_value() && aNow >= this->claim->safeUntil) {
    this->claim.reset();
  }
}

void
LeaseState::OnRenewed(BootTime aSentAt)
{
  if (this->held.has_value()) {
    this->held->safeUntil = aSentAt + this->rules.duration;
  }
}

void
LeaseState::Lose(BootTime aNow)
{
  this->GiveUp(aNow, this->rules.pauseAfterLoss);
}

void
LeaseState::GiveUp(BootTime aNow, milliseconds aAbsence)
{
  this->held.reset();
  this->claimsFrom = std::max(this->claimsFrom, aNow + aAbsence);
}

} // namespace plantainslip::duties
