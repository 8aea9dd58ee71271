#include "control.hpp"

#include <plantainslip/core/log.hpp>

#include "spawn.hpp"

namespace plantainslip::serving {

void
Control::AddDuty(std::unique_ptr<Duty> aDuty)
{
  this->duties.push_back(std::make_unique<RunningDuty>(RunningDuty{ std::move(aDuty) }));
}

void
Control::EnableCalls(const DutyCodec& aCodec, PathMetrics& aMetrics)
{
  this->metrics = &aMetrics;
  aMetrics.Set("duty_lease", "", 0);
  aMetrics.Set("duty_token", "", 0);
  this->dutyCalls = std::make_unique<DutyCaller>(this->leadership,
                                                 aCodec,
                                                 this->pool,
                                                 aMetrics,
                                                 this->options.self.id,
                                                 *this->options.platformCalls,
                                                 this->options.leaseDuration);
}

void
Control::BeginStop()
{
  if (this->options.platformCalls.has_value()) {
    this->leadership.Retire();
  }
}

// Without platform calls peers do not state who holds the lease.
bool
Control::PeerHoldsLease() const
{
  return this->peerToken.Number() > 0;
}

void
Control::RecordLivePeers(const std::vector<PeerState>& aPeers)
{
  const core::MonotonicTime now = this->clock.Now();
  this->liveInstances = { { this->options.self.zone, 1 } };
  this->peerToken = core::FencingToken(0);
  for (const PeerState& peer : aPeers) {
    if (IsAlive(peer, now)) {
      ++this->liveInstances[peer.zone];
      this->peerToken = std::max(this->peerToken, peer.heldToken);
    }
  }
}

void
Control::OnLeaseChange()
{
  if (this->metrics != nullptr) {
    this->metrics->Set("duty_lease", "", this->leadership.IsHeld() ? 1 : 0);
    this->metrics->Set("duty_token", "", this->leadership.Token().Number());
  }
  if (!this->leadership.IsHeld()) {
    for (const auto& running : this->duties) {
      running->duty->OnLeaseLost();
    }
  }
  if (this->options.platformCalls.has_value()) {
    this->PublishUpdate();
  }
}

DutyInput
Control::MakeDutyInput()
{
  DutyInput input;
  auto fleet = std::make_shared<FleetSnapshot>(this->ExpectedFleet());
  fleet->config = this->config;
  fleet->configState = this->configFollower.State();
  fleet->targetsState = this->targetFollower.State();
  input.fleet = std::move(fleet);
  for (const auto& [service, estimator] : this->demand) {
    if (const auto current = estimator.Current(); current.has_value()) {
      input.demand[service] = *current;
    }
  }
  input.zoneDemand = this->MeasuredZoneDemand();
  input.liveInstances = this->liveInstances;
  input.isConfirmed = this->clock.Now() - this->confirmedAt <= kConfirmationTimeout;
  input.sinceMembershipChange = this->TimeSinceMembershipChange();
  return input;
}

Task<void>
Control::PerformDuty(RunningDuty& aDuty)
{
  aDuty.isPerforming = true;
  try {
    co_await aDuty.duty->Perform(*this->dutyCalls, this->MakeDutyInput());
  } catch (...) {
    LogUnexpectedException("perform duty", std::current_exception());
  }
  aDuty.isPerforming = false;
}

// Duties run beside the loop that renews the lease, so that slow calls do not delay a renewal.
void
Control::StartDuties()
{
  if (this->dutyCalls == nullptr || this->config == nullptr) {
    return;
  }
  for (const auto& running : this->duties) {
    if (!running->isPerforming) {
      Spawn(this->context, "perform duty", [this, duty = running.get()] {
        return this->PerformDuty(*duty);
      });
    }
  }
}

} // namespace plantainslip::serving
