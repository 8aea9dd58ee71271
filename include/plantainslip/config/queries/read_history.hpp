#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/config/record.hpp>
#include <plantainslip/platform/store.hpp>

namespace plantainslip::config {

/// @brief Prefix of the store keys of archived history.
inline constexpr const char* kArchivePrefix = "config/history/";

/// @brief Returns the store key of the archived history that starts with a version. Constant time.
std::string
ArchiveKey(core::ConfigVersion aFirst);

/// @brief Reads all accepted patches, archived ones included.
/// @param aStore  the platform's store
/// @return the patches, oldest first, without duplicates; or error 501 (config.invalid) or 503
///         (config.store_unavailable); two store calls, linear in the history's length
absl::StatusOr<std::vector<HistoryEntry>>
ReadHistory(platform::Store& aStore);

} // namespace plantainslip::config
