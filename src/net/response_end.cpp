#include <plantainslip/net/response_end.hpp>

namespace plantainslip::net {

namespace {

/// Senders are told their time limit in whole milliseconds, and may stop that much early.
constexpr std::chrono::milliseconds kTimeLimitResolution{ 1 };

} // namespace

bool
IsValidStatus(int aStatus)
{
  constexpr int kFirst = 100;
  constexpr int kLast = 599;
  return aStatus >= kFirst && aStatus <= kLast;
}

bool
IsSuccess(int aStatus)
{
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirect = 300;
  return aStatus >= kFirstSuccess && aStatus < kFirstRedirect;
}

std::string_view
FramingName(BodyFraming aFraming)
{
  switch (aFraming) {
    case BodyFraming::kChunked:
      return "chunked";
    case BodyFraming::kConnectionEnd:
      return "connection_end";
    case BodyFraming::kLength:
      break;
  }
  return "length";
}

EndJudgement
JudgeEnd(const ResponseEnd& aEnd)
{
  const bool isEvents = aEnd.expectsEvents && IsSuccess(aEnd.status);
  if (isEvents && aEnd.events.hasForeign) {
    return EndJudgement::kForeignBytes;
  }
  if (isEvents && aEnd.events.insideEvent) {
    return EndJudgement::kInsideEvent;
  }
  if (aEnd.framing != BodyFraming::kConnectionEnd) {
    return EndJudgement::kWhole;
  }
  if (isEvents && !aEnd.events.hasEvent) {
    return EndJudgement::kBeforeFirstEvent;
  }
  if (!aEnd.requestSent) {
    return EndJudgement::kRequestNotSent;
  }
  if (aEnd.timeGiven.has_value() && aEnd.timeUsed + kTimeLimitResolution >= *aEnd.timeGiven) {
    return EndJudgement::kTimeOver;
  }
  switch (aEnd.sender) {
    case SenderState::kNotAsked:
      return EndJudgement::kAskSender;
    case SenderState::kRunning:
      return EndJudgement::kWhole;
    case SenderState::kUnconfirmed:
      break;
  }
  return EndJudgement::kSenderUnconfirmed;
}

std::string_view
Describe(EndJudgement aJudgement)
{
  switch (aJudgement) {
    case EndJudgement::kWhole:
      return "whole";
    case EndJudgement::kAskSender:
      return "not confirmed yet";
    case EndJudgement::kForeignBytes:
      return "bytes that belong to no event follow";
    case EndJudgement::kInsideEvent:
      return "it ended inside an event";
    case EndJudgement::kBeforeFirstEvent:
      return "it ended before its first event";
    case EndJudgement::kRequestNotSent:
      return "the connection was lost while the request was sent";
    case EndJudgement::kTimeOver:
      return "it ended when the target's time was over";
    case EndJudgement::kSenderUnconfirmed:
      break;
  }
  return "the target did not confirm that it is still running";
}

} // namespace plantainslip::net
