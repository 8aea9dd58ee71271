#pragma once

#include <string>
#include <string_view>

namespace plantainslip::serving {

/// @brief Cuts a stream of events (`text/event-stream`) at the edges of whole events.
///
/// Answers targets that stop in the middle of an event: what has not been forwarded can come from
/// another target without a piece missing or doubled.
class EventStream
{
public:
  /// @brief Takes bytes as they arrive.
  /// @return all whole events that are now at hand; empty if none. Linear in the bytes held.
  std::string Take(std::string_view aBytes);

  /// @brief Gives the id of the last whole event taken; empty before the first.
  const std::string& LastEventId() const { return this->lastEventId; }

  /// @brief Drops the beginning of an event whose rest will not come.
  void DropPartial() { this->partial.clear(); }

  /// @brief Tells whether the beginning of an event is held back.
  bool HasPartial() const { return !this->partial.empty(); }

private:
  std::string partial;
  std::string lastEventId;
};

} // namespace plantainslip::serving
