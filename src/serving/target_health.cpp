#include <plantainslip/serving/target_health.hpp>

#include <algorithm>

namespace plantainslip::serving {

void
TargetHealth::Record(const core::TargetId& aTarget, AttemptResult aResult, core::MonotonicTime aNow)
{
  Judgement& judgement = this->records[aTarget];
  const bool absent =
    aResult == AttemptResult::kUnreachable || aResult == AttemptResult::kMisdirected;
  const bool failed = aResult == AttemptResult::kFailed || absent;
  judgement.failureRate += kNewestWeight * ((failed ? 1.0 : 0.0) - judgement.failureRate);
  if (!absent) {
    judgement.unreachableInARow = 0;
    judgement.avoidedUntil = {};
    judgement.answeredAt = aNow;
    return;
  }
  constexpr int kMostDoublings = 10;
  const int doublings = std::min(judgement.unreachableInARow, kMostDoublings);
  judgement.avoidedUntil = aNow + std::min(kFirstAvoidance * (1 << doublings), kLongestAvoidance);
  ++judgement.unreachableInARow;
}

bool
TargetHealth::AvoidedByPeers(const core::TargetId& aTarget, core::MonotonicTime aNow) const
{
  std::size_t witnesses = 0;
  for (const auto& [peer, word] : this->words) {
    const auto& named = word.unreachable;
    witnesses +=
      static_cast<std::size_t>(aNow - word.at <= kWordLifetime &&
                               std::find(named.begin(), named.end(), aTarget) != named.end());
  }
  return witnesses >= kWitnesses;
}

bool
TargetHealth::Avoided(const core::TargetId& aTarget, core::MonotonicTime aNow) const
{
  const auto found = this->records.find(aTarget);
  if (found != this->records.end()) {
    const Judgement& own = found->second;
    if (aNow < own.avoidedUntil) {
      return true;
    }
    if (own.answeredAt.has_value() && aNow - *own.answeredAt <= kOwnEvidence) {
      return false;
    }
  }
  return this->AvoidedByPeers(aTarget, aNow);
}

std::vector<core::TargetId>
TargetHealth::Unreachable(core::MonotonicTime aNow) const
{
  std::vector<core::TargetId> targets;
  for (const auto& [target, judgement] : this->records) {
    if (aNow < judgement.avoidedUntil) {
      targets.push_back(target);
    }
  }
  return targets;
}

void
TargetHealth::SetPeer(const core::InstanceId& aPeer,
                      std::vector<core::TargetId> aUnreachable,
                      core::MonotonicTime aNow)
{
  if (aUnreachable.empty()) {
    this->words.erase(aPeer);
  } else {
    this->words[aPeer] = Word{ std::move(aUnreachable), aNow };
  }
  std::erase_if(this->words,
                [&](const auto& aEntry) { return aNow - aEntry.second.at > kWordLifetime; });
}

double
TargetHealth::FailureRate(const core::TargetId& aTarget) const
{
  const auto found = this->records.find(aTarget);
  return found == this->records.end() ? 0.0 : found->second.failureRate;
}

} // namespace plantainslip::serving
