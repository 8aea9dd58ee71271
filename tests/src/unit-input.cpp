#include <doctest/doctest.h>

#include <future>
#include <thread>

#include <harness/child_process.hpp>
#include <harness/raw_connection.hpp>

#include <plantainslip/net/errors.hpp>
#include <plantainslip/net/http_client.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

TEST_CASE("a slow sender occupies a thread no longer than the request timeout")
{
  std::promise<absl::Status> read;
  net::HttpServerOptions options;
  options.threads = 2;
  options.requestTimeout = std::chrono::milliseconds(300);
  const auto server = net::HttpServer::Create(options, [&](net::HttpExchange& aExchange) {
    if (aExchange.Method() == "GET") {
      aExchange.Respond(200, "text/plain", "ok");
      return;
    }
    read.set_value(aExchange.ReadBody(1'000'000).status());
    aExchange.Respond(400, "text/plain", "");
  });
  REQUIRE(server.ok());
  auto ended = read.get_future();
  const harness::RawConnection slow((*server)->ListeningAddress());
  REQUIRE(slow.Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\n"));
  harness::Await("the server stops reading from the slow sender", [&] {
    slow.Send("x");
    return ended.wait_for(std::chrono::milliseconds(20)) == std::future_status::ready;
  });
  CHECK(core::IsError(ended.get(), net::errors::kBodyTruncated));

  net::HttpRequest other;
  const auto reply = net::CallHttp((*server)->ListeningAddress(), other);
  REQUIRE(reply.ok());
  CHECK(reply->status == 200);
}
