#include "response_relay.hpp"

#include <plantainslip/serving/errors.hpp>

#include "request_path.hpp"

namespace plantainslip::serving {

bool
ResponseRelay::RelaysEvents(const Attempt& aAttempt) const
{
  return IsRelayedByEvent(this->request.route.kind,
                          aAttempt.head.status,
                          aAttempt.head.headers,
                          aAttempt.head.framing == BodyFraming::kConnectionEnd);
}

void
ResponseRelay::RejectUnlessContinuing(Attempt& aAttempt) const
{
  const bool isContinuing = this->request.writer.HasStarted();
  if (isContinuing && aAttempt.state == AttemptState::kAnswered && !this->RelaysEvents(aAttempt)) {
    aAttempt.state = AttemptState::kUnknown;
    aAttempt.detail = "no event stream, status " + std::to_string(aAttempt.head.status);
  }
}

bool
ResponseRelay::IsContinuable() const
{
  // Without the id of the last event, another target would repeat what was forwarded.
  const Route& route = this->request.route;
  return route.resumable && route.kind != RequestKind::kAtMostOnce &&
         (!this->request.writer.HasStarted() || !this->events.LastEventId().empty());
}

Task<bool>
ResponseRelay::Forward(const Attempt& aAttempt, std::string aBytes)
{
  AnswerWriter& writer = this->request.writer;
  if (aBytes.empty()) {
    co_return true;
  }
  if (!writer.HasStarted()) {
    const auto timeToFirstChunk = this->context.clock.Now() - this->request.caller.arrival;
    this->request.timeToFirstChunk = std::chrono::duration_cast<milliseconds>(timeToFirstChunk);
    this->context.metrics.firstEvent.Record(timeToFirstChunk);
    this->onFirstChunk();
    HeaderList headers = ForwardedResponseHeaders(aAttempt.head.headers);
    const bool begun = co_await writer.BeginStream(aAttempt.head.status, std::move(headers));
    if (!begun) {
      co_return false;
    }
  }
  ++this->request.chunks;
  this->request.lastChunkAt = this->context.clock.Now();
  const bool written = co_await writer.WriteChunk(std::move(aBytes));
  co_return written;
}

Task<RelayOutcome>
ResponseRelay::RelayEvents(AttemptCall& aCall, Attempt& aAttempt)
{
  this->request.relay = kRelayedByEvent;
  aCall.ClearTimeLimit();
  this->events.BeginResponse();
  while (true) {
    std::string bytes;
    const absl::StatusOr<bool> more = co_await aCall.ReadSome(bytes);
    bytes = this->events.ExtractComplete(bytes);
    if (!bytes.empty()) {
      CountUsageOnce(this->context, this->request);
      aCall.RecordAnswer();
    }
    const bool forwarded = co_await this->Forward(aAttempt, std::move(bytes));
    if (!forwarded) {
      this->request.cancellation.Cancel(CancelReason::kCallerLeft);
      co_return RelayOutcome::kCallerGone;
    }
    absl::Status failure = more.status();
    if (more.ok() && this->events.IsOversized()) {
      failure = core::MakeError(errors::kBadAnswer, "an event is too large");
    } else if (more.ok() && (!*more || this->events.Read().hasForeign)) {
      failure = co_await aCall.CheckEnd(this->events.Read());
      if (failure.ok()) {
        aCall.ReturnConnection();
        co_return RelayOutcome::kWhole;
      }
    }
    if (!failure.ok()) {
      aAttempt.detail = "stream broke, " + std::string(failure.message());
      co_return RelayOutcome::kBroken;
    }
  }
}

Task<void>
ResponseRelay::Complete(const Attempt& aAttempt, std::string aBody)
{
  LogRequestEnd(this->context, this->request, aAttempt.head.status, "answered");
  if (this->request.writer.HasStarted()) {
    co_await this->request.writer.EndStream();
    co_return;
  }
  HeaderList headers = ForwardedResponseHeaders(aAttempt.head.headers);
  co_await this->request.writer.WriteWhole(
    aAttempt.head.status, std::move(headers), std::move(aBody));
}

} // namespace plantainslip::serving
