#include <plantainslip/net/address.hpp>

#include <charconv>

#include <arpa/inet.h>

#include <plantainslip/net/errors.hpp>

namespace plantainslip::net {

absl::StatusOr<Address>
Address::Parse(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  const auto badAddress = [&] { return core::MakeError(errors::kBadAddress, std::string(aText)); };
  if (colon == std::string_view::npos) {
    return badAddress();
  }
  Address address;
  address.host = std::string(aText.substr(0, colon));
  in_addr parsedHost{};
  if (inet_pton(AF_INET, address.host.c_str(), &parsedHost) != 1) {
    return badAddress();
  }
  const std::string_view port = aText.substr(colon + 1);
  const auto [rest, failure] =
    std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (failure != std::errc{} || rest != port.data() + port.size() || address.port == 0) {
    return badAddress();
  }
  return address;
}

std::string
Address::Text() const
{
  return this->host + ":" + std::to_string(this->port);
}

} // namespace plantainslip::net
