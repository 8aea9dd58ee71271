#include <plantainslip/config/queries/read_history.hpp>

#include <map>

#include <plantainslip/config/errors.hpp>

namespace plantainslip::config {

namespace {

// Versions in keys are padded with zeros, so that keys sort by version.
constexpr std::size_t kArchiveKeyDigits = 12;

absl::Status
AddEntries(const std::string& aRecord, std::map<core::ConfigVersion, HistoryEntry>& aEntries)
{
  auto record = ParseRecord(aRecord);
  if (!record.ok()) {
    return record.status();
  }
  for (HistoryEntry& entry : record->history) {
    aEntries.emplace(entry.version, std::move(entry));
  }
  return absl::OkStatus();
}

} // namespace

std::string
ArchiveKey(core::ConfigVersion aFirst)
{
  const std::string digits = std::to_string(aFirst.Number());
  const std::size_t paddingLength = kArchiveKeyDigits - std::min(kArchiveKeyDigits, digits.size());
  return kArchivePrefix + std::string(paddingLength, '0') + digits;
}

absl::StatusOr<std::vector<HistoryEntry>>
ReadHistory(platform::Store& aStore)
{
  // The current record is read before the archive: entries that are archived between the two reads
  // are then read twice rather than missed, and duplicates are dropped below.
  const auto current = aStore.Get(kConfigurationKey);
  const auto archived = aStore.List(kArchivePrefix);
  if (!current.ok() || !archived.ok()) {
    const absl::Status& cause = current.ok() ? archived.status() : current.status();
    return core::MakeError(errors::kStoreUnavailable, cause.message());
  }
  std::vector<std::string> records;
  records.reserve(archived->size() + 1);
  if (current->has_value()) {
    records.push_back((*current)->value);
  }
  for (const platform::KeyedValue& value : *archived) {
    records.push_back(value.stored.value);
  }
  std::map<core::ConfigVersion, HistoryEntry> entries;
  for (const std::string& record : records) {
    if (absl::Status added = AddEntries(record, entries); !added.ok()) {
      return added;
    }
  }
  std::vector<HistoryEntry> history;
  history.reserve(entries.size());
  for (auto& [version, entry] : entries) {
    history.push_back(std::move(entry));
  }
  return history;
}

} // namespace plantainslip::config
