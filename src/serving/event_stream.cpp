#include <plantainslip/serving/event_stream.hpp>

#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace plantainslip::serving {

std::string
EventStream::ExtractComplete(std::string_view aBytes)
{
  this->partial.append(aBytes);
  const auto endOfLast = [&](std::string_view aSeparator) {
    const std::size_t found = this->partial.rfind(aSeparator);
    return found == std::string::npos ? 0 : found + aSeparator.size();
  };
  const std::size_t boundary = std::max(endOfLast("\n\n"), endOfLast("\r\n\r\n"));
  std::string completeEvents = this->partial.substr(0, boundary);
  this->partial.erase(0, boundary);
  for (absl::string_view line : absl::StrSplit(completeEvents, '\n')) {
    line = absl::StripSuffix(line, "\r");
    if (absl::ConsumePrefix(&line, "id:")) {
      this->lastEventId = std::string(absl::StripPrefix(line, " "));
    }
  }
  return completeEvents;
}

} // namespace plantainslip::serving
