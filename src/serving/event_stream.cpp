#include <plantainslip/serving/event_stream.hpp>

#include <algorithm>

#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace plantainslip::serving {

bool
IsEventStream(const HeaderList& aHeaders)
{
  const std::string* const type = FindHeader(aHeaders, "Content-Type");
  return type != nullptr &&
         EqualIgnoringCase(type->substr(0, type->find_first_of("; ")), "text/event-stream");
}

bool
IsRelayedByEvent(RequestKind aKind,
                 int aStatus,
                 const HeaderList& aHeaders,
                 bool aEndsWithConnection)
{
  constexpr int kOk = 200;
  if (aStatus != kOk || IsEventStream(aHeaders)) {
    return aStatus == kOk;
  }
  const bool isUnmarked = FindHeader(aHeaders, "Content-Type") == nullptr || aEndsWithConnection;
  return aKind == RequestKind::kStream && isUnmarked;
}

std::string
EventStream::ExtractComplete(std::string_view aBytes)
{
  constexpr std::size_t kLongestSeparator = 4;
  // A boundary may have started in the bytes received before; older ones contain none.
  const std::size_t known = this->partial.size();
  const std::size_t searchFrom = known - std::min(known, kLongestSeparator - 1);
  this->partial.append(aBytes);
  const std::string_view searched = std::string_view(this->partial).substr(searchFrom);
  const auto endOfLast = [&](std::string_view aSeparator) {
    const std::size_t found = searched.rfind(aSeparator);
    return found == std::string_view::npos ? 0 : searchFrom + found + aSeparator.size();
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
