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

/// @brief Progress of an order.
enum class OrderPhase
{
  /// @brief Entry instances are told not to send new attempts; the order has never been sent.
  kDraining,
  /// @brief Journaled for sending; may or may not have been sent yet.
  kOpen,
  /// @brief The engine carried the order out, is no longer listed, or the order was cancelled
  ///        before it was sent.
  kSettled,
};

/// @brief Journal entry of the newest order to one engine.
struct JournalEntry
{
  core::TargetId target;
  targets::EngineOrder order;
  OrderPhase phase = OrderPhase::kSettled;
  /// @brief Revision of the entry in the store; zero if there is none yet.
  core::Revision revision;
};

/// @brief Journal of one zone's orders: holds only the newest order to each engine, so each engine
///        has at most one unsettled order.
/// @note Not thread-safe; calls block on the platform's store. Entries are cached: they are read
///       once per lease term and again after a failed write. Writes use compare-and-swap, so a
///       stale cache cannot overwrite newer entries.
class OrderJournal
{
public:
  /// @brief Creates a journal; nothing is read yet.
  /// @param aStore  has to outlive the journal
  /// @param aZone  zone of the engines
  OrderJournal(platform::Store& aStore, core::ZoneId aZone);

  /// @brief Reads all entries of the zone unless they are cached. At most one store call.
  /// @return OK, or error 802 (authority.not_journaled) or 803 (authority.bad_journal)
  absl::Status Load();

  /// @brief Discards the cached entries. Called at the start of a lease term.
  void Invalidate();

  /// @brief Returns the cached entry of an engine; an empty settled one if there is none.
  JournalEntry Entry(const core::TargetId& aTarget) const;

  /// @brief Returns the cached entries of all engines.
  std::vector<JournalEntry> Entries() const;

  /// @brief Writes an entry if the stored one still has the revision `aEntry.revision`.
  /// @return the entry with its new revision, or error 802 (authority.not_journaled) if the store
  ///         is down, the outcome is unknown or another controller wrote the entry in between;
  ///         the cache is then discarded
  absl::StatusOr<JournalEntry> Write(JournalEntry aEntry);

  /// @brief Returns the number of calls of Write(), failed ones included.
  std::uint64_t WriteAttempts() const { return this->writeAttempts; }

  /// @brief Returns the drain mark of each engine: draining while its order is unsettled.
  std::vector<DrainMark> Marks() const;

private:
  std::string Prefix() const;

  platform::Store& store;
  core::ZoneId zone;
  bool loaded = false;
  std::uint64_t writeAttempts = 0;
  std::map<core::TargetId, JournalEntry> entries;
};

/// @brief Reads the drain marks of a zone from the store. Called by an entry instance that starts.
/// @return the marks, or error 802 (authority.not_journaled) or 803 (authority.bad_journal)
absl::StatusOr<std::vector<DrainMark>>
ReadDrainMarks(platform::Store& aStore, const core::ZoneId& aZone);

} // namespace plantainslip::authority
