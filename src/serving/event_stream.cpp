#include <plantainslip/serving/event_stream.hpp>

#include <algorithm>
#include <utility>

#include <absl/strings/ascii.h>

namespace plantainslip::serving {

namespace {

std::string_view
StripReturn(std::string_view aLine)
{
  return aLine.ends_with('\r') ? aLine.substr(0, aLine.size() - 1) : aLine;
}

bool
IsDecimal(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), absl::ascii_isdigit);
}

// Returns whether an event id can follow another one in a stream, in which ids increase.
bool
IsLaterId(std::string_view aId, std::string_view aPrevious)
{
  if (!IsDecimal(aId) || !IsDecimal(aPrevious)) {
    return aId != aPrevious;
  }
  const auto skipZeros = [](std::string_view aDigits) {
    return aDigits.substr(std::min(aDigits.find_first_not_of('0'), aDigits.size()));
  };
  const std::string_view id = skipZeros(aId);
  const std::string_view previous = skipZeros(aPrevious);
  return id.size() != previous.size() ? id.size() > previous.size() : id > previous;
}

} // namespace

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

net::EventsRead
ReadEvents(std::string_view aBody)
{
  net::EventsRead read;
  bool isEvents = false;
  bool atBoundary = false;
  while (!aBody.empty()) {
    const std::size_t lineEnd = aBody.find('\n');
    const std::string_view line = StripReturn(aBody.substr(0, lineEnd));
    atBoundary = line.empty() && lineEnd != std::string_view::npos;
    isEvents = isEvents || line.starts_with("id:") || line.starts_with("data:");
    read.hasEvent = read.hasEvent || (isEvents && atBoundary);
    aBody.remove_prefix(std::min(aBody.size(), lineEnd) + (lineEnd < aBody.size() ? 1 : 0));
  }
  read.insideEvent = isEvents && !atBoundary;
  return read;
}

void
EventStream::BeginResponse()
{
  this->partial.clear();
  this->lineStart = 0;
  this->searchedUntil = 0;
  this->fields = {};
  this->hasEvent = false;
  this->foreign = false;
}

std::string
EventStream::ExtractComplete(std::string_view aBytes)
{
  this->partial.append(aBytes);
  std::size_t boundary = 0;
  while (!this->foreign) {
    const std::size_t lineEnd = this->partial.find('\n', this->searchedUntil);
    if (lineEnd == std::string::npos) {
      this->searchedUntil = this->partial.size();
      break;
    }
    const std::string_view line = StripReturn(
      std::string_view(this->partial).substr(this->lineStart, lineEnd - this->lineStart));
    this->lineStart = lineEnd + 1;
    this->searchedUntil = this->lineStart;
    if (!line.empty()) {
      this->ReadLine(line);
    } else if (this->EndEvent()) {
      boundary = this->lineStart;
    } else {
      this->foreign = true;
    }
  }
  std::string completeEvents = this->partial.substr(0, boundary);
  this->partial.erase(0, boundary);
  this->lineStart -= boundary;
  this->searchedUntil -= boundary;
  return completeEvents;
}

void
EventStream::ReadLine(std::string_view aLine)
{
  const std::size_t nameEnd = aLine.find(':');
  const std::string_view name = aLine.substr(0, nameEnd);
  const bool isComment = nameEnd == 0;
  if (name == "id") {
    const std::size_t valueStart = std::min(aLine.size(), name.size() + 1);
    const std::string_view value = aLine.substr(valueStart);
    this->fields.id = std::string(value.starts_with(' ') ? value.substr(1) : value);
  } else if (name == "data") {
    this->fields.hasData = true;
  } else if (!isComment && name != "event" && name != "retry") {
    this->fields.hasUnknown = true;
  }
}

bool
EventStream::EndEvent()
{
  const Fields ended = std::exchange(this->fields, {});
  if (ended.id.has_value()) {
    if (!this->lastEventId.empty() && !IsLaterId(*ended.id, this->lastEventId)) {
      return false;
    }
    this->lastEventId = *ended.id;
  }
  const bool isEvent = ended.id.has_value() || ended.hasData;
  this->hasEvent = this->hasEvent || isEvent;
  return isEvent || !ended.hasUnknown;
}

} // namespace plantainslip::serving
