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

constexpr std::size_t kKeptHistoryEntries = 400;
constexpr int kLooksAfterLostAnswer = 3;
constexpr std::size_t kMostChangesTold = 10;
constexpr std::size_t kMostChangeBytesTold = 500;
// The document, the history that is not archived and one more patch have to fit into one value.
constexpr std::size_t kLargestDocumentBytes = 700'000;
constexpr std::size_t kLargestHistoryBytes = 150'000;
constexpr std::size_t kLargestChangeBytes = 100'000;
static_assert(kLargestDocumentBytes + kLargestHistoryBytes + kLargestChangeBytes <
              platform::kLargestValueBytes);

struct ReadRecord
{
  core::Revision revision;
  ConfigurationRecord record;
};

absl::StatusOr<ReadRecord>
Read(platform::Store& aStore)
{
  const auto stored = aStore.Get(kConfigurationKey);
  if (!stored.ok()) {
    return core::MakeError(errors::kStoreUnavailable, stored.status().message());
  }
  ReadRecord read;
  if (stored->has_value()) {
    auto record = ParseRecord((*stored)->value);
    if (!record.ok()) {
      return record.status();
    }
    read.revision = (*stored)->revision;
    read.record = *std::move(record);
  }
  return read;
}

bool
Contains(const ConfigurationRecord& aRecord, const core::PatchId& aPatch)
{
  return std::any_of(aRecord.history.begin(),
                     aRecord.history.end(),
                     [&](const HistoryEntry& aEntry) { return aEntry.patch == aPatch; });
}

// Tells the operator the present version and what others changed since the base.
absl::Status
Conflict(const ConfigurationRecord& aRecord, const PatchSubmission& aSubmission)
{
  std::string text = "made against version " + std::to_string(aSubmission.base.Number()) +
                     ", the present version is " + std::to_string(aRecord.version.Number());
  std::size_t told = 0;
  for (const HistoryEntry& entry : aRecord.history) {
    if (entry.version > aSubmission.base && told++ < kMostChangesTold) {
      text += "; " + std::to_string(entry.version.Number()) + " by " + entry.author + ": " +
              entry.change.substr(0, kMostChangeBytesTold);
    }
  }
  return core::MakeError(errors::kVersionConflict, text);
}

enum class Verdict
{
  kAccepted,
  kRefused,
  /// The reading does not show it: it lags, the write is still under way, or the history is short.
  kOpen,
};

// A patch is refused for certain only where another one has the version that it would have got. A
// reading may be older than the base, so a version that merely differs proves nothing.
Verdict
Judge(const ConfigurationRecord& aRecord, const PatchSubmission& aSubmission)
{
  if (Contains(aRecord, aSubmission.patch)) {
    return Verdict::kAccepted;
  }
  const core::ConfigVersion wanted = aSubmission.base.Next();
  const bool taken =
    std::any_of(aRecord.history.begin(), aRecord.history.end(), [&](const HistoryEntry& aEntry) {
      return aEntry.version == wanted;
    });
  return taken ? Verdict::kRefused : Verdict::kOpen;
}

// Looks until the store shows what became of a patch.
absl::StatusOr<ConfigurationRecord>
ResolveByLooking(platform::Store& aStore, const PatchSubmission& aSubmission)
{
  for (int look = 0; look < kLooksAfterLostAnswer; ++look) {
    auto read = Read(aStore);
    if (!read.ok()) {
      continue;
    }
    switch (Judge(read->record, aSubmission)) {
      case Verdict::kAccepted:
        return std::move(read->record);
      case Verdict::kRefused:
        return Conflict(read->record, aSubmission);
      case Verdict::kOpen:
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
  return aRecord.history.size() > kKeptHistoryEntries ||
         FormatRecord(aRecord).size() > aRecord.document.size() + kLargestHistoryBytes;
}

// Moves the older half of the history to a value of its own, which is written first: a crash in
// between leaves entries in both places and none lost. The name is the first version, so a second
// try finds the first one's value and takes its extent.
absl::Status
ArchiveHistory(platform::Store& aStore, ConfigurationRecord& aRecord)
{
  ConfigurationRecord archive;
  const std::size_t moved = (aRecord.history.size() + 1) / 2;
  archive.history.assign(aRecord.history.begin(),
                         aRecord.history.begin() + static_cast<std::ptrdiff_t>(moved));
  archive.version = archive.history.back().version;
  const std::string key = ArchiveKey(archive.history.front().version);
  const auto written = aStore.CompareAndSwap(key, core::Revision(), FormatRecord(archive));
  if (!written.ok()) {
    const auto stored = aStore.Get(key);
    if (!stored.ok() || !stored->has_value()) {
      return core::MakeError(errors::kStoreUnavailable, written.status().message());
    }
    auto earlier = ParseRecord((*stored)->value);
    if (!earlier.ok()) {
      return earlier.status();
    }
    archive.version = earlier->version;
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
    return Conflict(aRecord, aSubmission);
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
  const auto checked = ParseConfiguration(next.version, next.document);
  if (!checked.ok()) {
    return checked.status();
  }
  const auto sinceEpoch =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow.time_since_epoch());
  next.history.push_back(
    { next.version, aSubmission.patch, aSubmission.author, sinceEpoch.count(), change.dump() });
  if (change.dump().size() > kLargestChangeBytes || next.document.size() > kLargestDocumentBytes) {
    return core::MakeError(errors::kTooLarge,
                           "a patch has at most " + std::to_string(kLargestChangeBytes) +
                             " bytes, the document " + std::to_string(kLargestDocumentBytes));
  }
  return next;
}

absl::StatusOr<ConfigurationRecord>
SubmitPatch(platform::Store& aStore, const PatchSubmission& aSubmission, const core::Clock& aClock)
{
  auto read = Read(aStore);
  if (!read.ok()) {
    return read.status();
  }
  if (read->record.version != aSubmission.base) {
    return ResolveByLooking(aStore, aSubmission);
  }
  while (NeedsArchiving(read->record)) {
    if (absl::Status archived = ArchiveHistory(aStore, read->record); !archived.ok()) {
      return archived;
    }
  }
  auto next = ApplyPatch(read->record, aSubmission, aClock.WallNow());
  if (!next.ok()) {
    return next.status();
  }
  const auto written =
    aStore.CompareAndSwap(kConfigurationKey, read->revision, FormatRecord(*next));
  if (written.ok()) {
    return next;
  }
  if (core::IsError(written.status(), platform::errors::kUnavailable)) {
    return core::MakeError(errors::kStoreUnavailable, written.status().message());
  }
  return ResolveByLooking(aStore, aSubmission);
}

} // namespace plantainslip::config
