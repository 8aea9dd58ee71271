#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/config/record.hpp>
#include <plantainslip/platform/store.hpp>

namespace plantainslip::config {

/// @brief Beginning of the keys under which older parts of the history lie.
inline constexpr const char* kArchivePrefix = "config/history/";

/// @brief Names the part of the history that begins with a version. Constant time.
std::string
ArchiveKey(core::ConfigVersion aFirst);

/// @brief Reads all accepted patches, archived ones included.
/// @param aStore  the platform's store
/// @return the patches, oldest first, each once; or error 501 (config.invalid) or 503
///         (config.store_unavailable); two store calls, linear in the history's length
absl::StatusOr<std::vector<HistoryEntry>>
ReadHistory(platform::Store& aStore);

} // namespace plantainslip::config
