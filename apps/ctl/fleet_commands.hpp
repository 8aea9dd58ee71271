#pragma once

#include "operator_client.hpp"

namespace plantainslip::ctl {

/// @brief Prints the engines and plain services as an entry instance sees them.
/// @return exit code, as of all commands
int
ShowTargets(const Settings& aSettings);

/// @brief Prints the entry instances and the version that each has in force.
int
ShowInstances(const Settings& aSettings);

/// @brief Prints the newest order to each engine.
int
ShowOrders(const Settings& aSettings);

/// @brief Takes work away from a target before it is replaced.
int
Drain(const Settings& aSettings);

} // namespace plantainslip::ctl
