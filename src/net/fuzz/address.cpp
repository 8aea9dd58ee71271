// Fuzz target: parser of addresses. A parsed address survives formatting and parsing again.

#include <cstdint>
#include <cstdlib>
#include <string>

#include <plantainslip/net/address.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aLength)
{
  const std::string text(aBytes, aBytes + aLength);
  const auto address = net::Address::Parse(text);
  if (address.ok() && net::Address::Parse(address->Text()).value() != *address) {
    std::abort();
  }
  return 0;
}
