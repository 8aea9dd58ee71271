#include <plantainslip/authority/order_sequencer.hpp>

#include <algorithm>

namespace plantainslip::authority {

namespace {

std::optional<targets::EngineRole>
WantedRole(const config::TargetRule& aRule, std::optional<targets::EngineRole> aPlanned)
{
  const auto fixedRole = targets::ParseRole(aRule.role);
  return fixedRole.ok() ? std::optional(*fixedRole) : aPlanned;
}

bool
HasSameContent(const targets::EngineOrder& aLeft, const targets::EngineOrder& aRight)
{
  return aLeft.kind == aRight.kind && aLeft.model == aRight.model &&
         aLeft.version == aRight.version && aLeft.adapter == aRight.adapter &&
         aLeft.role == aRight.role;
}

bool
CanSend(const OrderSituation& aSituation)
{
  const bool idle = aSituation.report.has_value() && !aSituation.report->changing &&
                    aSituation.report->running == 0 && aSituation.report->queued == 0;
  return idle && aSituation.drained && aSituation.formerHolderExcluded;
}

OrderStep
DecideWhileDraining(const OrderSituation& aSituation)
{
  if (aSituation.unlisted) {
    return OrderStep::kCancelDrain;
  }
  if (!aSituation.report.has_value()) {
    return OrderStep::kWait;
  }
  if (!aSituation.wanted.has_value()) {
    return OrderStep::kCancelDrain;
  }
  if (!HasSameContent(*aSituation.wanted, aSituation.entry.order)) {
    return OrderStep::kReviseDrain;
  }
  const bool loadAllowed = aSituation.mayLoad || !IsLoad(aSituation.entry.order);
  return loadAllowed && CanSend(aSituation) ? OrderStep::kOpen : OrderStep::kWait;
}

OrderStep
DecideWhileOpen(const OrderSituation& aSituation)
{
  if (!aSituation.formerHolderExcluded) {
    return OrderStep::kWait;
  }
  if (aSituation.unlisted) {
    return OrderStep::kSettle;
  }
  if (!aSituation.report.has_value()) {
    return OrderStep::kWait;
  }
  if (aSituation.report->lastOrder == aSituation.entry.order.order) {
    return aSituation.report->lastOrderDone ? OrderStep::kSettle : OrderStep::kWait;
  }
  return CanSend(aSituation) ? OrderStep::kResend : OrderStep::kWait;
}

} // namespace

std::optional<targets::EngineOrder>
NextOrder(const config::Configuration& aConfiguration,
          const core::TargetId& aTarget,
          const targets::EngineReport& aReport,
          std::optional<targets::EngineRole> aPlanned)
{
  const auto rule = aConfiguration.targets.find(aTarget);
  if (rule == aConfiguration.targets.end()) {
    return std::nullopt;
  }
  const config::Deployment& wanted = aConfiguration.deployments.at(rule->second.deployment);
  targets::EngineOrder order;
  order.model = wanted.model;
  order.version = wanted.version;
  order.role = aReport.role;
  if (aReport.model != wanted.model || aReport.version != wanted.version) {
    order.kind = targets::OrderKind::kLoadModel;
    return order;
  }
  for (const std::string& adapter : wanted.adapters) {
    if (std::find(aReport.adapters.begin(), aReport.adapters.end(), adapter) ==
        aReport.adapters.end()) {
      order.kind = targets::OrderKind::kLoadAdapter;
      order.adapter = adapter;
      return order;
    }
  }
  const auto role = WantedRole(rule->second, aPlanned);
  if (role.has_value() && *role != aReport.role) {
    order.kind = targets::OrderKind::kSetRole;
    order.role = *role;
    return order;
  }
  return std::nullopt;
}

OrderStep
DecideOrderStep(const OrderSituation& aSituation)
{
  switch (aSituation.entry.phase) {
    case OrderPhase::kDraining:
      return DecideWhileDraining(aSituation);
    case OrderPhase::kOpen:
      return DecideWhileOpen(aSituation);
    default:
      break;
  }
  const bool canStart =
    aSituation.wanted.has_value() && aSituation.mayDrain && !aSituation.unlisted;
  return canStart ? OrderStep::kStartDrain : OrderStep::kWait;
}

bool
IsLoad(const targets::EngineOrder& aOrder)
{
  return aOrder.kind != targets::OrderKind::kSetRole;
}

} // namespace plantainslip::authority
