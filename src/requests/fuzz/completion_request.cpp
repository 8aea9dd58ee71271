// Fuzz target: the body of a caller's completion request.

#include <cstdint>
#include <cstdlib>
#include <string>

#include <plantainslip/requests/completion_request.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aLength)
{
  const std::string text(aBytes, aBytes + aLength);
  const auto request = requests::ParseCompletionRequest(text);
  if (request.ok() && (request->prompt.empty() || request->deployment.Empty())) {
    std::abort();
  }
  return 0;
}
