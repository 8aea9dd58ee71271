#pragma once

#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/platform/store.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::authority {

/// @brief How far an order has come.
enum class OrderPhase
{
  /// @brief Journaled; it may or may not have been sent.
  kOpen,
  /// @brief The engine has done it, or can no longer do it.
  kSettled,
};

/// @brief What the store holds of the newest order to one engine.
struct JournalEntry
{
  core::TargetId target;
  targets::EngineOrder order;
  OrderPhase phase = OrderPhase::kSettled;
  /// @brief Revision of the entry in the store; zero if there is none yet.
  core::Revision revision;
};

/// @brief Journal of one zone's orders: at most one open order for each engine.
/// @note Not safe to share between threads; calls block on the platform's store.
class OrderJournal
{
public:
  /// @brief Connects the journal to the store.
  /// @param aStore  has to outlive the journal
  /// @param aZone  zone whose engines get the orders
  OrderJournal(platform::Store& aStore, core::ZoneId aZone);

  /// @brief Reads the newest entry of an engine.
  /// @return the entry, empty if there is none; or error 802 (authority.not_journaled) or 803
  absl::StatusOr<JournalEntry> Read(const core::TargetId& aTarget);

  /// @brief Writes an entry over the one that was read.
  /// @return the entry with its new revision, or error 802 (authority.not_journaled) if the store
  ///         is down, the outcome is unknown or another controller wrote first
  absl::StatusOr<JournalEntry> Write(JournalEntry aEntry);

private:
  std::string KeyOf(const core::TargetId& aTarget) const;

  platform::Store& store;
  core::ZoneId zone;
};

} // namespace plantainslip::authority
