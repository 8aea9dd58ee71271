#pragma once

#include "operator_client.hpp"

namespace plantainslip::ctl {

/// @brief Prints the configuration in the store: its version and document.
/// @return exit code, as of all commands
int
ShowConfiguration(const Settings& aSettings);

/// @brief Prints the newest patches: number, time, author and change.
int
ShowHistory(const Settings& aSettings);

/// @brief Prints what a patch changes, submits it and waits until it is in force.
int
SubmitPatch(const Settings& aSettings);

/// @brief Waits until a version is in force at every listed entry instance that is not leaving, and
///        tells who has it and who has not.
int
WaitForVersion(const Settings& aSettings);

} // namespace plantainslip::ctl
