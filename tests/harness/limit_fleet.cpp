#include "limit_fleet.hpp"

#include <algorithm>

namespace plantainslip::harness {

LimitFleet::LimitFleet(std::size_t aInstances, const limits::LimitOptions& aOptions)
  : options(aOptions)
  , reaches([](std::size_t /*aFrom*/, std::size_t /*aTo*/) { return true; })
{
  std::vector<core::InstanceId> instances;
  for (std::size_t number = 0; number < aInstances; ++number) {
    instances.emplace_back("entry-" + std::to_string(number));
  }
  for (std::size_t number = 0; number < aInstances; ++number) {
    const core::InstanceId& self = instances[number];
    const auto offset = aOptions.reportInterval * number / aInstances;
    this->nodes.push_back({ self,
                            limits::WorkspaceBuckets(aOptions, self),
                            limits::ShareOwner(aOptions),
                            this->clock.Now() + offset });
    this->nodes.back().buckets.SetInstances(instances);
  }
}

bool
LimitFleet::Admit(std::size_t aInstance,
                  const core::WorkspaceId& aWorkspace,
                  const config::WorkspaceLimit& aLimit,
                  core::TokenCount aTokens)
{
  limits::WorkspaceBuckets& buckets = this->nodes[aInstance].buckets;
  const core::MonotonicTime now = this->clock.Now();
  if (buckets.Admit(aWorkspace, aLimit, aTokens, now).admitted) {
    return true;
  }
  std::chrono::milliseconds wait = this->options.reportInterval;
  const auto owners = buckets.OwnersToAsk(aWorkspace, now);
  for (const core::InstanceId& owner : owners) {
    const auto decision = this->Ask(
      aInstance, this->Find(owner), { limits::HashWorkspace(aWorkspace), aLimit, aTokens });
    if (decision.admitted) {
      return true;
    }
    wait = std::min(wait, decision.wait);
  }
  if (!owners.empty()) {
    buckets.RecordRefusal(aWorkspace, wait, now);
  }
  return false;
}

std::size_t
LimitFleet::Find(const core::InstanceId& aInstance) const
{
  const auto found = std::find_if(this->nodes.begin(), this->nodes.end(), [&](const Node& aNode) {
    return aNode.instance == aInstance;
  });
  return static_cast<std::size_t>(found - this->nodes.begin());
}

limits::LimitDecision
LimitFleet::Ask(std::size_t aFrom, std::size_t aTo, const limits::LimitRequest& aRequest)
{
  const limits::LimitDecision lost{ false, this->options.reportInterval };
  if (!this->reaches(aFrom, aTo)) {
    return lost;
  }
  const std::string question = limits::EncodeLimitRequest(aRequest);
  const std::string answer = limits::EncodeDecision(
    this->nodes[aTo].owner.Decide(*limits::DecodeLimitRequest(question), this->clock.Now()));
  if (aTo != aFrom) {
    ++this->messages;
    this->bytes += question.size() + answer.size();
  }
  return this->reaches(aTo, aFrom) ? *limits::DecodeDecision(answer) : lost;
}

void
LimitFleet::Advance(std::chrono::milliseconds aStep)
{
  this->clock.Advance(aStep);
  for (std::size_t from = 0; from < this->nodes.size(); ++from) {
    Node& node = this->nodes[from];
    if (node.reportsAt <= this->clock.Now()) {
      node.reportsAt += this->options.reportInterval;
      this->Report(from);
    }
  }
}

void
LimitFleet::Report(std::size_t aFrom)
{
  Node& node = this->nodes[aFrom];
  const core::MonotonicTime now = this->clock.Now();
  node.owner.Prune(now);
  for (const auto& [name, report] : node.buckets.MakeReports(now)) {
    const std::size_t to = this->Find(name);
    if (!this->reaches(aFrom, to)) {
      continue;
    }
    const std::string request = limits::EncodeReport(report);
    const std::string answer =
      limits::EncodeGrant(this->nodes[to].owner.GrantShares(*limits::DecodeReport(request), now));
    if (to != aFrom) {
      ++this->messages;
      this->bytes += request.size() + answer.size();
    }
    if (this->reaches(to, aFrom)) {
      node.buckets.ApplyGrant(name, *limits::DecodeGrant(answer), now, now);
    }
  }
}

} // namespace plantainslip::harness
