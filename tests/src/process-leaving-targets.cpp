#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

#include "harness/wire_fleet.hpp"

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using fakes::TargetBehavior;
using fakes::WireTarget;
using harness::CallerAnswer;
using harness::WireFleet;
using namespace std::chrono_literals;

namespace {

/// One instance in front of two targets of each kind, whose directory entries stay `ready`.
class ReadyFleet
{
public:
  ReadyFleet()
  {
    this->fleet.Configure(3);
    this->fleet.StartGateway();
    this->fleet.AwaitServed("/look/x", 200);
  }

  CallerAnswer Send(const std::string& aPath)
  {
    const std::string id = "r" + std::to_string(++this->requests);
    const bool isCompletion = aPath == "/quote/x" || aPath == "/note/x";
    return isCompletion
             ? this->fleet.Call("POST", aPath, id, WireFleet::CompletionHeaders(), "the prompt")
             : this->fleet.Call("GET", aPath, id);
  }

  /// Sends requests until a target has received one; fails after 40.
  CallerAnswer SendUntilReceived(const WireTarget& aTarget, const std::string& aPath)
  {
    const std::size_t before = aTarget.Received().size();
    for (int request = 0; request < 40; ++request) {
      CallerAnswer answer = this->Send(aPath);
      if (aTarget.Received().size() > before) {
        return answer;
      }
    }
    FAIL("no request reached the target");
    return {};
  }

  /// Returns whether a target gets none of the next requests, which must all be served.
  bool GetsNone(const WireTarget& aTarget, const std::string& aPath)
  {
    const std::size_t before = aTarget.Received().size();
    for (int request = 0; request < 12; ++request) {
      CHECK(this->Send(aPath).status == 200);
    }
    return aTarget.Received().size() == before;
  }

  /// Returns the one of two targets that received more requests.
  static WireTarget& Busier(WireTarget& aFirst, WireTarget& aSecond)
  {
    return aFirst.Received().size() >= aSecond.Received().size() ? aFirst : aSecond;
  }

  WireFleet fleet;
  WireTarget& prefillA = this->fleet.AddTarget("i-p0", "models", "prefill");
  WireTarget& prefillB = this->fleet.AddTarget("i-p1", "models", "prefill");
  WireTarget& decodeA = this->fleet.AddTarget("i-d0", "models", "decode");
  WireTarget& decodeB = this->fleet.AddTarget("i-d1", "models", "decode");
  WireTarget& deskA = this->fleet.AddTarget("i-s0", "desk", "");
  WireTarget& deskB = this->fleet.AddTarget("i-s1", "desk", "");

private:
  int requests = 0;
};

// Returns the value of the field `Retry-After`; zero without one.
double
RetryAfterSeconds(const CallerAnswer& aAnswer)
{
  const std::string name = "Retry-After: ";
  const std::size_t at = aAnswer.head.find(name);
  return at == std::string::npos ? 0.0 : std::stod(aAnswer.head.substr(at + name.size()));
}

} // namespace

TEST_CASE("a target that states that it is leaving gets no more requests, whatever the store says")
{
  ReadyFleet ready;
  for (const char* path : { "/quote/x", "/note/x", "/look/x", "/pay/x" }) {
    ready.Send(path);
  }
  SUBCASE("a target of a plain service")
  {
    ready.deskA.SetLeaving(true);
    ready.SendUntilReceived(ready.deskA, "/look/x");
    CHECK(ready.GetsNone(ready.deskA, "/look/x"));
    CHECK(ready.GetsNone(ready.deskA, "/pay/x"));
  }
  SUBCASE("an engine that prefills")
  {
    WireTarget& engine = ReadyFleet::Busier(ready.prefillA, ready.prefillB);
    engine.SetLeaving(true);
    ready.SendUntilReceived(engine, "/quote/x");
    CHECK(ready.GetsNone(engine, "/quote/x"));
    CHECK(ready.GetsNone(engine, "/note/x"));
  }
  SUBCASE("an engine that decodes")
  {
    ready.decodeA.SetLeaving(true);
    ready.SendUntilReceived(ready.decodeA, "/quote/x");
    CHECK(ready.GetsNone(ready.decodeA, "/quote/x"));
    CHECK(ready.GetsNone(ready.decodeA, "/note/x"));
  }
  SUBCASE("an engine that refuses a handle is not asked to read the prompt itself")
  {
    ready.decodeA.SetLeaving(true);
    ready.decodeA.SetBehaviors({ TargetBehavior::kShed });
    ready.SendUntilReceived(ready.decodeA, "/note/x");
    CHECK(ready.decodeA.Received().back().path == "/note/x");
    CHECK(ready.GetsNone(ready.decodeA, "/note/x"));
  }
  SUBCASE("a target that refuses the request")
  {
    ready.deskA.SetLeaving(true);
    ready.deskA.SetBehaviors({ TargetBehavior::kShed });
    CHECK(ready.SendUntilReceived(ready.deskA, "/look/x").status == 200);
    CHECK(ready.GetsNone(ready.deskA, "/look/x"));
  }
  SUBCASE("a stream that breaks is resumed elsewhere")
  {
    ready.decodeA.SetLeaving(true);
    ready.decodeA.SetBehaviors({ TargetBehavior::kBreak });
    CHECK(ready.SendUntilReceived(ready.decodeA, "/note/x").complete);
    CHECK(ready.GetsNone(ready.decodeA, "/note/x"));
  }
}

TEST_CASE("an instance learns from its peers which targets state that they are leaving")
{
  ReadyFleet ready;
  const net::Address first = ready.fleet.Callers();
  ready.fleet.StartGateway();
  ready.fleet.AwaitServed("/look/x", 200);
  ready.deskA.SetLeaving(true);
  const std::size_t before = ready.deskA.Received().size();
  for (int request = 0; request < 40 && ready.deskA.Received().size() == before; ++request) {
    ready.fleet.CallAt(first, "GET", "/look/x", "f" + std::to_string(request));
  }
  REQUIRE(ready.deskA.Received().size() == before + 1);
  // Several message intervals.
  std::this_thread::sleep_for(1'500ms);
  CHECK(ready.GetsNone(ready.deskA, "/look/x"));
}

TEST_CASE("a target that refuses with Retry-After gets no more requests until then")
{
  ReadyFleet ready;
  SUBCASE("while another target takes them, and then again")
  {
    ready.deskA.SetRetryAfter("2.5");
    ready.deskA.SetBehaviors({ TargetBehavior::kShed });
    CHECK(ready.SendUntilReceived(ready.deskA, "/look/x").status == 200);
    const auto refusedAt = std::chrono::steady_clock::now();
    CHECK(ready.GetsNone(ready.deskA, "/look/x"));
    CHECK(ready.GetsNone(ready.deskA, "/pay/x"));
    std::this_thread::sleep_until(refusedAt + 2'600ms);
    ready.SendUntilReceived(ready.deskA, "/look/x");
  }
  SUBCASE("and callers are told to come back then if no other target is left")
  {
    ready.deskA.SetRetryAfter("30");
    ready.deskB.SetRetryAfter("40");
    ready.deskA.SetBehaviors({ TargetBehavior::kShed });
    ready.deskB.SetBehaviors({ TargetBehavior::kShed });
    CHECK(ready.Send("/look/x").status == 503);
    const std::size_t received = ready.deskA.Received().size() + ready.deskB.Received().size();
    const CallerAnswer refused = ready.Send("/pay/x");
    CHECK(refused.status == 503);
    CHECK(RetryAfterSeconds(refused) > 20.0);
    CHECK(RetryAfterSeconds(refused) <= 30.0);
    CHECK(ready.deskA.Received().size() + ready.deskB.Received().size() == received);
  }
  SUBCASE("and no prompt is read for engines that do not decode it")
  {
    for (WireTarget* engine : { &ready.decodeA, &ready.decodeB }) {
      engine->SetRetryAfter("30");
      engine->SetBehaviors({ TargetBehavior::kShed, TargetBehavior::kShed });
      ready.SendUntilReceived(*engine, "/quote/x");
    }
    const std::size_t prefills =
      ready.prefillA.Received().size() + ready.prefillB.Received().size();
    const CallerAnswer refused = ready.Send("/quote/x");
    CHECK(refused.status == 503);
    CHECK(RetryAfterSeconds(refused) > 20.0);
    CHECK(ready.prefillA.Received().size() + ready.prefillB.Received().size() == prefills);
  }
}

// Guards against an entry that outlives its removal because of an outage that had ended before.
TEST_CASE("a target that is removed soon after an outage of the store gets no more requests")
{
  ReadyFleet ready;
  SUBCASE("in which no lease can expire")
  {
    ready.fleet.Store().SetMode(fakes::WireStore::Mode::kRefusing);
    std::this_thread::sleep_for(1'500ms);
  }
  SUBCASE("in which leases expire")
  {
    ready.fleet.Store().SetMode(fakes::WireStore::Mode::kSilent);
    std::this_thread::sleep_for(4'500ms);
  }
  ready.fleet.Store().SetMode(fakes::WireStore::Mode::kAvailable);
  // Longer than it takes the instance to notice that the store is back.
  std::this_thread::sleep_for(2'000ms);
  ready.SendUntilReceived(ready.deskA, "/look/x");
  ready.fleet.RemoveEntry("i-s0");
  std::this_thread::sleep_for(1'000ms);
  CHECK(ready.GetsNone(ready.deskA, "/look/x"));
  CHECK(ready.GetsNone(ready.deskA, "/pay/x"));
}

// Guards against losing all targets when the store returns, before they have registered again.
TEST_CASE("targets whose entries were removed in an outage of the store stay usable at its return")
{
  ReadyFleet ready;
  ready.fleet.Store().SetMode(fakes::WireStore::Mode::kSilent);
  std::this_thread::sleep_for(4'500ms);
  ready.fleet.RemoveEntry("i-s0");
  ready.fleet.RemoveEntry("i-s1");
  const auto returnedAt = std::chrono::steady_clock::now();
  ready.fleet.Store().SetMode(fakes::WireStore::Mode::kAvailable);
  while (std::chrono::steady_clock::now() < returnedAt + 1'500ms) {
    CHECK(ready.Send("/look/x").status == 200);
    std::this_thread::sleep_for(20ms);
  }
  harness::Await("the entries to count as gone",
                 [&] { return ready.Send("/look/x").status == 503; });
  CHECK(std::chrono::steady_clock::now() < returnedAt + 5s);
}
