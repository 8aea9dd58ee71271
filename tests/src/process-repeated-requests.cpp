#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "harness/wire_fleet.hpp"

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using harness::CallerAnswer;
using harness::WireFleet;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

/// Crashes that the users accept, the time that follows in which the request may still reach
/// targets, and the number of times that it may do so later.
constexpr std::size_t kAcceptedCrashes = 3;
constexpr auto kStableWindow = 3'000ms;
constexpr std::size_t kMaxLaterArrivals = 3;

/// Three instances in front of targets that end when they begin to run one request.
class DeadlyFleet
{
public:
  static constexpr int kTargets = 16;

  explicit DeadlyFleet(const std::string& aFatalPath)
    : fatalPath(aFatalPath)
  {
    for (int number = 0; number < kTargets; ++number) {
      this->Add("i-d" + std::to_string(number), "models", "decode");
      this->Add("i-s" + std::to_string(number), "desk", "");
    }
    this->Add("i-p", "models", "prefill");
    this->fleet.Configure(3);
    for (int instance = 0; instance < 3; ++instance) {
      this->StartGateway();
    }
  }

  void StartGateway()
  {
    this->fleet.StartGateway();
    this->callers.push_back(this->fleet.Callers());
    this->fleet.AwaitServed("/look/x", 200);
  }

  /// Sends a request to the next instance; all requests are alike but for their path and id.
  CallerAnswer Call(const std::string& aPath)
  {
    ++this->requests;
    return this->fleet.CallAt(this->callers[this->requests % this->callers.size()],
                              aPath.starts_with("/look/") ? "GET" : "POST",
                              aPath,
                              "c" + std::to_string(this->requests),
                              IsCompletion(aPath) ? WireFleet::CompletionHeaders() : "",
                              aPath.starts_with("/look/") ? "" : "the body");
  }

  std::size_t CountCrashes() const
  {
    return static_cast<std::size_t>(
      std::count_if(this->targets.begin(), this->targets.end(), [](const auto* aTarget) {
        return aTarget->HasEnded();
      }));
  }

  /// Counts arrivals of the fatal request, prefills included.
  std::size_t CountArrivals() const
  {
    std::size_t arrivals = 0;
    for (const fakes::WireTarget* target : this->targets) {
      for (const fakes::ReceivedRequest& received : target->Received()) {
        arrivals += received.path == this->fatalPath ? 1U : 0U;
      }
    }
    return arrivals;
  }

private:
  static bool IsCompletion(const std::string& aPath)
  {
    return aPath.starts_with("/quote/") || aPath.starts_with("/note/");
  }

  void Add(const std::string& aId, const std::string& aService, const std::string& aStage)
  {
    fakes::WireTarget& target = this->fleet.AddTarget(aId, aService, aStage);
    target.SetFatalPath(this->fatalPath);
    this->targets.push_back(&target);
  }

  std::string fatalPath;
  std::vector<fakes::WireTarget*> targets;
  std::vector<net::Address> callers;
  std::size_t requests = 0;

public:
  WireFleet fleet;
};

} // namespace

TEST_CASE("a repeated request that ends one target after another stops reaching targets")
{
  std::string route;
  SUBCASE("on a stream route with one attempt")
  {
    route = "/quote/";
  }
  SUBCASE("on a stream route that may be resumed")
  {
    route = "/note/";
  }
  SUBCASE("on a plain route whose requests run at most once")
  {
    route = "/pay/";
  }
  SUBCASE("on a plain route whose requests may be repeated")
  {
    route = "/look/";
  }
  CAPTURE(route);
  DeadlyFleet deadly(route + "deadly");
  Clock::time_point thirdCrash = Clock::time_point::max();
  std::size_t arrivalsAtWindowEnd = 0;
  bool windowEnded = false;
  std::size_t soundServed = 0;
  constexpr std::size_t kRounds = 40;
  for (std::size_t round = 0; round < kRounds; ++round) {
    const auto now = Clock::now();
    if (deadly.CountCrashes() >= kAcceptedCrashes) {
      thirdCrash = std::min(thirdCrash, now);
    }
    if (!windowEnded && thirdCrash < now && now - thirdCrash >= kStableWindow) {
      windowEnded = true;
      arrivalsAtWindowEnd = deadly.CountArrivals();
    }
    deadly.Call(route + "deadly");
    // Alike in all but the path, prompt parts included.
    soundServed += deadly.Call(route + "sound").status == 200 ? 1U : 0U;
    std::this_thread::sleep_for(150ms);
  }
  REQUIRE(windowEnded);
  CHECK(deadly.CountArrivals() - arrivalsAtWindowEnd <= kMaxLaterArrivals);
  CHECK(soundServed == kRounds);
  const CallerAnswer refused = deadly.Call(route + "deadly");
  CHECK(refused.status == 503);
  CHECK(refused.head.find("Retry-After: ") != std::string::npos);
}
