#include <doctest/doctest.h>

#include <chrono>
#include <set>
#include <string_view>

#include <plantainslip/net/response_end.hpp>

using namespace plantainslip::net;    // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals; // NOLINT(google-build-using-namespace)

namespace {

ResponseEnd
WholeStream(BodyFraming aFraming)
{
  ResponseEnd end;
  end.status = 200;
  end.framing = aFraming;
  end.expectsEvents = true;
  end.events.hasEvent = true;
  end.timeGiven = 1'000ms;
  end.timeUsed = 700ms;
  end.sender = SenderState::kRunning;
  return end;
}

constexpr BodyFraming kFramings[] = { BodyFraming::kLength,
                                      BodyFraming::kChunked,
                                      BodyFraming::kConnectionEnd };

} // namespace

TEST_CASE("a stream is whole only at the end of an event")
{
  for (const BodyFraming framing : kFramings) {
    CAPTURE(FramingName(framing));
    ResponseEnd end = WholeStream(framing);
    CHECK(JudgeEnd(end) == EndJudgement::kWhole);
    end.events.insideEvent = true;
    CHECK(JudgeEnd(end) == EndJudgement::kInsideEvent);
    end.events.hasForeign = true;
    CHECK(JudgeEnd(end) == EndJudgement::kForeignBytes);
  }
}

TEST_CASE("a failure need not consist of events")
{
  for (const BodyFraming framing : kFramings) {
    ResponseEnd end = WholeStream(framing);
    end.status = 500;
    end.events = { false, true, true };
    CHECK(JudgeEnd(end) == EndJudgement::kWhole);
  }
}

TEST_CASE("a response that nothing but its connection's end marks needs more evidence")
{
  ResponseEnd end = WholeStream(BodyFraming::kConnectionEnd);
  SUBCASE("an event")
  {
    end.events.hasEvent = false;
    CHECK(JudgeEnd(end) == EndJudgement::kBeforeFirstEvent);
    end.expectsEvents = false;
    CHECK(JudgeEnd(end) == EndJudgement::kWhole);
  }
  SUBCASE("a request that was sent")
  {
    end.requestSent = false;
    CHECK(JudgeEnd(end) == EndJudgement::kRequestNotSent);
  }
  SUBCASE("its sender's confirmation")
  {
    end.sender = SenderState::kNotAsked;
    CHECK(JudgeEnd(end) == EndJudgement::kAskSender);
    end.sender = SenderState::kUnconfirmed;
    CHECK(JudgeEnd(end) == EndJudgement::kSenderUnconfirmed);
  }
  SUBCASE("time that was left")
  {
    end.timeUsed = 998ms;
    CHECK(JudgeEnd(end) == EndJudgement::kWhole);
    for (const auto used : { 999ms, 1'000ms, 5'000ms }) {
      end.timeUsed = used;
      CHECK(JudgeEnd(end) == EndJudgement::kTimeOver);
    }
    end.timeGiven.reset();
    CHECK(JudgeEnd(end) == EndJudgement::kWhole);
  }
}

TEST_CASE("a length or a last chunk marks an end whatever else is known of its sender")
{
  for (const BodyFraming framing : { BodyFraming::kLength, BodyFraming::kChunked }) {
    ResponseEnd end = WholeStream(framing);
    end.requestSent = false;
    end.sender = SenderState::kNotAsked;
    end.timeUsed = 2'000ms;
    CHECK(JudgeEnd(end) == EndJudgement::kWhole);
  }
}

TEST_CASE("every judgement has a description of its own")
{
  std::set<std::string_view> descriptions;
  for (int value = 0; value <= static_cast<int>(EndJudgement::kSenderUnconfirmed); ++value) {
    descriptions.insert(Describe(static_cast<EndJudgement>(value)));
  }
  CHECK(descriptions.size() == static_cast<int>(EndJudgement::kSenderUnconfirmed) + 1);
}
