// Fuzz target: parser of engine reports.

#include <cstdint>
#include <cstdlib>
#include <string>

#include <targets/engine_messages.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aLength)
{
  const std::string text(aBytes, aBytes + aLength);
  (void)targets::ParseEngineReport(text);
  return 0;
}
