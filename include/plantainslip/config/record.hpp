#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/core/ids.hpp>

namespace plantainslip::config {

/// @brief Key of the store under which the configuration lies.
inline constexpr const char* kConfigurationKey = "config/current";

/// @brief One accepted patch.
struct HistoryEntry
{
  core::ConfigVersion version;
  core::PatchId patch;
  std::string author;
  /// @brief Calendar time of acceptance in milliseconds since 1970.
  std::int64_t acceptedAtMs = 0;
  /// @brief The JSON merge patch (RFC 7386) as it was submitted.
  std::string change;
};

/// @brief What the store holds under #kConfigurationKey.
struct ConfigurationRecord
{
  core::ConfigVersion version;
  /// @brief JSON text of the document.
  std::string document = "{}";
  /// @brief Newest patches, oldest first.
  std::vector<HistoryEntry> history;
};

/// @brief Reads a record. Linear in its length.
/// @return the record, or error 501 (config.invalid)
absl::StatusOr<ConfigurationRecord>
ParseRecord(const std::string& aText);

/// @brief Writes a record as ParseRecord() reads it. Linear in its length; no errors.
std::string
FormatRecord(const ConfigurationRecord& aRecord);

} // namespace plantainslip::config
