// Fuzz target: parsing of the configuration record in the store. A parsed record has to be the same
// after serializing and parsing it again.

#include <cstdint>
#include <cstdlib>
#include <string>

#include <plantainslip/config/record.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aLength)
{
  const std::string text(aBytes, aBytes + aLength);
  const auto record = config::ParseRecord(text);
  if (!record.ok()) {
    return 0;
  }
  const std::string written = config::FormatRecord(*record);
  const auto again = config::ParseRecord(written);
  if (!again.ok() || config::FormatRecord(*again) != written) {
    std::abort();
  }
  return 0;
}
