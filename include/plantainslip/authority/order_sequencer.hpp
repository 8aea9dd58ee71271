#pragma once

#include <optional>

#include <plantainslip/authority/order_journal.hpp>
#include <plantainslip/config/configuration.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::authority {

/// @brief Determines the next order that brings one engine closer to its configuration. No I/O.
/// @param aConfiguration  configuration in force
/// @param aTarget  the engine
/// @param aReport  state that the engine reports
/// @param aPlanned  role chosen by the planner; used if the engine's configured role is `auto`
/// @return the order without id and fencing token, or nothing if the engine matches its
///         configuration or is not configured; logarithmic in the number of targets, no errors
std::optional<targets::EngineOrder>
NextOrder(const config::Configuration& aConfiguration,
          const core::TargetId& aTarget,
          const targets::EngineReport& aReport,
          std::optional<targets::EngineRole> aPlanned = std::nullopt);

/// @brief Next action on the order of one engine.
enum class OrderStep
{
  kWait,
  /// @brief Journal a new order and mark the engine as draining.
  kStartDrain,
  /// @brief Replace a journaled order that was never sent by another one.
  kReviseDrain,
  /// @brief Settle an order that was never sent and is no longer needed.
  kCancelDrain,
  /// @brief Journal the order as open, then send it.
  kOpen,
  /// @brief Send the same order again.
  kResend,
  /// @brief Journal the order as settled, which lifts the drain mark.
  kSettle,
};

/// @brief Inputs of DecideOrderStep() for one engine.
struct OrderSituation
{
  JournalEntry entry;
  /// @brief Order that the configuration and the planner require now; nothing if none is needed or
  ///        the engine is leaving or cannot be reached.
  std::optional<targets::EngineOrder> wanted;
  /// @brief State that the engine reports; nothing if it cannot be reached.
  std::optional<targets::EngineReport> report;
  /// @brief Whether the platform no longer lists the engine.
  bool unlisted = false;
  /// @brief Whether the engine may be taken out of service now.
  bool mayDrain = false;
  /// @brief Whether every listed entry instance confirmed the drain mark and has no attempts in
  ///        flight at the engine.
  bool drained = false;
  /// @brief Whether orders of a former lease holder are ruled out: none can arrive any more, or the
  ///        engine would refuse them by their fencing token.
  bool formerHolderExcluded = false;
  /// @brief Whether the limit of concurrent loads from the weight store allows another one.
  bool mayLoad = false;
};

/// @brief Determines the next step for one engine. No I/O; constant time; no errors.
OrderStep
DecideOrderStep(const OrderSituation& aSituation);

/// @brief Returns whether an order makes the engine load from the weight store.
bool
IsLoad(const targets::EngineOrder& aOrder);

} // namespace plantainslip::authority
