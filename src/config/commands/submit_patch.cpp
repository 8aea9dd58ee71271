#include <plantainslip/config/commands/submit_patch.hpp>

#include <algorithm>

#include <nlohmann/json.hpp>

#include <plantainslip/config/configuration.hpp>
#include <plantainslip/config/errors.hpp>
#include <plantainslip/config/queries/read_history.hpp>
#include <plantainslip/platform/errors.hpp>

namespace plantainslip::config {

namespace {

using nlohmann::json;

// With more entries, the older half of the history is archived.
constexpr std::size_t kMaxHistoryEntries = 400;
// Limit of reads that check the outcome of a patch after a lost response or a conflict.
constexpr int kMaxOutcomeReads = 3;
constexpr std::size_t kMaxChangesInError = 10;
constexpr std::size_t kMaxChangeBytesInError = 500;
// The document, the history that is not archived and one more patch have to fit into one store
// value.
constexpr std::size_t kMaxDocumentBytes = 700'000;
constexpr std::size_t kMaxHistoryBytes = 150'000;
constexpr std::size_t kMaxChangeBytes = 100'000;
static_assert(kMaxDocumentBytes + kMaxHistoryBytes + kMaxChangeBytes <
              platform::kLargestValueBytes);

struct StoredRecord
{
  core::Revision revision;
  ConfigurationRecord record;
};

absl::StatusOr<StoredRecord>
LoadRecord(platform::Store& aStore)
{
  const auto stored = aStore.Get(kConfigurationKey);
  if (!stored.ok()) {
    return core::MakeError(errors::kStoreUnavailable, stored.status().message());
  }
  StoredRecord loaded;
  if (stored->has_value()) {
    auto record = ParseRecord((*stored)->value);
    if (!record.ok()) {
      return record.status();
    }
    loaded.revision = (*stored)->revision;
    loaded.record = *std::move(record);
  }
  return loaded;
}

bool
Contains(const ConfigurationRecord& aRecord, const core::PatchId& aPatch)
{
  return std::any_of(aRecord.history.begin(),
                     aRecord.history.end(),
                     [&](const HistoryEntry& aEntry) { return aEntry.patch == aPatch; });
}

// The error text lists the current version and the changes since the base version of the patch.
absl::Status
MakeConflictError(const ConfigurationRecord& aRecord, const PatchSubmission& aSubmission)
{
  std::string text = "patch is based on version " + std::to_string(aSubmission.base.Number()) +
                     ", the current version is " + std::to_string(aRecord.version.Number());
  std::size_t listed = 0;
  for (const HistoryEntry& entry : aRecord.history) {
    if (entry.version > aSubmission.base && listed++ < kMaxChangesInError) {
      text += "; " + std::to_string(entry.version.Number()) + " by " + entry.author + ": " +
              entry.change.substr(0, kMaxChangeBytesInError);
    }
  }
  return core::MakeError(errors::kVersionConflict, text);
}

enum class PatchOutcome
{
  kAccepted,
  kRejected,
  /// The record does not show the outcome: the read was stale, the write is still in progress, or
  /// the entry has been archived.
  kUndetermined,
};

// A patch was certainly rejected only if another patch has the version that it would have got.
// Store reads may be stale, even older than the base version, so a record whose version differs
// from the base version proves nothing.
PatchOutcome
DetermineOutcome(const ConfigurationRecord& aRecord, const PatchSubmission& aSubmission)
{
  if (Contains(aRecord, aSubmission.patch)) {
    return PatchOutcome::kAccepted;
  }
  const core::ConfigVersion expectedVersion = aSubmission.base.Next();
  const bool versionTaken =
    std::any_of(aRecord.history.begin(), aRecord.history.end(), [&](const HistoryEntry& aEntry) {
      return aEntry.version == expectedVersion;
    });
  return versionTaken ? PatchOutcome::kRejected : PatchOutcome::kUndetermined;
}

// Reads the record until it shows whether the patch was accepted, at most kMaxOutcomeReads times.
absl::StatusOr<ConfigurationRecord>
ResolveOutcome(platform::Store& aStore, const PatchSubmission& aSubmission)
{
  for (int attempt = 0; attempt < kMaxOutcomeReads; ++attempt) {
    auto loaded = LoadRecord(aStore);
    if (!loaded.ok()) {
      continue;
    }
    switch (DetermineOutcome(loaded->record, aSubmission)) {
      case PatchOutcome::kAccepted:
        return std::move(loaded->record);
      case PatchOutcome::kRejected:
        return MakeConflictError(loaded->record, aSubmission);
      case PatchOutcome::kUndetermined:
        break;
    }
  }
  return core::MakeError(errors::kOutcomeUnknown,
                         aSubmission.patch.Text() + " against version " +
                           std::to_string(aSubmission.base.Number()));
}

bool
NeedsArchiving(const ConfigurationRecord& aRecord)
{
  return aRecord.history.size() > kMaxHistoryEntries ||
         FormatRecord(aRecord).size() > aRecord.document.size() + kMaxHistoryBytes;
}

// Moves the older half of the history to a store value of its own. The archive is written before
// the record, so a crash in between duplicates entries but loses none. Its key contains the first
// version, so a retry finds the archive of the earlier try and removes from the record the entries
// which that one contains.
absl::Status
ArchiveHistory(platform::Store& aStore, ConfigurationRecord& aRecord)
{
  ConfigurationRecord archive;
  const std::size_t archivedCount = (aRecord.history.size() + 1) / 2;
  archive.history.assign(aRecord.history.begin(),
                         aRecord.history.begin() + static_cast<std::ptrdiff_t>(archivedCount));
  archive.version = archive.history.back().version;
  const std::string key = ArchiveKey(archive.history.front().version);
  const auto written = aStore.CompareAndSwap(key, core::Revision(), FormatRecord(archive));
  if (!written.ok()) {
    const auto stored = aStore.Get(key);
    if (!stored.ok() || !stored->has_value()) {
      return core::MakeError(errors::kStoreUnavailable, written.status().message());
    }
    auto existing = ParseRecord((*stored)->value);
    if (!existing.ok()) {
      return existing.status();
    }
    archive.version = existing->version;
  }
  std::erase_if(aRecord.history,
                [&](const HistoryEntry& aEntry) { return aEntry.version <= archive.version; });
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<ConfigurationRecord>
ApplyPatch(const ConfigurationRecord& aRecord,
           const PatchSubmission& aSubmission,
           core::WallTime aNow)
{
  if (aRecord.version != aSubmission.base) {
    return MakeConflictError(aRecord, aSubmission);
  }
  const json change = json::parse(aSubmission.change, nullptr, false);
  if (!change.is_object()) {
    return core::MakeError(errors::kInvalid, "the patch is not a JSON object");
  }
  json document = json::parse(aRecord.document, nullptr, false);
  document.merge_patch(change);
  ConfigurationRecord next = aRecord;
  next.version = aRecord.version.Next();
  next.document = document.dump(-1, ' ', false, json::error_handler_t::replace);
  const auto validated = ParseConfiguration(next.version, next.document);
  if (!validated.ok()) {
    return validated.status();
  }
  const auto sinceEpoch =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow.time_since_epoch());
  next.history.push_back(
    { next.version, aSubmission.patch, aSubmission.author, sinceEpoch.count(), change.dump() });
  if (change.dump().size() > kMaxChangeBytes || next.document.size() > kMaxDocumentBytes) {
    return core::MakeError(errors::kTooLarge,
                           "patch or document is too large; limits in bytes: patch " +
                             std::to_string(kMaxChangeBytes) + ", document " +
                             std::to_string(kMaxDocumentBytes));
  }
  return next;
}

absl::StatusOr<ConfigurationRecord>
SubmitPatch(platform::Store& aStore, const PatchSubmission& aSubmission, const core::Clock& aClock)
{
  auto loaded = LoadRecord(aStore);
  if (!loaded.ok()) {
    return loaded.status();
  }
  if (loaded->record.version != aSubmission.base) {
    return ResolveOutcome(aStore, aSubmission);
  }
  while (NeedsArchiving(loaded->record)) {
    if (absl::Status archived = ArchiveHistory(aStore, loaded->record); !archived.ok()) {
      return archived;
    }
  }
  auto next = ApplyPatch(loaded->record, aSubmission, aClock.WallNow());
  if (!next.ok()) {
    return next.status();
  }
  const auto written =
    aStore.CompareAndSwap(kConfigurationKey, loaded->revision, FormatRecord(*next));
  if (written.ok()) {
    return next;
  }
  if (core::IsError(written.status(), platform::errors::kUnavailable)) {
    return core::MakeError(errors::kStoreUnavailable, written.status().message());
  }
  return ResolveOutcome(aStore, aSubmission);
}

} // namespace plantainslip::config
