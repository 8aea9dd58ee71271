#include <plantainslip/serving/target_health.hpp>

#include <algorithm>
#include <cmath>

namespace plantainslip::serving {

double
TargetHealth::DecayedFailureRate(const TargetRecord& aRecord, core::MonotonicTime aNow)
{
  using Milliseconds = std::chrono::duration<double, std::milli>;
  const double halfLives =
    Milliseconds(aNow - aRecord.attemptedAt) / Milliseconds(kFailureHalfLife);
  const double rate = aRecord.failureRate * std::exp2(-std::max(0.0, halfLives));
  return rate < kNegligibleFailureRate ? 0.0 : rate;
}

void
TargetHealth::Record(const core::TargetId& aTarget, AttemptResult aResult, core::MonotonicTime aNow)
{
  TargetRecord& record = this->records[aTarget];
  const bool targetMissing =
    aResult == AttemptResult::kUnreachable || aResult == AttemptResult::kMisdirected;
  const bool failed = aResult == AttemptResult::kFailed || targetMissing;
  const double rateBefore = DecayedFailureRate(record, aNow);
  record.failureRate = rateBefore + kSmoothingFactor * ((failed ? 1.0 : 0.0) - rateBefore);
  record.attemptedAt = aNow;
  if (!targetMissing) {
    record.consecutiveUnreachable = 0;
    record.avoidedUntil = {};
    record.answeredAt = aNow;
    return;
  }
  constexpr int kMaxDoublings = 10;
  const int doublings = std::min(record.consecutiveUnreachable, kMaxDoublings);
  record.avoidedUntil = aNow + std::min(kInitialBackoff * (1 << doublings), kMaxBackoff);
  ++record.consecutiveUnreachable;
}

bool
TargetHealth::IsAvoidedByPeers(const core::TargetId& aTarget, core::MonotonicTime aNow) const
{
  std::size_t reportCount = 0;
  for (const auto& [peer, report] : this->peerReports) {
    const auto& targetIds = report.unreachable;
    reportCount += static_cast<std::size_t>(
      aNow - report.receivedAt <= kPeerReportLifetime &&
      std::find(targetIds.begin(), targetIds.end(), aTarget) != targetIds.end());
  }
  return reportCount >= kMinPeerReports;
}

bool
TargetHealth::IsAvoided(const core::TargetId& aTarget, core::MonotonicTime aNow) const
{
  const auto found = this->records.find(aTarget);
  if (found != this->records.end()) {
    const TargetRecord& own = found->second;
    if (aNow < own.avoidedUntil) {
      return true;
    }
    if (own.answeredAt.has_value() && aNow - *own.answeredAt <= kRecentAnswerWindow) {
      return false;
    }
  }
  return this->IsAvoidedByPeers(aTarget, aNow);
}

std::vector<core::TargetId>
TargetHealth::UnreachableTargets(core::MonotonicTime aNow) const
{
  std::vector<core::TargetId> targets;
  for (const auto& [target, record] : this->records) {
    if (aNow < record.avoidedUntil) {
      targets.push_back(target);
    }
  }
  return targets;
}

void
TargetHealth::SetPeerReport(const core::InstanceId& aPeer,
                            std::vector<core::TargetId> aUnreachable,
                            core::MonotonicTime aNow)
{
  if (aUnreachable.empty()) {
    this->peerReports.erase(aPeer);
  } else {
    this->peerReports[aPeer] = PeerReport{ std::move(aUnreachable), aNow };
  }
  std::erase_if(this->peerReports, [&](const auto& aEntry) {
    return aNow - aEntry.second.receivedAt > kPeerReportLifetime;
  });
}

double
TargetHealth::FailureRate(const core::TargetId& aTarget, core::MonotonicTime aNow) const
{
  const auto found = this->records.find(aTarget);
  return found == this->records.end() ? 0.0 : DecayedFailureRate(found->second, aNow);
}

} // namespace plantainslip::serving
