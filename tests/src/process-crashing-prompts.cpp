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

namespace {

const std::string kFatalPart = "dead";
/// Engine losses that the users accept, the time that follows in which requests may still reach
/// engines, and the number that may do so later.
constexpr std::size_t kAcceptedLosses = 5;
constexpr auto kStableWindow = 3'000ms;
constexpr std::size_t kMaxLaterArrivals = 3;

/// Three instances in front of one prefill engine and decode engines that end when they begin to
/// answer a prompt with the fatal part. Each request is sent to the next instance.
class CrashingFleet
{
public:
  static constexpr int kDecodeEngines = 16;

  CrashingFleet()
  {
    for (int number = 0; number < kDecodeEngines; ++number) {
      fakes::WireTarget& engine =
        this->fleet.AddTarget("i-d" + std::to_string(number), "models", "decode");
      engine.SetFatalPart(kFatalPart);
      this->engines.push_back(&engine);
    }
    this->engines.push_back(&this->fleet.AddTarget("i-p", "models", "prefill"));
    this->fleet.AddTarget("i-s", "desk", "");
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

  /// Sends a completion whose prompt has the given parts and a last part of its own.
  CallerAnswer Complete(const std::string& aPath, const std::string& aParts)
  {
    ++this->requests;
    const std::string id = "c" + std::to_string(this->requests);
    return this->fleet.CallAt(this->callers[this->requests % this->callers.size()],
                              "POST",
                              aPath,
                              id,
                              "X-Model-Id: m\r\nX-Token-Usage: 100,20\r\nX-Prompt-Prefix: " +
                                aParts + ",f" + std::to_string(this->requests) + ":10\r\n",
                              "the prompt");
  }

  std::size_t CountLosses() const
  {
    return static_cast<std::size_t>(
      std::count_if(this->engines.begin(), this->engines.end(), [](const auto* aEngine) {
        return aEngine->HasEnded();
      }));
  }

  /// Counts arrivals of requests with the fatal part, prefills included.
  std::size_t CountFatalArrivals() const
  {
    const auto hasFatalPart = [](const fakes::ReceivedRequest& aRequest) {
      const std::string* const parts = serving::FindHeader(aRequest.headers, "X-Prompt-Prefix");
      return parts != nullptr && parts->find(kFatalPart) != std::string::npos;
    };
    std::size_t arrivals = 0;
    for (const fakes::WireTarget* engine : this->engines) {
      const auto received = engine->Received();
      arrivals +=
        static_cast<std::size_t>(std::count_if(received.begin(), received.end(), hasFatalPart));
    }
    return arrivals;
  }

  WireFleet fleet;
  std::vector<fakes::WireTarget*> engines;
  std::vector<net::Address> callers;
  std::size_t requests = 0;
};

} // namespace

TEST_CASE("a prompt part that ends one engine after another stops reaching engines")
{
  CrashingFleet crashing;
  std::string path;
  SUBCASE("on a route with one attempt")
  {
    path = "/quote/x";
  }
  SUBCASE("on a route that allows a second attempt and resumed streams")
  {
    path = "/note/x";
  }
  const std::string fatal = "a1:60,b2:40," + kFatalPart + ":20";
  std::chrono::steady_clock::time_point fifthLoss = std::chrono::steady_clock::time_point::max();
  std::size_t arrivalsAtWindowEnd = 0;
  bool windowEnded = false;
  constexpr int kRounds = 40;
  for (int round = 0; round < kRounds; ++round) {
    const auto now = std::chrono::steady_clock::now();
    if (crashing.CountLosses() >= kAcceptedLosses) {
      fifthLoss = std::min(fifthLoss, now);
    }
    if (!windowEnded && fifthLoss < now && now - fifthLoss >= kStableWindow) {
      windowEnded = true;
      arrivalsAtWindowEnd = crashing.CountFatalArrivals();
    }
    crashing.Complete(path, fatal);
    // Shares the caller's other parts.
    crashing.Complete(path, "a1:60,b2:40");
    std::this_thread::sleep_for(150ms);
  }
  if (windowEnded) {
    CHECK(crashing.CountFatalArrivals() - arrivalsAtWindowEnd <= kMaxLaterArrivals);
  }
  CHECK(crashing.CountLosses() <= kAcceptedLosses);
  // Requests that share all parts but the fatal one are served.
  for (int request = 0; request < 6; ++request) {
    const CallerAnswer sound = crashing.Complete(path, "a1:60,b2:40");
    CHECK(sound.status == 200);
    CHECK(sound.complete);
  }
  const CallerAnswer refused = crashing.Complete(path, fatal);
  CHECK(refused.status == 503);
  CHECK(refused.head.find("Retry-After: ") != std::string::npos);
}
