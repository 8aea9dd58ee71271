#include "history.hpp"

#include <set>

namespace plantainslip::harness {

std::string
Describe(const Violations& aViolations)
{
  std::string text;
  for (const std::string& violation : aViolations) {
    text += violation + "; ";
  }
  return text;
}

Violations
CheckAnswers(const History& aHistory)
{
  Violations violations;
  for (const AnswerEvent& answer : aHistory.answers) {
    if (answer.whole && answer.received != answer.expected) {
      violations.push_back(answer.caller + " was told a wrong answer is whole");
    }
    if (!answer.expected.starts_with(answer.received)) {
      violations.push_back(answer.caller + " received what is not of its own answer");
    }
    if (answer.refusal == core::Outcome::kNotRun && !answer.received.empty()) {
      violations.push_back(answer.caller + " was told not_run after a part of its answer");
    }
  }
  return violations;
}

Violations
CheckNothingCut(const History& aHistory)
{
  Violations violations;
  for (const AnswerEvent& answer : aHistory.answers) {
    // A request that was refused before it ran was not cut.
    const bool refused = answer.refusal == core::Outcome::kNotRun && answer.received.empty();
    if (!answer.whole && !refused) {
      violations.push_back(answer.caller + " was cut after " +
                           std::to_string(answer.received.size()) + " bytes");
    }
  }
  return violations;
}

Violations
CheckAtMostOnce(const History& aHistory)
{
  Violations violations;
  for (const auto& [key, runs] : aHistory.runs) {
    if (runs > 1) {
      violations.push_back(key + " ran " + std::to_string(runs) + " times");
    }
  }
  for (const PaymentEvent& payment : aHistory.payments) {
    const auto runs = aHistory.runs.find(payment.key);
    if (payment.answered && (runs == aHistory.runs.end() || runs->second == 0)) {
      violations.push_back(payment.key + " was answered and never ran");
    }
  }
  return violations;
}

Violations
CheckNotRunIsTrue(const History& aHistory)
{
  // A refusal speaks of its own call: another call with the same key may have run.
  std::set<std::string> mayHaveRun;
  std::set<std::string> refused;
  for (const PaymentEvent& payment : aHistory.payments) {
    const bool notRun = !payment.answered && payment.refusal == core::Outcome::kNotRun;
    (notRun ? refused : mayHaveRun).insert(payment.key);
  }
  Violations violations;
  for (const std::string& key : refused) {
    const auto runs = aHistory.runs.find(key);
    const bool ran = runs != aHistory.runs.end() && runs->second > 0;
    if (ran && !mayHaveRun.contains(key)) {
      violations.push_back(key + " ran, and every caller was told not_run");
    }
  }
  return violations;
}

Violations
CheckOrders(const History& aHistory)
{
  Violations violations;
  std::map<std::string, std::set<std::string>> effects;
  for (const OrderEvent& order : aHistory.orders) {
    if (!order.accepted) {
      continue;
    }
    if (!effects[order.engine].insert(order.order).second) {
      violations.push_back(order.engine + " carried out order " + order.order + " twice");
    }
    if (order.running > 0) {
      violations.push_back(order.engine + " was changed while it worked on " +
                           std::to_string(order.running) + " requests");
    }
  }
  return violations;
}

Violations
CheckAuthority(const History& aHistory)
{
  Violations violations;
  std::map<std::string, std::uint64_t> highest;
  for (const OrderEvent& order : aHistory.orders) {
    std::uint64_t& seen = highest[order.engine];
    if (order.accepted && order.token < seen) {
      violations.push_back(order.engine + " obeyed token " + std::to_string(order.token) +
                           " after token " + std::to_string(seen));
    }
    seen = std::max(seen, order.token);
  }
  return violations;
}

Violations
CheckVersionsNeverRevert(const History& aHistory)
{
  Violations violations;
  std::map<std::string, std::uint64_t> highest;
  for (const VersionEvent& event : aHistory.versions) {
    std::uint64_t& seen = highest[event.instance];
    if (event.version < seen) {
      violations.push_back(event.instance + " went back from version " + std::to_string(seen) +
                           " to " + std::to_string(event.version));
    }
    seen = std::max(seen, event.version);
  }
  return violations;
}

Violations
CheckPatches(const History& aHistory)
{
  Violations violations;
  std::map<std::uint64_t, std::string> byVersion;
  for (const auto& [patch, version] : aHistory.acceptedPatches) {
    const auto [other, isNew] = byVersion.emplace(version, patch);
    if (!isNew) {
      violations.push_back(patch + " and " + other->second + " share a version");
    }
  }
  for (const PatchEvent& event : aHistory.patches) {
    const auto found = aHistory.acceptedPatches.find(event.patch);
    const bool isIn = found != aHistory.acceptedPatches.end();
    if (event.accepted.has_value() && (!isIn || found->second != *event.accepted)) {
      violations.push_back(event.patch + " was accepted and is not in force");
    }
    if (event.refused && isIn) {
      violations.push_back(event.patch + " was refused and is in force");
    }
  }
  return violations;
}

Violations
CheckLeaving(const History& aHistory, std::int64_t aBoundMs)
{
  Violations violations;
  for (const WorkEvent& work : aHistory.work) {
    const auto since = aHistory.leavingSinceMs.find(work.target);
    if (since != aHistory.leavingSinceMs.end() && work.startedAtMs > since->second + aBoundMs) {
      violations.push_back(work.target + " got new work " +
                           std::to_string(work.startedAtMs - since->second) +
                           " ms after it was marked as leaving");
    }
  }
  return violations;
}

} // namespace plantainslip::harness
