#include <plantainslip/serving/event_stream.hpp>

#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace plantainslip::serving {

std::string
EventStream::Take(std::string_view aBytes)
{
  this->partial.append(aBytes);
  const auto edgeAfter = [&](std::string_view aEdge) {
    const std::size_t found = this->partial.rfind(aEdge);
    return found == std::string::npos ? 0 : found + aEdge.size();
  };
  const std::size_t edge = std::max(edgeAfter("\n\n"), edgeAfter("\r\n\r\n"));
  std::string whole = this->partial.substr(0, edge);
  this->partial.erase(0, edge);
  for (absl::string_view line : absl::StrSplit(whole, '\n')) {
    line = absl::StripSuffix(line, "\r");
    if (absl::ConsumePrefix(&line, "id:")) {
      this->lastEventId = std::string(absl::StripPrefix(line, " "));
    }
  }
  return whole;
}

} // namespace plantainslip::serving
