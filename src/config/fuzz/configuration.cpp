// Fuzz target: parsing of an operator's configuration document.

#include <cstdint>
#include <cstdlib>
#include <string>

#include <plantainslip/config/configuration.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aLength)
{
  const std::string text(aBytes, aBytes + aLength);
  (void)config::ParseConfiguration(core::ConfigVersion(1), text);
  return 0;
}
