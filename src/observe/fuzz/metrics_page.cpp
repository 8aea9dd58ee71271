// Fuzz target: a page of metrics that the report reads.

#include <cstdint>
#include <cstdlib>
#include <string>

#include <plantainslip/observe/metrics_page.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aLength)
{
  const std::string text(aBytes, aBytes + aLength);
  (void)observe::ParseMetricsPage(text);
  return 0;
}
