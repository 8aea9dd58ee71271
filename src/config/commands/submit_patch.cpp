#include <plantainslip/config/commands/submit_patch.hpp>

#include <algorithm>

#include <nlohmann/json.hpp>

#include <plantainslip/config/configuration.hpp>
#include <plantainslip/config/errors.hpp>
#include <plantainslip/platform/errors.hpp>

namespace plantainslip::config {

namespace {

using nlohmann::json;

constexpr std::size_t kKeptHistoryEntries = 400;
constexpr int kLooksAfterLostAnswer = 3;

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

absl::Status
Conflict(const ConfigurationRecord& aRecord, const PatchSubmission& aSubmission)
{
  return core::MakeError(errors::kVersionConflict,
                         "made against version " + std::to_string(aSubmission.base.Number()) +
                           ", the present version is " + std::to_string(aRecord.version.Number()));
}

// A write whose answer was lost may have taken effect: only the store can tell.
absl::StatusOr<ConfigurationRecord>
ResolveByLooking(platform::Store& aStore, const PatchSubmission& aSubmission)
{
  for (int look = 0; look < kLooksAfterLostAnswer; ++look) {
    auto read = Read(aStore);
    if (!read.ok()) {
      continue;
    }
    if (Contains(read->record, aSubmission.patch)) {
      return std::move(read->record);
    }
    if (read->record.version != aSubmission.base) {
      return Conflict(read->record, aSubmission);
    }
  }
  return core::MakeError(errors::kOutcomeUnknown, aSubmission.patch.Text());
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
  if (next.history.size() > kKeptHistoryEntries) {
    next.history.erase(next.history.begin());
  }
  if (FormatRecord(next).size() > platform::kLargestValueBytes) {
    return core::MakeError(errors::kTooLarge, "the document with its history is over a megabyte");
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
  if (Contains(read->record, aSubmission.patch)) {
    return std::move(read->record);
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
