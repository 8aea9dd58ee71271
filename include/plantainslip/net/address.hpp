#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace plantainslip::net {

/// @brief IPv4 address and port of a process.
struct Address
{
  /// @brief IPv4 address in dotted form.
  std::string host;
  /// @brief TCP port.
  std::uint16_t port = 0;

  /// @brief Parses an address.
  /// @param aText  `a.b.c.d:port`, with a port of 1 to 65535
  /// @return the address, or error 201 (net.bad_address); linear in the length of the text
  static absl::StatusOr<Address> Parse(std::string_view aText);

  /// @brief Formats the address in the form that Parse() accepts.
  /// @return `a.b.c.d:port`
  std::string Text() const;

  /// @brief Orders addresses by host, then port.
  auto operator<=>(const Address&) const = default;
};

} // namespace plantainslip::net
