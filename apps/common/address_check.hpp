#pragma once

#include <string>

#include <plantainslip/net/address.hpp>

namespace plantainslip::apps {

/// @brief Check of a flag that holds an address.
/// @param aText  value of the flag
/// @return empty if the value is an address, otherwise the message for the user
inline std::string
CheckAddress(const std::string& aText)
{
  if (net::Address::Parse(aText).ok()) {
    return {};
  }
  return "'" + aText + "' is not of the form a.b.c.d:port with a port of 1 to 65535";
}

} // namespace plantainslip::apps
