#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <plantainslip/net/response_end.hpp>
#include <plantainslip/serving/target_protocol.hpp>

namespace plantainslip::serving {

/// @brief Returns whether a response's media type is `text/event-stream`.
bool
IsEventStream(const HeaderList& aHeaders);

/// @brief Returns whether a response is relayed event by event as it arrives.
///
/// Only such a response can be continued by another target's response, and only such a response can
/// continue one. Any other is forwarded whole or not at all. On a route of streams, a success
/// without a media type counts as events, and so does one without a length or chunks, because only
/// its events show whether it is whole.
/// @param aEndsWithConnection  whether nothing but the end of the connection ends the response
bool
IsRelayedByEvent(RequestKind aKind,
                 int aStatus,
                 const HeaderList& aHeaders,
                 bool aEndsWithConnection);

/// @brief Returns what a whole body looks like if it is read as a series of events, whatever its
///        media type. A body without an event's field is none, and does not end inside one.
net::EventsRead
ReadEvents(std::string_view aBody);

/// @brief Splits an event stream (`text/event-stream`) at event boundaries.
///
/// Guards against targets that fail in the middle of an event: only complete events are forwarded,
/// so the caller never gets part of one, and another target can continue the stream without a gap
/// or a duplicate. Also guards against bytes that follow a stream without a length before its
/// connection ends, such as a late second response, and against a target that begins a stream again
/// instead of continuing it: nothing is extracted from there on.
class EventStream
{
public:
  /// @brief Max size of one event. Bytes without an event boundary beyond it are no event stream.
  static constexpr std::size_t kMaxEventBytes = 262'144;

  /// @brief Prepares for the first or the next response. Discards the beginning of an event that
  ///        the last one did not complete.
  void BeginResponse();

  /// @brief Appends received bytes and extracts the events that are complete.
  /// @return the text of these events; empty if there are none. Linear in the received bytes and
  ///         the extracted ones.
  std::string ExtractComplete(std::string_view aBytes);

  /// @brief Returns the last event id among the extracted events of all responses; empty before the
  ///        first.
  const std::string& LastEventId() const { return this->lastEventId; }

  /// @brief Returns what was read of the current response.
  net::EventsRead Read() const { return { this->hasEvent, !this->partial.empty(), this->foreign }; }

  /// @brief Returns whether the buffered event is longer than #kMaxEventBytes.
  bool IsOversized() const { return this->partial.size() > kMaxEventBytes; }

private:
  /// @brief Fields of the event that is being read.
  struct Fields
  {
    std::optional<std::string> id;
    bool hasData = false;
    bool hasUnknown = false;
  };

  void ReadLine(std::string_view aLine);
  /// @brief Returns whether the event that has ended belongs to the stream, and begins the next.
  bool EndEvent();

  /// @brief Bytes after the last extracted event.
  std::string partial;
  /// @brief Start of the first line of #partial without an end, and of what was not searched yet.
  std::size_t lineStart = 0;
  std::size_t searchedUntil = 0;
  Fields fields;
  std::string lastEventId;
  bool hasEvent = false;
  bool foreign = false;
};

} // namespace plantainslip::serving
