#pragma once

#include <map>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/authority/drain_marks.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/platform/store.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::authority {

/// @brief How far an order has come.
enum class OrderPhase
{
  /// @brief Entry instances are told to send no new work; the order was never sent.
  kDraining,
  /// @brief Journaled; it may or may not have been sent.
  kOpen,
  /// @brief The engine has done it or can no longer do it, or it was never sent.
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
/// @note Not safe to share between threads; calls block on the platform's store. The journal is
/// read
///       once in a term and after a write that failed; compare-and-swap guards what is remembered.
class OrderJournal
{
public:
  /// @brief Connects the journal to the store.
  /// @param aStore  has to outlive the journal
  /// @param aZone  zone whose engines get the orders
  OrderJournal(platform::Store& aStore, core::ZoneId aZone);

  /// @brief Reads all entries of the zone, unless they are remembered. One store call.
  /// @return OK, or error 802 (authority.not_journaled) or 803 (authority.bad_journal)
  absl::Status Load();

  /// @brief Forgets what was read, as at the beginning of a term.
  void Forget();

  /// @brief Gives the newest entry of an engine; an empty settled one if there is none.
  JournalEntry Entry(const core::TargetId& aTarget) const;

  /// @brief Gives the newest entries of all engines.
  std::vector<JournalEntry> Entries() const;

  /// @brief Writes an entry over the one that was read.
  /// @return the entry with its new revision, or error 802 (authority.not_journaled) if the store
  ///         is down, the outcome is unknown or another controller wrote first
  absl::StatusOr<JournalEntry> Write(JournalEntry aEntry);

  /// @brief Gives how many writes were tried.
  std::uint64_t Writes() const { return this->writes; }

  /// @brief Gives the mark that entry instances have to go by for each engine.
  std::vector<DrainMark> Marks() const;

private:
  std::string Prefix() const;

  platform::Store& store;
  core::ZoneId zone;
  bool loaded = false;
  std::uint64_t writes = 0;
  std::map<core::TargetId, JournalEntry> entries;
};

/// @brief Reads the marks of a zone from the store, as an entry instance does that starts.
/// @return the marks, or error 802 (authority.not_journaled) or 803 (authority.bad_journal)
absl::StatusOr<std::vector<DrainMark>>
ReadDrainMarks(platform::Store& aStore, const core::ZoneId& aZone);

} // namespace plantainslip::authority
