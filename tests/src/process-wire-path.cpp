#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <thread>

#include "harness/raw_connection.hpp"
#include "harness/wire_fleet.hpp"

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using fakes::TargetBehavior;
using harness::Await;
using harness::CallerAnswer;
using harness::WireFleet;

namespace {

const std::string kCompleteStream = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
                                    "id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n";

std::string
HeaderValue(const fakes::ReceivedRequest& aRequest, const std::string& aName)
{
  const std::string* const found = serving::FindHeader(aRequest.headers, aName);
  return found == nullptr ? "" : *found;
}

std::size_t
CountRequests(const fakes::WireTarget& aTarget, const std::string& aId)
{
  const auto received = aTarget.Received();
  return static_cast<std::size_t>(std::count_if(
    received.begin(), received.end(), [&](const auto& aRequest) { return aRequest.id == aId; }));
}

/// A fleet with one engine per stage, one target of the plain service `desk` and one ready
/// instance.
struct ReadyFleet
{
  WireFleet fleet;
  fakes::WireTarget& prefill = this->fleet.AddTarget("i-p", "models", "prefill");
  fakes::WireTarget& decode = this->fleet.AddTarget("i-d", "models", "decode");
  fakes::WireTarget& desk = this->fleet.AddTarget("i-s", "desk", "");
  harness::ChildProcess* gateway = nullptr;

  ReadyFleet()
  {
    this->fleet.Configure(3);
    this->gateway = &this->fleet.StartGateway();
    this->fleet.AwaitServed("/look/x", 200);
  }

  CallerAnswer Complete(const std::string& aPath, const std::string& aId) const
  {
    return this->fleet.Call("POST", aPath, aId, WireFleet::CompletionHeaders(), "the prompt");
  }
};

// Waits until the instance uses both targets: the first one drains until the other one is used.
void
AwaitBothUsed(ReadyFleet& aReady,
              const fakes::WireTarget& aFirst,
              const fakes::WireTarget& aOther,
              const std::string& aService,
              const std::string& aStage)
{
  int request = 0;
  const auto awaitUse = [&](const fakes::WireTarget& aTarget) {
    Await("target " + aTarget.Id() + " to be used", [&] {
      const std::string id = "both-" + std::to_string(++request);
      if (aService == "desk") {
        aReady.fleet.Call("GET", "/look/x", id);
      } else {
        aReady.Complete("/note/x", id);
      }
      return CountRequests(aTarget, id) == 1;
    });
  };
  aReady.fleet.WriteEntry(aFirst, aService, aStage, "draining");
  awaitUse(aOther);
  aReady.fleet.WriteEntry(aFirst, aService, aStage);
  awaitUse(aFirst);
}

} // namespace

TEST_CASE("a completion is prefilled by one engine and decoded by another")
{
  ReadyFleet ready;
  const CallerAnswer answer = ready.Complete("/quote/x?y=1", "r1");
  CHECK(answer.status == 200);
  CHECK(answer.complete);
  CHECK(answer.body == kCompleteStream);
  CHECK(answer.head.find("X-Response-Seal: seal-i-d\r\n") != std::string::npos);
  REQUIRE(CountRequests(ready.prefill, "r1") == 1);
  REQUIRE(CountRequests(ready.decode, "r1") == 1);
  const auto prefillRequest = ready.prefill.Received().back();
  CHECK(prefillRequest.path == "/quote/x?y=1");
  CHECK(prefillRequest.body == "the prompt");
  CHECK(HeaderValue(prefillRequest, "X-Serving-Stage") == "prefill");
  CHECK(HeaderValue(prefillRequest, "X-Expect-Instance") == "i-p");
  const auto decodeRequest = ready.decode.Received().back();
  CHECK(HeaderValue(decodeRequest, "X-Kv-Source") == ready.prefill.Address().Text() + "/h1");
  CHECK(HeaderValue(decodeRequest, "X-Model-Id") == "m");
  CHECK(std::stoi(HeaderValue(decodeRequest, "X-Deadline-Ms")) <= 5'000);
}

TEST_CASE("a decode engine reads the prompt itself if the cache handle is gone")
{
  ReadyFleet ready;
  ready.decode.SetBehaviors({ TargetBehavior::kShed });
  const CallerAnswer answer = ready.Complete("/quote/x", "r1");
  CHECK(answer.body == kCompleteStream);
  CHECK(answer.complete);
  REQUIRE(CountRequests(ready.decode, "r1") == 2);
  CHECK(HeaderValue(ready.decode.Received().back(), "X-Kv-Source").empty());
}

TEST_CASE("an engine that states that it is not the requested target")
{
  ReadyFleet ready;
  fakes::WireTarget& other = ready.fleet.AddTarget("i-d2", "models", "decode");
  AwaitBothUsed(ready, ready.decode, other, "models", "decode");
  ready.decode.SetBehaviors({ TargetBehavior::kMisdirected });
  SUBCASE(
    "is replaced by another engine, which fetches the cache, if the route allows two attempts")
  {
    const CallerAnswer answer = ready.Complete("/note/x", "r1");
    CHECK(answer.body == kCompleteStream);
    REQUIRE(CountRequests(other, "r1") == 1);
    CHECK_FALSE(HeaderValue(other.Received().back(), "X-Kv-Source").empty());
    CHECK(CountRequests(ready.decode, "r1") == 1);
  }
  SUBCASE("is not retried if the route allows one attempt")
  {
    const CallerAnswer answer = ready.Complete("/quote/x", "r1");
    CHECK(answer.status == 503);
    CHECK(CountRequests(ready.decode, "r1") == 1);
    CHECK(CountRequests(other, "r1") == 0);
  }
}

TEST_CASE("a prompt that its engine sheds is refused as not run, with Retry-After")
{
  ReadyFleet ready;
  ready.prefill.SetBehaviors({ TargetBehavior::kShed });
  const CallerAnswer answer = ready.Complete("/quote/x", "r1");
  CHECK(answer.status == 503);
  CHECK(answer.head.find("Retry-After: ") != std::string::npos);
  CHECK(CountRequests(ready.decode, "r1") == 0);
}

TEST_CASE("a broken stream")
{
  ReadyFleet ready;
  fakes::WireTarget& other = ready.fleet.AddTarget("i-d2", "models", "decode");
  AwaitBothUsed(ready, ready.decode, other, "models", "decode");
  ready.decode.SetBehaviors({ TargetBehavior::kBreak });
  SUBCASE("resumes at another engine after the last complete event if the route allows it")
  {
    const CallerAnswer answer = ready.Complete("/note/x", "r1");
    CHECK(answer.complete);
    CHECK(answer.body == kCompleteStream);
    CHECK(answer.head.find("X-Response-Seal: seal-i-d\r\n") != std::string::npos);
    REQUIRE(CountRequests(other, "r1") == 1);
    CHECK(HeaderValue(other.Received().back(), "Last-Event-Id") == "1");
  }
  SUBCASE("is not ended as complete if the other engine fails")
  {
    other.SetBehaviors({ TargetBehavior::kFail });
    const CallerAnswer answer = ready.Complete("/note/x", "r1");
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.complete);
    CHECK(answer.body.find("failed") == std::string::npos);
    CHECK(CountRequests(other, "r1") == 1);
  }
  SUBCASE("is neither retried nor ended as complete if the route does not allow it")
  {
    const CallerAnswer answer = ready.Complete("/quote/x", "r1");
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.complete);
    CHECK(CountRequests(ready.decode, "r1") == 1);
    CHECK(CountRequests(other, "r1") == 0);
  }
}

TEST_CASE("an at-most-once call")
{
  ReadyFleet ready;
  fakes::WireTarget& other = ready.fleet.AddTarget("i-s2", "desk", "");
  const auto sent = [&] { return CountRequests(ready.desk, "r1") + CountRequests(other, "r1"); };
  SUBCASE("is not retried when its response is lost")
  {
    ready.desk.SetBehaviors({ TargetBehavior::kDrop });
    other.SetBehaviors({ TargetBehavior::kDrop });
    const CallerAnswer answer = ready.fleet.Call("POST", "/pay/x", "r1", "", "coins");
    CHECK(answer.status == 502);
    CHECK(sent() == 1);
  }
  SUBCASE("is refused as not run when its target states that it has not run")
  {
    ready.desk.SetBehaviors({ TargetBehavior::kShed });
    other.SetBehaviors({ TargetBehavior::kShed });
    const CallerAnswer answer = ready.fleet.Call("POST", "/pay/x", "r1", "", "coins");
    CHECK(answer.status == 503);
    CHECK(sent() == 1);
  }
}

TEST_CASE("an idempotent call is retried at another target when the first one fails")
{
  ReadyFleet ready;
  fakes::WireTarget& other = ready.fleet.AddTarget("i-s2", "desk", "");
  AwaitBothUsed(ready, ready.desk, other, "desk", "");
  ready.desk.SetBehaviors({ TargetBehavior::kDrop });
  const CallerAnswer answer = ready.fleet.Call("GET", "/look/x", "r1");
  CHECK(answer.status == 200);
  CHECK(answer.body == "answer of i-s2");
  CHECK(CountRequests(ready.desk, "r1") == 1);
  CHECK(CountRequests(other, "r1") == 1);
}

TEST_CASE("the call to a target is cancelled when the caller disconnects")
{
  ReadyFleet ready;
  ready.desk.SetBehaviors({ TargetBehavior::kHold });
  {
    const harness::RawConnection caller(ready.fleet.Callers());
    caller.Send("POST /pay/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\n"
                "X-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n");
    Await("the target to get the request", [&] { return CountRequests(ready.desk, "r1") == 1; });
  }
  Await("the target to see the disconnect", [&] { return ready.desk.CountAbandoned() == 1; });
}

TEST_CASE("header fields reserved for the system are not forwarded")
{
  ReadyFleet ready;
  const CallerAnswer answer = ready.fleet.Call(
    "GET", "/look/x", "r1", "X-Kv-Hold: h\r\nKv-Fetch: 1.2.3.4:5\r\nX-Other: kept\r\n");
  CHECK(answer.status == 200);
  const auto received = ready.desk.Received().back();
  CHECK(HeaderValue(received, "X-Kv-Hold").empty());
  CHECK(HeaderValue(received, "Kv-Fetch").empty());
  CHECK(HeaderValue(received, "X-Other") == "kept");
}

TEST_CASE("an instance is ready only once it has a configuration and targets")
{
  WireFleet fleet;
  fleet.StartGateway(false);
  Await("the instance to answer that it is not ready", [&] { return fleet.Readiness() == 503; });
  CHECK(fleet.Call("GET", "/look/x", "r1").status == 503);
  fleet.AddTarget("i-s", "desk", "");
  fleet.Configure(3);
  Await("the gateway to be ready", [&] { return fleet.Readiness() == 200; });
  fleet.AwaitServed("/look/x", 200);
  fleet.AwaitServed("/none/x", 404);
}

TEST_CASE("store values that cannot be parsed do not affect other changes")
{
  ReadyFleet ready;
  ready.fleet.Store().Put("servers/i-odd", "not json");
  ready.fleet.Store().Put("op/config", "not json either");
  fakes::WireTarget& next = ready.fleet.AddTarget("i-s2", "desk", "");
  int request = 0;
  Await("the next target to be used", [&] {
    const std::string id = "l" + std::to_string(++request);
    CHECK(ready.fleet.Call("GET", "/look/x", id).status == 200);
    ready.fleet.WriteEntry(ready.desk, "desk", "", "draining");
    return CountRequests(next, id) == 1;
  });
}

TEST_CASE("a draining target gets no new requests")
{
  ReadyFleet ready;
  fakes::WireTarget& next = ready.fleet.AddTarget("i-s2", "desk", "");
  ready.fleet.WriteEntry(ready.desk, "desk", "", "draining");
  int request = 0;
  Await("the draining target to get no more requests", [&] {
    const std::string id = "l" + std::to_string(++request);
    ready.fleet.Call("GET", "/look/x", id);
    return CountRequests(next, id) == 1 && request > 3;
  });
  const std::size_t before = ready.desk.Received().size();
  for (int later = 0; later < 20; ++later) {
    CHECK(ready.fleet.Call("GET", "/look/x", "later-" + std::to_string(later)).status == 200);
  }
  CHECK(ready.desk.Received().size() == before);
}

TEST_CASE("the full state is read again if the store has dropped changes from its history")
{
  ReadyFleet ready;
  ready.fleet.Store().SetMode(fakes::WireStore::Mode::kRefusing);
  fakes::WireTarget& next = ready.fleet.AddTarget("i-s2", "desk", "");
  ready.fleet.Store().Remove("servers/i-s");
  ready.fleet.Store().CompactHistory();
  ready.fleet.Store().SetMode(fakes::WireStore::Mode::kAvailable);
  int request = 0;
  Await("the target that was added in the gap to be used", [&] {
    const std::string id = "l" + std::to_string(++request);
    ready.fleet.Call("GET", "/look/x", id);
    return CountRequests(next, id) == 1;
  });
}

TEST_CASE("requests are served while the store is silent, and unknown routes get 503, not 404")
{
  ReadyFleet ready;
  ready.fleet.Store().SetMode(fakes::WireStore::Mode::kSilent);
  CHECK(ready.fleet.Call("GET", "/look/x", "r1").status == 200);
  ready.fleet.AwaitServed("/none/x", 503);
  CHECK(ready.fleet.Call("GET", "/look/x", "r2").status == 200);
  ready.fleet.Store().SetMode(fakes::WireStore::Mode::kAvailable);
  ready.fleet.AwaitServed("/none/x", 404);
}

TEST_CASE("a series of changes costs few calls to the store")
{
  ReadyFleet ready;
  const std::size_t before = ready.fleet.Store().CountWatches("servers/");
  constexpr int kChanges = 60;
  for (int change = 0; change < kChanges; ++change) {
    ready.fleet.Store().Put("servers/i-odd-" + std::to_string(change), "{}");
    // A call between two changes, so that they are not delivered together.
    CHECK(ready.fleet.Call("GET", "/look/x", "c" + std::to_string(change)).status == 200);
  }
  fakes::WireTarget& next = ready.fleet.AddTarget("i-s2", "desk", "");
  AwaitBothUsed(ready, ready.desk, next, "desk", "");
  // 10 allows for the other changes of this test and for slow machines; one per change would be 60.
  CHECK(ready.fleet.Store().CountWatches("servers/") - before <= 10);
}

TEST_CASE("an instance that receives store changes from its peers")
{
  WireFleet fleet;
  fakes::WireTarget& desk = fleet.AddTarget("i-s", "desk", "");
  fleet.Configure(3);
  for (int instance = 0; instance < 3; ++instance) {
    fleet.StartGateway();
  }
  // Repeats changes until a peer has delivered one: peers are discovered some time after the start.
  std::uint64_t version = 3;
  Await("a change from a peer", [&] {
    fleet.Configure(++version);
    return fleet.Metrics().find("store_changes_total{kind=\"peer\"}") != std::string::npos;
  });
  SUBCASE("learns of added and draining targets")
  {
    fakes::WireTarget& next = fleet.AddTarget("i-s2", "desk", "");
    fleet.WriteEntry(desk, "desk", "", "draining");
    int request = 0;
    Await("the next target to be used", [&] {
      const std::string id = "r" + std::to_string(++request);
      CHECK(fleet.Call("GET", "/look/x", id).status == 200);
      return CountRequests(next, id) == 1;
    });
  }
  SUBCASE("watches the store itself when its peers are gone")
  {
    fleet.Gateway(0).Signal(SIGKILL);
    fleet.Gateway(1).Signal(SIGKILL);
    fakes::WireTarget& next = fleet.AddTarget("i-s2", "desk", "");
    fleet.WriteEntry(desk, "desk", "", "draining");
    int request = 0;
    Await("the next target to be used", [&] {
      const std::string id = "r" + std::to_string(++request);
      fleet.Call("GET", "/look/x", id);
      return CountRequests(next, id) == 1;
    });
  }
  SUBCASE("answers unknown routes with 404, and with 503 while the store refuses calls")
  {
    fleet.AwaitServed("/none/x", 404);
    fleet.Store().SetMode(fakes::WireStore::Mode::kRefusing);
    fleet.AwaitServed("/none/x", 503);
    CHECK(fleet.Call("GET", "/look/x", "r1").status == 200);
  }
}

TEST_CASE("the lease holder orders one of two engines into the missing stage, with a fencing token")
{
  WireFleet fleet;
  fakes::WireTarget& first = fleet.AddTarget("i-1", "models", "decode");
  fakes::WireTarget& second = fleet.AddTarget("i-2", "models", "decode");
  fleet.Configure(3);
  fleet.StartGateway();
  Await("an order", [&] { return first.Orders().size() + second.Orders().size() > 0; });
  CHECK(first.Orders().size() + second.Orders().size() == 1);
  const std::string order =
    first.Orders().empty() ? second.Orders().front() : first.Orders().front();
  CHECK(order.find("\"operation\":\"stage\"") != std::string::npos);
  CHECK(order.find("\"stage\":\"prefill\"") != std::string::npos);
  CHECK(order.find("\"precondition\":0") != std::string::npos);
  CHECK(order.find("\"fencingToken\":") != std::string::npos);
  CHECK(fleet.Store().Get("plantainslip/leader") == "one-0");
}

TEST_CASE("an engine that refuses to report gets no order, and the lease holder goes on")
{
  WireFleet fleet;
  fakes::WireTarget& first = fleet.AddTarget("i-1", "models", "decode");
  fakes::WireTarget& second = fleet.AddTarget("i-2", "models", "decode");
  first.SetReportStatus(503);
  second.SetReportStatus(503);
  fleet.AddTarget("i-s", "desk", "");
  fleet.Configure(3);
  fleet.StartGateway();
  Await("a report request", [&] { return first.CountReports() + second.CountReports() > 0; });
  fleet.AwaitServed("/look/x", 200);
  CHECK(fleet.Readiness() == 200);
  CHECK(first.Orders().empty());
  CHECK(second.Orders().empty());
}

TEST_CASE("a lease holder that was paused sends no order once another instance holds the lease")
{
  WireFleet fleet;
  fakes::WireTarget& first = fleet.AddTarget("i-1", "models", "prefill");
  fakes::WireTarget& second = fleet.AddTarget("i-2", "models", "decode");
  fleet.Configure(3);
  fleet.StartGateway();
  Await("the first instance to hold the lease",
        [&] { return fleet.Store().Get("plantainslip/leader") == "one-0"; });
  fleet.StartGateway();
  fleet.Gateway(0).Signal(SIGSTOP);
  fleet.Gateway(0).AwaitStopped();
  // The store removes the key at the end of the lease; the pause is longer than the lease.
  fleet.Store().Remove("plantainslip/leader");
  Await("the second instance to hold the lease",
        [&] { return fleet.Store().Get("plantainslip/leader") == "one-1"; });
  fleet.WriteEntry(first, "models", "decode");
  const auto orders = [&] {
    auto all = first.Orders();
    const auto others = second.Orders();
    all.insert(all.end(), others.begin(), others.end());
    return all;
  };
  Await("an order of the second instance", [&] { return !orders().empty(); });
  fleet.Gateway(0).Signal(SIGCONT);
  // Longer than the interval at which a lease holder plans.
  std::this_thread::sleep_for(std::chrono::milliseconds(2'500));
  for (const std::string& order : orders()) {
    CHECK(order.find("\"holder\":\"one-1\"") != std::string::npos);
  }
  CHECK(fleet.Store().Get("plantainslip/leader") == "one-1");
}

TEST_CASE("a stopping instance finishes open requests and closes its connections")
{
  ReadyFleet ready;
  ready.desk.SetBehaviors({ TargetBehavior::kHold });
  const harness::RawConnection caller(ready.fleet.Callers());
  caller.Send("POST /pay/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\n"
              "X-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n");
  Await("the target to get the request", [&] { return CountRequests(ready.desk, "r1") == 1; });
  ready.gateway->Signal(SIGTERM);
  Await("the gateway to report that it is not ready",
        [&] { return ready.fleet.Readiness() == 503; });
  CHECK(ready.fleet.Call("GET", "/look/x", "r2").status == 200);
  ready.desk.Release();
  const CallerAnswer answer = harness::ParseAnswer(caller.ReadToEnd());
  CHECK(answer.status == 200);
  CHECK(answer.complete);
  CHECK(answer.head.find("Connection: close") != std::string::npos);
  CHECK(ready.gateway->WaitForExit() == 0);
}

TEST_CASE("malformed and oversized requests are refused and reach no target")
{
  ReadyFleet ready;
  const std::size_t before = ready.desk.Received().size();
  const auto answerTo = [&](const std::string& aBytes) {
    const harness::RawConnection caller(ready.fleet.Callers());
    caller.Send(aBytes);
    return harness::ParseAnswer(caller.ReadToEnd()).status;
  };
  const std::string start = "POST /pay/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\n";
  CHECK(answerTo("nonsense\r\n\r\n") == 400);
  CHECK(answerTo(start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
        400);
  CHECK(answerTo(start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd") == 400);
  CHECK(answerTo(start + "Content-Length: 99999999\r\n\r\n") == 413);
  CHECK(answerTo(start + "X-Long: " + std::string(20'000, 'x') + "\r\n\r\n") == 431);
  CHECK(ready.desk.Received().size() == before);
}
