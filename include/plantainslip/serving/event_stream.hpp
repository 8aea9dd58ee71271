#pragma once

#include <string>
#include <string_view>

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

/// @brief Splits an event stream (`text/event-stream`) at event boundaries.
///
/// Guards against targets that fail in the middle of an event: only complete events are forwarded,
/// so the caller never gets part of one, and another target can continue the stream without a gap
/// or a duplicate.
class EventStream
{
public:
  /// @brief Max size of one event. Bytes without an event boundary beyond it are no event stream.
  static constexpr std::size_t kMaxEventBytes = 262'144;

  /// @brief Appends received bytes and extracts the events that are complete.
  /// @return the text of these events; empty if there are none. Linear in the received bytes and
  ///         the extracted ones.
  std::string ExtractComplete(std::string_view aBytes);

  /// @brief Returns the last event id among the extracted events; empty before the first.
  const std::string& LastEventId() const { return this->lastEventId; }

  /// @brief Discards the buffered beginning of an event that will not be completed.
  void DropPartial() { this->partial.clear(); }

  /// @brief Returns whether the buffered event is longer than #kMaxEventBytes.
  bool IsOversized() const { return this->partial.size() > kMaxEventBytes; }

  /// @brief Returns whether an incomplete event is buffered.
  bool HasPartial() const { return !this->partial.empty(); }

private:
  std::string partial;
  std::string lastEventId;
};

} // namespace plantainslip::serving
