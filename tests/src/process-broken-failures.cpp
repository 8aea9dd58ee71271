#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "harness/raw_target_fleet.hpp"

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using fakes::RawEnding;
using fakes::RawTarget;
using harness::CallerAnswer;
using harness::RawTargetFleet;

namespace {

const std::string kIds = "X-Request-Id: {id}\r\nX-Response-Seal: s\r\n";
const std::string kFailure = "HTTP/1.1 500 Internal Server Error\r\n" + kIds;
const std::string kSuccess = "HTTP/1.1 200 OK\r\n" + kIds;
const std::string kStreamHead = kSuccess + "Content-Type: text/event-stream\r\n";
const std::string kEvent = "id: 1\ndata: piece 1\n\n";

struct CutResponse
{
  std::string bytes;
  RawEnding ending = RawEnding::kClose;
};

// Responses that are no event streams and break off, in every framing.
std::vector<CutResponse>
CutResponses(const std::string& aHead)
{
  const std::string json = aHead + "Content-Type: application/json\r\n";
  return {
    { json + "Content-Length: 20\r\n\r\n{\"error\":", RawEnding::kClose },
    { json + "Content-Length: 20\r\n\r\n{\"error\":", RawEnding::kReset },
    { json + "Content-Length: 20\r\n\r\n", RawEnding::kClose },
    { json + "Transfer-Encoding: chunked\r\n\r\n9\r\n{\"error\":\r\n", RawEnding::kClose },
    { json + "\r\n{\"error\":", RawEnding::kReset },
    { json + "\r\n{\"error\":", RawEnding::kEndProcess },
  };
}

std::string
WholeStream()
{
  std::string stream;
  for (int number = 1; number <= 4; ++number) {
    const std::string text = std::to_string(number);
    stream.append("id: ").append(text).append("\ndata: piece ").append(text).append("\n\n");
  }
  return stream;
}

} // namespace

// Guards against one answer that consists of a target's failure and another target's stream.
TEST_CASE("a failure that breaks off on a resumable route is replaced, not continued")
{
  for (const std::string& head : { kFailure, kSuccess }) {
    for (const CutResponse& cut : CutResponses(head)) {
      CAPTURE(cut.bytes);
      CAPTURE(static_cast<int>(cut.ending));
      RawTargetFleet fleet("models", "decode", cut.bytes, cut.ending, "decode");
      const CallerAnswer answer = fleet.Complete("/note/x");
      CHECK(answer.status == 200);
      CHECK(answer.complete);
      CHECK(answer.body == WholeStream());
    }
  }
}

// Guards against a failure that breaks off and still bears its target's signature.
TEST_CASE("nothing of a failure that breaks off reaches the caller of an at-most-once stream")
{
  for (const std::string& head : { kFailure, kSuccess }) {
    for (const CutResponse& cut : CutResponses(head)) {
      CAPTURE(cut.bytes);
      CAPTURE(static_cast<int>(cut.ending));
      RawTargetFleet fleet("models", "decode", cut.bytes, cut.ending);
      const CallerAnswer answer = fleet.Complete("/quote/x");
      CHECK(answer.status == 502);
      CHECK(answer.head.find("X-Response-Seal") == std::string::npos);
      CHECK(fleet.target.CountRequests() == 1);
    }
  }
}

// Guards against failures that are changed, or retried although they are whole.
TEST_CASE("a whole failure is passed on as it is")
{
  for (const std::string path : { "/quote/x", "/note/x" }) {
    for (const std::string framing : { "Content-Length: 4\r\n\r\noops",
                                       "Transfer-Encoding: chunked\r\n\r\n4\r\noops\r\n0\r\n\r\n",
                                       "\r\noops" }) {
      CAPTURE(path);
      CAPTURE(framing);
      RawTargetFleet fleet("models", "decode", kFailure + framing, RawEnding::kClose);
      const CallerAnswer answer = fleet.Complete(path);
      CHECK(answer.status == 500);
      CHECK(answer.complete);
      CHECK(answer.body == "oops");
    }
  }
}

// Guards against a stream that is continued with a response that is none.
TEST_CASE("a stream that breaks off is continued only with an event stream")
{
  const std::string document = "{\"text\":\"a\\n\\n\"}\n\n";
  const std::string framing =
    "Content-Type: application/json\r\nConnection: close\r\nContent-Length: " +
    std::to_string(document.size()) + "\r\n\r\n";
  const std::string broken = kStreamHead + "\r\n" + kEvent + "id: 2\nda";
  for (std::string response : { kFailure, kSuccess }) {
    CAPTURE(response);
    response.append(framing).append(document);
    RawTarget other(response, RawEnding::kClose);
    RawTargetFleet fleet("models", "decode", broken, RawEnding::kClose, "", other.Address());
    harness::Await("the stream to be broken off and tried elsewhere", [&] {
      const int before = fleet.target.CountRequests();
      const CallerAnswer answer = fleet.Send("/note/x");
      const bool streamBegan = fleet.target.CountRequests() > before;
      CAPTURE(answer.status);
      CAPTURE(answer.body);
      CHECK((answer.status == 503 || answer.body == document || answer.body == kEvent));
      CHECK_FALSE((answer.body == kEvent && answer.complete));
      return streamBegan && other.CountRequests() > 0;
    });
  }
}

// Guards against events that come twice because a stream had no ids to continue after.
TEST_CASE("a stream without ids that breaks off is not begun again elsewhere")
{
  const std::string event = "data: piece 1\n\n";
  RawTargetFleet fleet(
    "models", "decode", kStreamHead + "\r\n" + event + "da", RawEnding::kClose, "decode");
  const CallerAnswer answer = fleet.Complete("/note/x");
  CHECK(answer.status == 200);
  CHECK_FALSE(answer.complete);
  CHECK(answer.body == event);
}
