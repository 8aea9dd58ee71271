#include <plantainslip/roles/demand_roles.hpp>

#include <plantainslip/core/for_each.hpp>

namespace plantainslip::roles {

namespace {

// Weight of a new reading in the moving average of the answer length.
constexpr double kNewestAnswerWeight = 0.1;

core::TokenCount
Difference(core::TokenCount aNow, core::TokenCount aBefore)
{
  return core::TokenCount(aNow.Number() - aBefore.Number());
}

core::TokenCount
Sum(core::TokenCount aLeft, core::TokenCount aRight)
{
  return core::TokenCount(aLeft.Number() + aRight.Number());
}

} // namespace

DemandRoles::DemandRoles(peers::PeerClient& aPeers,
                         const core::Clock& aClock,
                         DemandRolesOptions aOptions)
  : peers(aPeers)
  , clock(aClock)
  , options(aOptions)
{
}

void
DemandRoles::RefreshDemand(const std::vector<platform::ListedInstance>& aEntries)
{
  const core::MonotonicTime now = this->clock.Now();
  if (this->lastObservedAt.has_value() && now < *this->lastObservedAt + this->options.interval) {
    return;
  }
  std::vector<absl::StatusOr<DemandDigest>> answers(aEntries.size(), DemandDigest());
  core::ForEachIndex(aEntries.size(), this->options.threads, [&](std::size_t aIndex) {
    const auto answer =
      this->peers.Call(aEntries[aIndex].peerAddress, kDemandKind, {}, this->options.timeout);
    answers[aIndex] =
      answer.ok() ? ParseDigest(*answer) : absl::StatusOr<DemandDigest>(answer.status());
  });
  Growth growth;
  for (std::size_t index = 0; index < aEntries.size(); ++index) {
    if (answers[index].ok()) {
      this->AddGrowth(aEntries[index].name, *answers[index], growth);
    }
  }
  if (this->lastObservedAt.has_value()) {
    const double seconds = std::chrono::duration<double>(now - *this->lastObservedAt).count();
    for (const auto& [deployment, counts] : growth) {
      this->Observe(deployment, counts, now, seconds);
    }
  }
  this->lastObservedAt = now;
}

void
DemandRoles::AddGrowth(const std::string& aEntry, const DemandDigest& aDigest, Growth& aGrowth)
{
  const auto before = this->lastDigests.find(aEntry);
  // A process that was not seen before has no earlier counts to compare with.
  const bool known = before != this->lastDigests.end() && before->second.process == aDigest.process;
  if (known) {
    for (const auto& [deployment, counts] : aDigest.deployments) {
      const DemandCounts& old = before->second.deployments[deployment];
      DemandCounts& sum = aGrowth[deployment];
      sum.requests += counts.requests - old.requests;
      sum.promptTokens = Sum(sum.promptTokens, Difference(counts.promptTokens, old.promptTokens));
      sum.answers += counts.answers - old.answers;
      sum.answerTokens = Sum(sum.answerTokens, Difference(counts.answerTokens, old.answerTokens));
    }
  }
  this->lastDigests[aEntry] = aDigest;
}

void
DemandRoles::Observe(const core::DeploymentName& aDeployment,
                     const DemandCounts& aGrowth,
                     core::MonotonicTime aNow,
                     double aSeconds)
{
  double& meanTokens = this->meanAnswerTokens[aDeployment];
  if (aGrowth.answers > 0) {
    const double observed =
      static_cast<double>(aGrowth.answerTokens.Number()) / static_cast<double>(aGrowth.answers);
    meanTokens += (meanTokens > 0.0 ? kNewestAnswerWeight : 1.0) * (observed - meanTokens);
  }
  const PhaseDemand rates{ static_cast<double>(aGrowth.promptTokens.Number()) / aSeconds,
                           static_cast<double>(aGrowth.requests) * meanTokens / aSeconds };
  this->demand[aDeployment].Observe(aNow, rates);
}

std::map<core::TargetId, targets::EngineRole>
DemandRoles::Plan(const config::PlannerWeights& aWeights,
                  const std::vector<authority::RoleCandidate>& aCandidates) const
{
  std::map<core::DeploymentName, std::vector<PlannedEngine>> engines;
  for (const authority::RoleCandidate& candidate : aCandidates) {
    engines[candidate.deployment].push_back(
      { candidate.target, candidate.role, candidate.running });
  }
  std::map<core::TargetId, targets::EngineRole> roles;
  for (auto& [deployment, planned] : engines) {
    const auto found = this->demand.find(deployment);
    const DemandEstimate estimate = found == this->demand.end() ? DemandEstimate() : found->second;
    roles.merge(PlanRoles(this->options.planner, aWeights, estimate, std::move(planned)));
  }
  return roles;
}

} // namespace plantainslip::roles
