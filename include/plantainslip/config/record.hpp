#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/core/ids.hpp>

namespace plantainslip::config {

/// @brief Store key of the configuration record.
inline constexpr const char* kConfigurationKey = "config/current";

/// @brief History entry of one accepted patch.
struct HistoryEntry
{
  core::ConfigVersion version;
  core::PatchId patch;
  std::string author;
  /// @brief Wall-clock time of acceptance, in milliseconds since 1970-01-01 UTC.
  std::int64_t acceptedAtMs = 0;
  /// @brief The JSON merge patch (RFC 7386) as it was submitted.
  std::string change;
};

/// @brief Value stored under #kConfigurationKey: the current configuration and its newest history.
struct ConfigurationRecord
{
  core::ConfigVersion version;
  /// @brief JSON text of the configuration document.
  std::string document = "{}";
  /// @brief Newest patches in ascending order of version. Older ones are archived.
  std::vector<HistoryEntry> history;
};

/// @brief Parses a record. Linear in its length.
/// @return the record, or error 501 (config.invalid)
absl::StatusOr<ConfigurationRecord>
ParseRecord(const std::string& aText);

/// @brief Serializes a record in the format that ParseRecord() reads. Linear in its length; no
///        errors.
std::string
FormatRecord(const ConfigurationRecord& aRecord);

} // namespace plantainslip::config
