#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include <plantainslip/targets/plain_service.hpp>

#include "harness/raw_target_fleet.hpp"

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using fakes::RawEnding;
using fakes::RawTarget;
using harness::CallerAnswer;
using harness::RawTargetFleet;
using namespace std::chrono_literals;

namespace {

constexpr int kBadGateway = 502;

/// Status codes of three digits that are of no class of the protocol.
const std::vector<std::string> kInvalidStatuses = { "000", "001", "099", "600", "999" };

// One status of each end of the range is tried on every path.
std::vector<std::string>
PathsFor(const std::string& aStatus)
{
  const bool onAll = aStatus == "000" || aStatus == "600";
  return onAll ? std::vector<std::string>{ "/pay/x", "/look/x", "/brief/x", "/quote/x" }
               : std::vector<std::string>{ "/pay/x" };
}

std::string
AnswerWith(const std::string& aStatus, const std::string& aFraming)
{
  return "HTTP/1.1 " + aStatus + " X\r\nX-Request-Id: {id}\r\nX-Response-Seal: s\r\n" + aFraming +
         "\r\n";
}

} // namespace

// Guards against passing on a status that is none, and against waiting for the final response that
// would follow if it were an interim one.
TEST_CASE("a response with an invalid status is not passed on, and its request fails at once")
{
  for (const std::string& status : kInvalidStatuses) {
    for (const std::string framing : { "Content-Length: 4\r\n", "" }) {
      CAPTURE(status);
      CAPTURE(framing);
      for (const std::string& path : PathsFor(status)) {
        CAPTURE(path);
        const bool isEngine = path == "/quote/x";
        RawTargetFleet invalid(isEngine ? "models" : "desk",
                               isEngine ? "decode" : "",
                               AnswerWith(status, framing) + "body",
                               RawEnding::kClose);
        invalid.Complete(path);
        const auto sentAt = std::chrono::steady_clock::now();
        const CallerAnswer answer = invalid.Send(path);
        CHECK(answer.status == kBadGateway);
        CHECK(answer.head.find("X-Response-Seal") == std::string::npos);
        CHECK(std::chrono::steady_clock::now() - sentAt < 1s);
      }
    }
  }
}

TEST_CASE("the own interface does not take a response with an invalid status for a reply")
{
  for (const std::string& status : kInvalidStatuses) {
    CAPTURE(status);
    const RawTarget service(AnswerWith(status, "Content-Length: 4\r\n") + "body",
                            RawEnding::kClose);
    targets::ServiceCall request;
    request.request = core::RequestId("r1");
    request.method = "GET";
    request.path = "/x";
    request.timeout = 2s;
    CHECK_FALSE(targets::MakeHttpServiceClient()->Call(service.Address(), request).ok());
  }
}

// Guards against an answer that ends early because of the upload that it answers.
TEST_CASE("an early answer that is reset while its request is being sent does not look complete")
{
  // Larger than what the sockets buffer.
  const std::string body(4'100'000, 'x');
  for (const std::string framing :
       { "", "Content-Length: 40\r\n", "Transfer-Encoding: chunked\r\n" }) {
    for (const std::string path : { "/pay/x", "/look/x" }) {
      CAPTURE(framing);
      CAPTURE(path);
      const std::string part = framing.starts_with("Transfer") ? "9\r\nhalf an a\r\n" : "half an a";
      RawTargetFleet early("desk", "", AnswerWith("200", framing) + part, RawEnding::kResetUnread);
      early.fleet.Configure(4, "", 2 * body.size());
      const CallerAnswer answer = early.Complete(path, body);
      CHECK_FALSE((answer.status == 200 && answer.complete));
    }
  }
}
