#include <plantainslip/duties/call_rules.hpp>

#include <algorithm>

namespace plantainslip::duties {

CallRules::CallRules(double aCallsPerSecond, std::uint64_t aSeed)
  : ratePerSecond(aCallsPerSecond * kUsedRateFraction)
  , burst(std::max(1.0, aCallsPerSecond * kBurstFraction))
  , available(this->burst)
  , random(aSeed)
{
}

bool
CallRules::TryTakeRate(BootTime aNow)
{
  if (aNow < this->callsFrom) {
    return false;
  }
  if (this->ratePerSecond <= 0.0) {
    return true;
  }
  const double seconds = std::chrono::duration<double>(aNow - this->refilledAt).count();
  this->available = std::min(this->burst, this->available + seconds * this->ratePerSecond);
  this->refilledAt = aNow;
  if (this->available < 1.0) {
    return false;
  }
  this->available -= 1.0;
  return true;
}

bool
CallRules::TryBegin(const std::string& aSubject, const std::string& aText, BootTime aNow)
{
  std::erase_if(this->subjects, [&](const auto& aEntry) {
    return !aEntry.second.inFlight && aNow >= aEntry.second.pendingUntil;
  });
  const auto found = this->subjects.find(aSubject);
  const bool isFree =
    found == this->subjects.end() || (!found->second.inFlight && found->second.text == aText);
  if (!isFree || !this->TryTakeRate(aNow)) {
    return false;
  }
  Subject& subject = this->subjects[aSubject];
  subject.text = aText;
  subject.inFlight = true;
  return true;
}

void
CallRules::OnEnded(const std::string& aSubject)
{
  if (const auto found = this->subjects.find(aSubject); found != this->subjects.end()) {
    found->second.inFlight = false;
  }
}

void
CallRules::OnUnanswered(const std::string& aSubject, BootTime aNow)
{
  if (const auto found = this->subjects.find(aSubject); found != this->subjects.end()) {
    found->second.inFlight = false;
    found->second.pendingUntil = aNow + kMaxCallDelay;
  }
}

void
CallRules::OnThrottled(BootTime aNow)
{
  this->backoff = std::clamp(2 * this->backoff, kFirstBackoff, kMaxBackoff);
  const double share = 0.5 + 0.5 * this->random.Fraction();
  this->callsFrom = aNow + std::chrono::duration_cast<BootTime>(this->backoff * share);
}

void
ReachRules::OnAnswered()
{
  this->failures = 0;
  this->absence = kFirstAbsence;
}

bool
ReachRules::OnFailed(BootTime aNow)
{
  this->failingSince = this->failures == 0 ? aNow : this->failingSince;
  ++this->failures;
  return this->failures >= kMaxFailures && aNow - this->failingSince >= this->leaseDuration;
}

milliseconds
ReachRules::NextAbsence()
{
  const milliseconds next = this->absence * this->leaseDuration;
  this->absence = std::min(kMaxAbsence, 2 * this->absence);
  this->failures = 0;
  return next;
}

} // namespace plantainslip::duties
