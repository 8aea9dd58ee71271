#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "harness/wire_fleet.hpp"

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using harness::WireFleet;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

/// The users' bound: from a while after the first statement, in any window.
constexpr auto kStableWindow = 3s;
constexpr auto kWindow = 4s;

std::size_t
MostInWindow(const fakes::WireTarget& aTarget, Clock::time_point aFrom)
{
  const auto received = aTarget.Received();
  std::size_t most = 0;
  for (auto first = received.begin(); first != received.end(); ++first) {
    const auto inWindow = [&](const fakes::ReceivedRequest& aRequest) {
      return aRequest.at >= first->at && aRequest.at - first->at <= kWindow;
    };
    const bool counts = first->at >= aFrom;
    most =
      std::max(most,
               counts ? static_cast<std::size_t>(std::count_if(first, received.end(), inWindow))
                      : std::size_t{ 0 });
  }
  return most;
}

} // namespace

TEST_CASE("targets that state a rate limit get no more than it from all instances together")
{
  WireFleet fleet;
  fakes::WireTarget& limitedPrefill = fleet.AddTarget("i-p0", "models", "prefill");
  fleet.AddTarget("i-p1", "models", "prefill");
  fakes::WireTarget& limitedDecode = fleet.AddTarget("i-d0", "models", "decode");
  fleet.AddTarget("i-d1", "models", "decode");
  fakes::WireTarget& limitedDesk = fleet.AddTarget("i-s0", "desk", "");
  fleet.AddTarget("i-s1", "desk", "");
  fleet.Configure(3);
  std::vector<net::Address> callers;
  for (int instance = 0; instance < 3; ++instance) {
    fleet.StartGateway();
    callers.push_back(fleet.Callers());
    fleet.AwaitServed("/look/x", 200);
  }
  const std::vector<fakes::WireTarget*> limited = { &limitedPrefill, &limitedDecode, &limitedDesk };
  for (fakes::WireTarget* target : limited) {
    target->SetRateLimit("3.5");
  }
  constexpr double kRate = 3.5;
  int requests = 0;
  const auto sendUntil = [&](Clock::time_point aEnd) {
    while (Clock::now() < aEnd) {
      const net::Address& address = callers[static_cast<std::size_t>(requests) % callers.size()];
      const std::string id = "r" + std::to_string(++requests);
      const char* const path = requests % 2 == 0 ? "/look/x" : "/quote/x";
      const auto answer =
        requests % 2 == 0
          ? fleet.CallAt(address, "GET", path, id)
          : fleet.CallAt(address, "POST", path, id, WireFleet::CompletionHeaders(), "the prompt");
      CHECK(answer.status == 200);
    }
  };
  const Clock::time_point stated = Clock::now();
  sendUntil(stated + kStableWindow + 2 * kWindow);
  for (const fakes::WireTarget* target : limited) {
    CAPTURE(target->Id());
    const std::size_t most = MostInWindow(*target, stated + kStableWindow);
    CHECK(static_cast<double>(most) <= 1.5 * 4.0 * kRate + 5.0);
  }
  for (fakes::WireTarget* target : limited) {
    target->SetRateLimit("");
  }
  const std::size_t before = limitedDesk.Received().size();
  sendUntil(Clock::now() + kWindow);
  CHECK(static_cast<double>(limitedDesk.Received().size() - before) > 1.5 * 4.0 * kRate + 5.0);
}

// Guards against a limit that ends with a response of another process or in another stage.
TEST_CASE("a rate limit holds while its target answers only calls that are misdirected")
{
  WireFleet fleet;
  fakes::WireTarget& limited = fleet.AddTarget("i-s0", "desk", "");
  fleet.AddTarget("i-s1", "desk", "");
  fleet.Configure(3);
  fleet.StartGateway();
  fleet.AwaitServed("/look/x", 200);
  constexpr double kRate = 1.0;
  limited.SetRateLimit("1.0");
  int requests = 0;
  const auto send = [&] { fleet.Call("GET", "/look/x", "r" + std::to_string(++requests)); };
  const std::size_t before = limited.Received().size();
  harness::Await("the limit to be stated", [&] {
    send();
    return limited.Received().size() > before;
  });
  limited.SetBehaviors(
    std::vector<fakes::TargetBehavior>(500, fakes::TargetBehavior::kMisdirected));
  const Clock::time_point start = Clock::now();
  while (Clock::now() < start + kWindow) {
    send();
  }
  CHECK(requests > 100);
  CHECK(fleet.Metrics().find("target_limits_total{kind=\"desk\"} 1\n") != std::string::npos);
  CHECK(static_cast<double>(MostInWindow(limited, start)) <= 1.5 * 4.0 * kRate + 5.0);
}
