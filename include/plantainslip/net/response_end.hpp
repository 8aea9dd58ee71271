#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace plantainslip::net {

/// @brief Returns whether a status is one of the protocol's classes (1xx to 5xx). A response with
///        another one is no answer.
bool
IsValidStatus(int aStatus);

/// @brief Returns whether a status means that the request succeeded (2xx).
bool
IsSuccess(int aStatus);

/// @brief How the end of a response's body is marked.
enum class BodyFraming
{
  /// @brief By a stated length, or there is no body.
  kLength,
  kChunked,
  /// @brief By nothing but the end of the connection.
  kConnectionEnd,
};

/// @brief Returns the name of a framing for the log.
std::string_view
FramingName(BodyFraming aFraming);

/// @brief What a body looks like if it is read as a series of events.
struct EventsRead
{
  /// @brief Whether at least one event is complete.
  bool hasEvent = false;
  /// @brief Whether the last event is incomplete.
  bool insideEvent = false;
  /// @brief Whether there are bytes that belong to no event of this response.
  bool hasForeign = false;
};

/// @brief Whether the sender of a response still runs, according to itself.
enum class SenderState
{
  kNotAsked,
  kRunning,
  /// @brief It did not answer, or another process did.
  kUnconfirmed,
};

/// @brief All that is known when the end of a response's body, as its framing marks it, was read.
struct ResponseEnd
{
  int status = 0;
  BodyFraming framing = BodyFraming::kLength;
  /// @brief Whether the whole request was sent. The kernel reports a reset once, so that after a
  ///        failed send the end of the connection may look clean.
  bool requestSent = true;
  /// @brief Whether a successful response consists of events.
  bool expectsEvents = false;
  EventsRead events;
  /// @brief Time limit that the sender was given, if any; it stops there.
  std::optional<std::chrono::nanoseconds> timeGiven;
  /// @brief Time from before the request was sent until the end was read.
  std::chrono::nanoseconds timeUsed{ 0 };
  SenderState sender = SenderState::kNotAsked;
};

/// @brief Why a response is whole or not.
enum class EndJudgement
{
  kWhole,
  /// @brief Whole if its sender confirms that it still runs; to be judged again afterwards.
  kAskSender,
  kForeignBytes,
  kInsideEvent,
  kBeforeFirstEvent,
  kRequestNotSent,
  kTimeOver,
  kSenderUnconfirmed,
};

/// @brief Decides whether a response is whole. Everything that completes an answer asks here.
///
/// An end that the sender marks, by a length or a last chunk, counts if it does not lie inside an
/// event. The end of a connection is marked by nobody: it also comes from a sender that crashes,
/// that stops at its time limit or that is cut off, so all of these have to be excluded.
EndJudgement
JudgeEnd(const ResponseEnd& aEnd);

/// @brief Returns a description of a judgement for the log.
std::string_view
Describe(EndJudgement aJudgement);

} // namespace plantainslip::net
