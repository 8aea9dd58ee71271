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
  /// @brief Id that the operator's program generates once per patch, so that submitting it again
  ///        has no further effect.
  core::PatchId patch;
  /// @brief Version that the patch is based on.
  core::ConfigVersion base;
  std::string author;
  /// @brief JSON merge patch (RFC 7386).
  std::string change;
};

/// @brief Returns the record that results from applying a patch. No I/O.
/// @param aRecord  the current record
/// @param aSubmission  the patch
/// @param aNow  time of acceptance
/// @return the new record, or error 501 (config.invalid), 502 (config.version_conflict) or 505
///         (config.too_large); linear in the record's length
absl::StatusOr<ConfigurationRecord>
ApplyPatch(const ConfigurationRecord& aRecord,
           const PatchSubmission& aSubmission,
           core::WallTime aNow);

/// @brief Submits a patch. It is accepted once the store's compare-and-swap has succeeded. If the
///        store's response is lost, the outcome is found by looking up the patch id in the history.
/// @param aStore  the platform's store
/// @param aSubmission  the patch; submitting an accepted patch again has no effect and succeeds
/// @param aClock  clock for the time of acceptance
/// @return the record that contains the patch, or one of the errors 501 to 505
/// @note Two store calls if none fails and no history has to be archived.
absl::StatusOr<ConfigurationRecord>
SubmitPatch(platform::Store& aStore, const PatchSubmission& aSubmission, const core::Clock& aClock);

} // namespace plantainslip::config
