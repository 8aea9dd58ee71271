#pragma once

#include <optional>

#include <plantainslip/authority/order_journal.hpp>
#include <plantainslip/config/configuration.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::authority {

/// @brief Decides what one engine needs next to be as the configuration wants it. No I/O.
/// @param aConfiguration  configuration in force
/// @param aTarget  the engine
/// @param aReport  what the engine says of itself
/// @param aPlanned  role that the planner wants, for engines whose role is left to it
/// @return the order without identifier and token, or nothing if the engine is as wanted;
///         logarithmic in the number of targets, no errors
std::optional<targets::EngineOrder>
NextOrder(const config::Configuration& aConfiguration,
          const core::TargetId& aTarget,
          const targets::EngineReport& aReport,
          std::optional<targets::EngineRole> aPlanned = std::nullopt);

/// @brief What is done next with one engine's journal entry.
enum class OrderStep
{
  kWait,
  /// @brief Journal a new order and mark the engine as draining.
  kStartDrain,
  /// @brief Journal another order in place of one that was never sent.
  kReviseDrain,
  /// @brief Settle an order that was never sent and is no longer wanted.
  kCancelDrain,
  /// @brief Journal that the order may be sent from now on, then send it.
  kOpen,
  /// @brief Send the same order again.
  kResend,
  /// @brief Journal that the order is done, which lifts the mark.
  kSettle,
};

/// @brief Everything that the next step with one engine depends on.
struct OrderSituation
{
  JournalEntry entry;
  /// @brief What the configuration and the planner want now.
  std::optional<targets::EngineOrder> wanted;
  /// @brief Nothing if the engine cannot be reached.
  std::optional<targets::EngineReport> report;
  /// @brief Whether the platform no longer lists the engine.
  bool withdrawn = false;
  /// @brief Whether the engine may be taken out of service now.
  bool mayDrain = false;
  /// @brief Whether every listed entry instance confirmed the mark with no attempt under way.
  bool quiet = false;
  /// @brief Whether no former holder's order can arrive any more, or the engine would refuse it.
  bool authoritative = false;
  /// @brief Whether the weight store's limit allows a load now.
  bool mayLoad = false;
};

/// @brief Decides the next step with one engine. No I/O; constant time; no errors.
OrderStep
DecideOrderStep(const OrderSituation& aSituation);

/// @brief Tells whether an order makes the engine read from the weight store.
bool
IsLoad(const targets::EngineOrder& aOrder);

} // namespace plantainslip::authority
