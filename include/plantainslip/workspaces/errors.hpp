#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the workspaces' keys, numbers 1701 to 1749.
namespace plantainslip::workspaces::errors {

/// @brief The workspaces of a configuration contradict each other or have unusable names or keys.
///        Example: one key in two workspaces.
inline constexpr core::ErrorDescription kBadWorkspaces{ 1701,
                                                        "workspaces.bad_workspaces",
                                                        absl::StatusCode::kInvalidArgument };

} // namespace plantainslip::workspaces::errors
