#pragma once

#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/config/record.hpp>
#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/platform/store.hpp>

namespace plantainslip::config {

/// @brief A patch that an operator submits.
struct PatchSubmission
{
  /// @brief Made by the operator's program once for each patch, so that it may be sent again.
  core::PatchId patch;
  /// @brief Version that the operator looked at.
  core::ConfigVersion base;
  std::string author;
  /// @brief JSON merge patch (RFC 7386).
  std::string change;
};

/// @brief Makes the record that follows when a patch is applied. No I/O.
/// @param aRecord  the present record
/// @param aSubmission  the patch
/// @param aNow  time of acceptance
/// @return the next record, or error 501 (config.invalid), 502 (config.version_conflict) or 505
///         (config.too_large); linear in the record's length
absl::StatusOr<ConfigurationRecord>
ApplyPatch(const ConfigurationRecord& aRecord,
           const PatchSubmission& aSubmission,
           core::WallTime aNow);

/// @brief Submits a patch. Accepted only after the store's compare-and-swap succeeded; an answer
///        that is lost is resolved by looking for the patch's id.
/// @param aStore  the platform's store
/// @param aSubmission  the patch; submitting an accepted one again gives its version
/// @param aClock  source of the time of acceptance
/// @return the record with the patch in it, or errors 501 to 505
/// @note Two store calls when nothing fails.
absl::StatusOr<ConfigurationRecord>
SubmitPatch(platform::Store& aStore, const PatchSubmission& aSubmission, const core::Clock& aClock);

} // namespace plantainslip::config
