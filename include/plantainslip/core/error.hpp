#pragma once

#include <optional>
#include <string_view>

#include <absl/status/status.h>
#include <absl/strings/string_view.h>

namespace plantainslip::core {

/// @brief One documented error of one layer. All are listed in docs/ERRORS.md.
struct ErrorDescription
{
  /// @brief Number that never changes its meaning; its hundreds digit names the layer.
  int number;
  /// @brief Name on the wire and in logs, such as `platform.store_unavailable`.
  std::string_view name;
  /// @brief General kind of the failure.
  absl::StatusCode kind;
};

/// @brief Makes a status that carries the error's number and name.
/// @param aError  the documented error
/// @param aDetail  what happened, with the values concerned; never a secret
/// @return a status that is not OK; linear in the length of the detail
absl::Status
MakeError(const ErrorDescription& aError, absl::string_view aDetail);

/// @brief Tells whether a status carries one particular error.
/// @param aStatus  the status to look at
/// @param aError  the documented error
/// @return true if the status was made by MakeError() from this error; constant time
bool
IsError(const absl::Status& aStatus, const ErrorDescription& aError);

/// @brief Finds the number of the documented error that a status carries.
/// @param aStatus  the status to look at
/// @return the number, or nothing if the status is OK or carries none; constant time
std::optional<int>
ErrorNumber(const absl::Status& aStatus);

} // namespace plantainslip::core
