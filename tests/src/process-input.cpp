#include <doctest/doctest.h>

#include <harness/raw_connection.hpp>
#include <harness/small_fleet.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr const char* kCompletions = "/v1/completions";

net::HttpReply
Post(const harness::ChildProcess& aEntry,
     const std::string& aTarget,
     const std::string& aBody,
     const std::vector<net::Header>& aHeaders = {})
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = aTarget;
  request.body = aBody;
  request.headers = aHeaders;
  request.timeout = std::chrono::seconds(20);
  return net::CallHttp(aEntry.ListeningAddress(), request).value_or(net::HttpReply{});
}

std::string
Head(const std::string& aFields)
{
  return std::string("POST ") + kCompletions + " HTTP/1.1\r\nHost: x\r\n" + aFields + "\r\n";
}

void
CheckRefused(const net::HttpReply& aReply, int aStatus, const std::string& aWord)
{
  CHECK(aReply.status == aStatus);
  const json problem = json::parse(aReply.body, nullptr, false);
  REQUIRE(problem.is_object());
  CHECK(problem["outcome"] == "not_run");
  CHECK_MESSAGE(problem["detail"].get<std::string>().find(aWord) != std::string::npos, aReply.body);
}

} // namespace

TEST_CASE("an entry instance refuses invalid input, stays healthy and loses no request")
{
  harness::SmallFleet fleet;
  auto& entry = fleet.AddEntry("entry-1", "a");

  SUBCASE("a body of the wrong type is refused with the field's name")
  {
    CheckRefused(Post(entry, kCompletions, R"({"model":"m","prompt":7})"), 400, "prompt");
    CheckRefused(Post(entry, kCompletions, R"({"model":"m","prompt":"p","max_tokens":"x"})"),
                 400,
                 "max_tokens");
    CheckRefused(Post(entry, kCompletions, R"([1])"), 400, "object");
    CheckRefused(Post(entry, kCompletions, ""), 400, "bad_request");
  }

  SUBCASE("invalid UTF-8 is refused")
  {
    CheckRefused(Post(entry, kCompletions, "{\"model\":\"m\xFF\",\"prompt\":\"p\"}"), 400, "JSON");
  }

  SUBCASE("deep nesting is refused for callers and operators")
  {
    const std::string deep(400'000, '[');
    CheckRefused(Post(entry, kCompletions, deep), 400, "bad_request");
    const std::string closed = std::string(200'000, '[') + std::string(200'000, ']');
    CheckRefused(Post(entry, kCompletions, R"({"model":)" + closed + "}"), 400, "bad_request");
    CheckRefused(Post(entry,
                      "/v1/operator/patches",
                      R"({"patch":"p","base":0,"author":"a","change":{"x":)" + closed + "}}",
                      { { "Authorization", std::string("Bearer ") + harness::kOperatorKey } }),
                 400,
                 "nested");
  }

  SUBCASE("a body with too many values is refused")
  {
    std::string many = R"({"model":"m","prompt":"p","x":[0)";
    for (int value = 0; value < 200'000; ++value) {
      many += ",0";
    }
    CheckRefused(Post(entry, kCompletions, many + "]}"), 400, "values");
  }

  SUBCASE("a body with too large a Content-Length is refused before it is sent")
  {
    const harness::RawConnection connection(entry.ListeningAddress());
    REQUIRE(connection.Send(Head("Content-Length: 9000000\r\n")));
    CHECK(connection.ReadFirstLine().find("413") != std::string::npos);
  }

  SUBCASE("a truncated body is refused")
  {
    const harness::RawConnection connection(entry.ListeningAddress());
    REQUIRE(connection.Send(Head("Content-Length: 100\r\n") + "{\"model\":"));
    connection.FinishSending();
    CHECK(connection.ReadFirstLine().find("400") != std::string::npos);
  }

  SUBCASE("a truncated chunked body is refused, even if its bytes form a complete request")
  {
    const std::string body = R"({"model":"m","prompt":"p"})";
    const harness::RawConnection connection(entry.ListeningAddress());
    REQUIRE(connection.Send(Head("Transfer-Encoding: chunked\r\n") + "1a\r\n" + body + "\r\n"));
    connection.FinishSending();
    CHECK(connection.ReadFirstLine().find("400") != std::string::npos);
  }

  SUBCASE("bytes that are not HTTP are refused")
  {
    const harness::RawConnection connection(entry.ListeningAddress());
    REQUIRE(connection.Send(std::string("\x16\x03\x01\x00\xFF nothing\r\n\r\n", 16)));
    connection.FinishSending();
    const std::string answer = connection.ReadToEnd();
    CHECK(answer.find("200 OK") == std::string::npos);
  }

  SUBCASE("an oversized header is refused")
  {
    const harness::RawConnection connection(entry.ListeningAddress());
    connection.Send(Head("X-Long: " + std::string(100'000, 'x') + "\r\n"));
    connection.FinishSending();
    CHECK(connection.ReadToEnd().find("200 OK") == std::string::npos);
  }

  SUBCASE("unknown fields are ignored")
  {
    const auto reply =
      Post(entry, kCompletions, R"({"model":"m","prompt":"p","logit_bias":{"1":2},"n":1})");
    CHECK(reply.status != 400);
    CHECK(reply.status != 0);
  }

  CHECK(harness::Send(entry, "GET", "/healthz").status == 200);
  // The caller receives its answer shortly before the request is counted as ended.
  harness::Await("every request has ended", [&] {
    const std::string metrics = harness::Send(entry, "GET", "/metrics").body;
    return metrics.find("plantainslip_requests_open 0\n") != std::string::npos &&
           metrics.find("plantainslip_requests_lost_total 0\n") != std::string::npos;
  });
}
