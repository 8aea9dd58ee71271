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
    this->nodes.back().buckets.AdoptInstances(instances);
  }
}

bool
LimitFleet::Admit(std::size_t aInstance,
                  const core::WorkspaceId& aWorkspace,
                  const config::WorkspaceLimit& aLimit,
                  core::TokenCount aTokens)
{
  return this->nodes[aInstance]
    .buckets.Admit(aWorkspace, aLimit, aTokens, this->clock.Now())
    .admitted;
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
    const auto owner =
      std::find_if(this->nodes.begin(), this->nodes.end(), [&, &name = name](const Node& aNode) {
        return aNode.instance == name;
      });
    const auto to = static_cast<std::size_t>(owner - this->nodes.begin());
    if (!this->reaches(aFrom, to)) {
      continue;
    }
    const std::string request = limits::EncodeReport(report);
    const std::string answer =
      limits::EncodeGrant(owner->owner.Handle(*limits::DecodeReport(request), now));
    if (to != aFrom) {
      ++this->messages;
      this->bytes += request.size() + answer.size();
    }
    if (this->reaches(to, aFrom)) {
      node.buckets.AdoptGrant(name, *limits::DecodeGrant(answer), now, now);
    }
  }
}

} // namespace plantainslip::harness
