#pragma once

#include <string>

#include "address_check.hpp"

namespace plantainslip::apps {

/// @brief Check of a flag that names an instance, a zone or a target.
/// @param aText  value of the flag
/// @return empty if the value is 1 to 100 letters, digits, dots, dashes or underscores; otherwise
///         the message for the user
std::string
CheckName(const std::string& aText);

/// @brief Check of a flag that holds an IP number.
/// @return empty if the value is an IPv4 number, otherwise the message for the user
std::string
CheckIpNumber(const std::string& aText);

} // namespace plantainslip::apps
