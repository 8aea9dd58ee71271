#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "harness/wire_fleet.hpp"

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using fakes::WireTarget;
using harness::WireFleet;
using namespace std::chrono_literals;

namespace {

/// Time within which instances must stop sending requests to a target that has left.
constexpr std::chrono::milliseconds kLeaveBound{ 2'000 };
/// Duration of the leases of instances' own entries, which watchers renew once per second.
constexpr std::chrono::milliseconds kEntryLease{ 8'000 };

/// Three instances in one zone, of which the last one follows the store through the others.
class FollowingFleet
{
public:
  FollowingFleet()
  {
    this->fleet.Configure(3);
    this->fleet.StartGateway(false);
    this->fleet.StartGateway(false);
    this->fleet.StartGateway();
    harness::Await("the last instance to follow its peers",
                   [&] { return this->CountLines("following the store through peers") > 0; });
    std::this_thread::sleep_for(1s);
  }

  /// Returns how many lines of the last instance's log have a text.
  std::size_t CountLines(const std::string& aText)
  {
    const std::string output = this->fleet.Gateway(2).Output();
    std::size_t count = 0;
    for (std::size_t at = output.find(aText); at != std::string::npos;
         at = output.find(aText, at + 1)) {
      ++count;
    }
    return count;
  }

  /// Kills the instances that follow the store, at a time after they renewed their entries.
  void KillWatchers(std::chrono::milliseconds aSinceRenewal)
  {
    harness::Await("the moment after a renewal", [&] {
      const auto age =
        std::chrono::steady_clock::now() - this->fleet.Store().LastRenewal(kEntryLease);
      return age >= aSinceRenewal && age < aSinceRenewal + 50ms;
    });
    this->fleet.Gateway(0).Signal(SIGKILL);
    this->fleet.Gateway(1).Signal(SIGKILL);
  }

  /// Removes the entry of a target that serves on; returns when the store has acknowledged that.
  std::chrono::steady_clock::time_point Leave(const WireTarget& aTarget)
  {
    this->fleet.RemoveEntry(aTarget.Id());
    return std::chrono::steady_clock::now();
  }

  /// Returns how many requests reach a target that are sent to the last instance in a time.
  std::size_t CountReceived(const WireTarget& aTarget,
                            std::chrono::steady_clock::time_point aFrom,
                            std::chrono::steady_clock::time_point aUntil)
  {
    std::this_thread::sleep_until(aFrom);
    const std::size_t before = aTarget.Received().size();
    while (std::chrono::steady_clock::now() < aUntil) {
      const std::string id = "r" + std::to_string(++this->requests);
      CHECK(this->fleet.Call("GET", "/look/x", id).status == 200);
      std::this_thread::sleep_for(20ms);
    }
    return aTarget.Received().size() - before;
  }

  WireFleet fleet;
  WireTarget& deskA = this->fleet.AddTarget("i-s0", "desk", "");
  WireTarget& deskB = this->fleet.AddTarget("i-s1", "desk", "");

private:
  int requests = 0;
};

} // namespace

// Guards against taking the silence of peers that have ended for an outage of the store.
TEST_CASE("a removal is in force in time on an instance whose peers are killed")
{
  FollowingFleet following;
  std::chrono::milliseconds leavesAfter{ 0 };
  SUBCASE("at that moment") {}
  SUBCASE("some time before its target leaves")
  {
    leavesAfter = 400ms;
  }
  following.KillWatchers(900ms);
  std::this_thread::sleep_for(leavesAfter);
  const auto left = following.Leave(following.deskA);
  CHECK(following.CountReceived(following.deskA, left + kLeaveBound, left + 4s) == 0);
}

// Guards against ignoring a process that was started again because of the one before it.
TEST_CASE("an instance hears of peers that are started again before it counts them as dead")
{
  FollowingFleet following;
  const std::size_t before = following.CountLines("following the store directly");
  following.fleet.RestartGateway(0);
  following.fleet.RestartGateway(1);
  std::this_thread::sleep_for(3s);
  CHECK(following.CountLines("following the store directly") == before);
  const auto left = following.Leave(following.deskA);
  CHECK(following.CountReceived(following.deskA, left + kLeaveBound, left + 3s) == 0);
}

// Guards against passing on only what changed, and not that the list of targets lacks one.
TEST_CASE("a removal that an instance has missed reaches it from peers that never knew the target")
{
  std::atomic<bool> hasListed{ false };
  FollowingFleet following;
  for (std::size_t index = 0; index < 3; ++index) {
    following.fleet.Gateway(index).Signal(SIGKILL);
  }
  following.fleet.Store().SetListHook([&](const std::string& aPrefix, const std::string&) {
    hasListed = hasListed || aPrefix == "servers/";
  });
  following.fleet.RestartGateway(2);
  harness::Await("the first list of targets", [&] { return hasListed.load(); });
  const auto left = following.Leave(following.deskA);
  following.fleet.RestartGateway(0);
  following.fleet.RestartGateway(1);
  harness::Await("the instance to be ready", [&] { return following.fleet.Readiness() == 200; });
  CHECK(following.CountReceived(following.deskA, left + kLeaveBound + 1s, left + 5s) == 0);
}

// Guards against taking the newest item of a list for the position up to which the list is
// complete.
TEST_CASE("changes between two pages of the list of targets reach an instance from its peers")
{
  std::atomic<bool> isChanged{ false };
  std::string state = "removed";
  FollowingFleet following;
  fakes::WireStore& store = following.fleet.Store();
  store.SetPageSize(1);
  SUBCASE("a removal") {}
  SUBCASE("an entry that says that its target is leaving")
  {
    state = "draining";
  }
  store.SetListHook([&](const std::string& aPrefix, const std::string& aAfter) {
    if (aPrefix != "servers/" || !aAfter.empty() || isChanged.exchange(true)) {
      return;
    }
    if (state == "removed") {
      following.fleet.RemoveEntry("i-s0");
    } else {
      following.fleet.WriteEntry(following.deskA, "desk", "", state);
    }
    following.fleet.WriteEntry(following.deskB, "desk", "");
  });
  following.fleet.RestartGateway(2);
  harness::Await("a list in several pages", [&] { return isChanged.load(); });
  const auto changed = std::chrono::steady_clock::now();
  harness::Await("the instance to be ready", [&] { return following.fleet.Readiness() == 200; });
  CHECK(following.CountReceived(following.deskA, changed + kLeaveBound, changed + 4s) == 0);
}
