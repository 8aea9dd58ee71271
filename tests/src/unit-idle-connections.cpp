#include <doctest/doctest.h>

#include <plantainslip/core/clock.hpp>

#include "attempt.hpp"
#include "spawn.hpp"
#include "target_wire.hpp"

using namespace plantainslip;          // NOLINT(google-build-using-namespace)
using namespace plantainslip::serving; // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

/// @brief Target that drops its first connection after one response: it resets what comes next.
class DroppingTarget
{
public:
  explicit DroppingTarget(asio::io_context& aContext)
    : acceptor(aContext, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
  {
    Spawn(aContext, "accept", [this] { return this->Accept(); });
  }

  Target Entry() const
  {
    Target target;
    target.id = core::TargetId("t1");
    target.service = core::ServiceName("desk");
    target.address = { "127.0.0.1", this->acceptor.local_endpoint().port() };
    return target;
  }

  int connections = 0;
  int requests = 0;

private:
  Task<void> Accept()
  {
    const auto executor = co_await asio::this_coro::executor;
    while (true) {
      ErrorCode error;
      auto socket = std::make_shared<Tcp::socket>(executor);
      co_await this->acceptor.async_accept(*socket, RedirectError(error));
      if (error) {
        co_return;
      }
      const bool drops = ++this->connections == 1;
      asio::co_spawn(executor, this->Serve(socket, drops), asio::detached);
    }
  }

  Task<void> Serve(std::shared_ptr<Tcp::socket> aSocket, bool aDrops)
  {
    static const std::string kResponse = "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
                                         "Keep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok";
    for (int served = 0;; ++served) {
      std::string request;
      ErrorCode error;
      const auto buffer = asio::dynamic_buffer(request);
      static const std::string kEnd = "\r\n\r\n";
      co_await asio::async_read_until(*aSocket, buffer, kEnd, RedirectError(error));
      if (error) {
        co_return;
      }
      ++this->requests;
      if (aDrops && served > 0) {
        aSocket->set_option(asio::socket_base::linger(true, 0), error);
        aSocket->close(error);
        co_return;
      }
      const auto response = asio::buffer(kResponse);
      co_await asio::async_write(*aSocket, response, RedirectError(error));
    }
  }

  Tcp::acceptor acceptor;
};

/// @brief Writer of an answer that is never begun.
class NoAnswer : public AnswerWriter
{
public:
  Task<bool> WriteWhole(int, HeaderList, std::string) override { co_return true; }
  Task<bool> BeginStream(int, HeaderList) override { co_return true; }
  Task<bool> WriteChunk(std::string) override { co_return true; }
  Task<bool> EndStream() override { co_return true; }
  void Abort() override {}
  bool HasStarted() const override { return false; }
  bool StreamsInChunks() const override { return true; }
};

/// @brief Sends two requests to a target, the second after the connection was idle for a time.
struct TwoRequests
{
  asio::io_context loop;
  DroppingTarget target{ loop };
  core::ManualClock clock;
  PathMetrics metrics;
  wire::TargetWire protocol;
  PoolOptions options{ .statedLifetime = 1min };
  ConnectionPool pool{ loop.get_executor(), options, clock };
  PathContext context{ loop.get_executor(), protocol, clock, pool, metrics, core::ZoneId("a") };
  CallerRequest caller{ "GET", "/x", "h", {}, "", {} };
  NoAnswer writer;
  Cancellation cancellation;
  Route route;
  AttemptState second = AttemptState::kNotSent;

  void Play(milliseconds aIdle)
  {
    auto fleet = std::make_shared<FleetSnapshot>();
    fleet->targets.emplace(this->target.Entry().id, this->target.Entry());
    this->context.fleet = fleet;
    this->context.retryOptions.maxBalance = 10.0;
    this->context.retryOptions.retriesPerRequest = 1.0;
    for (int request = 0; request < 20; ++request) {
      this->context.Budget(this->target.Entry().service).AddRequest();
    }
    Spawn(this->loop, "requests", [this, aIdle] { return this->Send(aIdle); });
    this->loop.run_for(200ms);
  }

private:
  Task<void> Send(milliseconds aIdle)
  {
    for (int index = 0; index < 2; ++index) {
      RequestInfo info;
      info.id = core::RequestId("r" + std::to_string(index));
      Service service;
      service.name = this->target.Entry().service;
      PathRequest request{ this->caller,
                           this->writer,
                           this->cancellation,
                           std::move(info),
                           this->route,
                           service,
                           this->clock.Now() + 10s,
                           {},
                           {} };
      AttemptCall call(this->context, request, this->target.Entry());
      const AttemptPlan plan;
      Attempt attempt = co_await call.SendAndReadHead(plan, 5s);
      this->second = attempt.state;
      if (attempt.state == AttemptState::kAnswered) {
        co_await call.ReadRemainingBody(attempt);
      }
      this->clock.Advance(aIdle);
    }
  }
};

} // namespace

// Guards against a failed request, and against one sent twice, where a target drops connections.
TEST_CASE("a request that is lost on an idle connection is sent again only if it may be repeated")
{
  TwoRequests play;
  SUBCASE("an idempotent request is sent again on a new connection")
  {
    play.route.kind = RequestKind::kIdempotent;
    play.Play(5s);
    CHECK(play.second == AttemptState::kAnswered);
    CHECK(play.target.requests == 3);
    CHECK(play.target.connections == 2);
  }
  SUBCASE("a resumable stream that has not begun is sent again")
  {
    play.route.kind = RequestKind::kStream;
    play.route.resumable = true;
    play.Play(5s);
    CHECK(play.target.requests == 3);
  }
  SUBCASE("a request that runs at most once uses a new connection after a while")
  {
    play.Play(2s);
    CHECK(play.second == AttemptState::kAnswered);
    CHECK(play.target.requests == 2);
    CHECK(play.target.connections == 2);
  }
  SUBCASE("a request that runs at most once is never sent again")
  {
    play.Play(500ms);
    CHECK(play.second == AttemptState::kUnknown);
    CHECK(play.target.requests == 2);
  }
  SUBCASE("no connection is reused in the last second that its target keeps it")
  {
    play.route.kind = RequestKind::kIdempotent;
    play.Play(9'500ms);
    CHECK(play.second == AttemptState::kAnswered);
    CHECK(play.target.requests == 2);
  }
}
