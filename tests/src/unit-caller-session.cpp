#include <doctest/doctest.h>

#include <thread>

#include "harness/raw_connection.hpp"

#include <plantainslip/core/clock.hpp>

#include "http_listener.hpp"

using namespace plantainslip;          // NOLINT(google-build-using-namespace)
using namespace plantainslip::serving; // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

const std::string kRequest = "GET /one HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kTimedOut = "HTTP/1.1 408 Request Timeout\r\n";
/// Handlers that the event loop runs at most between the arrival of a request and its handler.
constexpr int kMaxSteps = 16;

/// @brief A listener and one connection to it, on an event loop that the test moves by hand.
class ListenerRig
{
public:
  explicit ListenerRig(const CallerLimits& aLimits = {})
    : listener(*HttpListener::Open(
        this->context,
        net::Address{ "127.0.0.1", 0 },
        this->clock,
        [this](const CallerRequest& aRequest, AnswerWriter& aWriter, Cancellation& aCancellation) {
          return this->Serve(aRequest, aWriter, aCancellation);
        }))
  {
    this->listener->SetLimits(aLimits);
    this->connection.emplace(this->listener->LocalAddress());
  }

  void RunFor(std::chrono::milliseconds aDuration) { this->context.run_for(aDuration); }

  /// @brief Ends the connection from the caller's side and returns all that came on it.
  std::string ReadAnswers()
  {
    this->connection->FinishSending();
    this->RunFor(20ms);
    return this->connection->ReadToEnd();
  }

  void RunSteps(int aCount)
  {
    for (int step = 0; step < aCount; ++step) {
      this->context.poll_one();
    }
  }

  asio::io_context context;
  core::SystemClock clock;
  int started = 0;
  int cancelled = 0;
  std::unique_ptr<HttpListener> listener;
  std::optional<harness::RawConnection> connection;

private:
  Task<void> Serve(const CallerRequest&, AnswerWriter& aWriter, Cancellation& aCancellation)
  {
    ++this->started;
    co_await SleepFor(2ms);
    this->cancelled += aCancellation.Reason().has_value() ? 1 : 0;
    HeaderList headers;
    std::string body = "done";
    co_await aWriter.WriteWhole(200, std::move(headers), std::move(body));
  }
};

int
CountAnswers(const std::string& aBytes)
{
  int count = 0;
  for (std::size_t at = aBytes.find(kOk); at != std::string::npos; at = aBytes.find(kOk, at + 1)) {
    ++count;
  }
  return count;
}

} // namespace

// Guards against requests that are passed on and never answered because a stopping instance has
// closed their connection after their bytes were read.
TEST_CASE("closing idle connections spares each request that is then served")
{
  const auto countServed = [](bool aIsKept) {
    int served = 0;
    for (int steps = 0; steps <= kMaxSteps; ++steps) {
      CAPTURE(steps);
      ListenerRig rig;
      if (aIsKept) {
        rig.connection->Send(kRequest);
        rig.RunFor(20ms);
        REQUIRE(rig.started == 1);
      }
      const int before = rig.started;
      rig.connection->Send(kRequest);
      rig.RunSteps(steps);
      rig.listener->CloseIdle();
      rig.RunFor(20ms);
      CHECK(rig.cancelled == 0);
      served += rig.started - before;
      CHECK(CountAnswers(rig.ReadAnswers()) == rig.started);
    }
    return served;
  };
  SUBCASE("on a new connection")
  {
    CHECK(countServed(false) > 0);
  }
  SUBCASE("on a kept connection")
  {
    CHECK(countServed(true) > 0);
  }
}

// Guards against requests that are reset unread although they had arrived before the close.
TEST_CASE("a connection whose request has arrived is not idle")
{
  ListenerRig rig;
  rig.connection->Send(kRequest);
  rig.RunFor(20ms);
  REQUIRE(rig.started == 1);
  CHECK(rig.listener->CountBusy() == 0);
  rig.connection->Send(kRequest);
  CHECK(rig.listener->CountBusy() == 1);
  rig.listener->CloseIdle();
  rig.RunFor(20ms);
  CHECK(rig.started == 2);
  CHECK(CountAnswers(rig.ReadAnswers()) == 2);
}

// Guards against answers that are lost to a reset because the process ends, or the connection is
// closed, while unread bytes of the caller are still discarded.
TEST_CASE("a connection is busy until its caller has closed it after the last answer")
{
  ListenerRig rig;
  rig.listener->BeginDrain();
  rig.connection->Send(kRequest);
  rig.RunFor(20ms);
  CHECK(rig.listener->CountBusy() == 1);
  rig.listener->CloseIdle();
  CHECK(rig.listener->CountBusy() == 1);
  rig.connection->Send(kRequest);
  rig.listener->CloseIdle();
  rig.RunFor(5ms);
  rig.connection->FinishSending();
  rig.RunFor(20ms);
  CHECK(rig.listener->CountBusy() == 0);
  CHECK(rig.started == 1);
  CHECK(rig.connection->ReadToEnd().starts_with(kOk));
  CHECK_FALSE(rig.connection->WasReset());
}

// Guards against requests that are passed on after the limit on their body has closed the
// connection.
TEST_CASE("a body that arrives as its time ends is served or refused")
{
  CallerLimits limits;
  limits.idleTimeout = 15ms;
  int served = 0;
  int refused = 0;
  for (int steps = 0; steps <= kMaxSteps; ++steps) {
    CAPTURE(steps);
    ListenerRig rig(limits);
    rig.connection->Send("POST /one HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nbo");
    rig.RunFor(5ms);
    rig.connection->Send("dy");
    rig.RunSteps(steps);
    // The rest and the end of the time come while the event loop is held up.
    rig.connection->Send("rest");
    std::this_thread::sleep_for(15ms);
    rig.RunFor(20ms);
    CHECK(rig.cancelled == 0);
    served += rig.started;
    refused += 1 - rig.started;
    CHECK(rig.ReadAnswers().starts_with(rig.started == 1 ? kOk : kTimedOut));
  }
  CHECK(served + refused == kMaxSteps + 1);
}

// Guards against connections that are kept without limit because the limit ended as bytes arrived.
TEST_CASE("a head or body that stays incomplete is refused at the end of its time")
{
  CallerLimits limits;
  limits.idleTimeout = 15ms;
  limits.headerTimeout = 15ms;
  std::string begin;
  SUBCASE("in the head")
  {
    begin = "POST /one HTTP/1.1\r\nHo";
  }
  SUBCASE("in the body")
  {
    begin = "POST /one HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nb";
  }
  ListenerRig rig(limits);
  rig.connection->Send(begin);
  rig.RunFor(5ms);
  rig.connection->Send(begin.starts_with("POST /one HTTP/1.1\r\nHost") ? "o" : "s");
  std::this_thread::sleep_for(15ms);
  rig.RunFor(20ms);
  CHECK(rig.started == 0);
  CHECK(rig.ReadAnswers().starts_with(kTimedOut));
}

// Guards against a listener that waits for connections for ever after it was closed.
TEST_CASE("a listener that is closed while a connection arrives ends")
{
  for (int steps = 0; steps <= kMaxSteps; ++steps) {
    CAPTURE(steps);
    ListenerRig rig;
    rig.RunSteps(steps);
    asio::post(rig.context, [&] { rig.listener->Close(); });
    rig.connection->FinishSending();
    rig.RunFor(1s);
    CHECK(rig.context.stopped());
  }
}
