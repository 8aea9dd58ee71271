#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

#include <nlohmann/json.hpp>

#include "harness/wire_fleet.hpp"

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using fakes::WireStore;
using harness::Await;
using harness::WireFleet;
using namespace std::chrono_literals;

namespace {

/// Time within which a change must be in force after the store has acknowledged it.
constexpr auto kChangeBound = 2'000ms;

/// Three instances, of which the last one reads changes from its peers.
class RestorableFleet
{
public:
  RestorableFleet()
  {
    this->fleet.AddTarget("i-p", "models", "prefill");
    this->fleet.AddTarget("i-d", "models", "decode");
    this->fleet.Configure(3);
    for (int instance = 0; instance < 3; ++instance) {
      this->fleet.StartGateway();
      this->callers.push_back(this->fleet.Callers());
    }
    for (const net::Address& address : this->callers) {
      Await("an instance to serve", [&] { return this->Look(address, "/look/x") == 200; });
    }
    // Until peers know each other.
    std::this_thread::sleep_for(1'500ms);
  }

  int Look(const net::Address& aCallers, const std::string& aPath)
  {
    const std::string id = "r" + std::to_string(++this->requests);
    return this->fleet.CallAt(aCallers, "GET", aPath, id).status;
  }

  /// Writes keys that nobody reads, so that revisions are given out.
  void WriteOthers(int aCount)
  {
    for (int number = 0; number < aCount; ++number) {
      this->fleet.Store().Put("other/" + std::to_string(number), "x");
    }
  }

  void ComeBackFrom(const WireStore::Copy& aCopy)
  {
    this->fleet.Store().SetMode(WireStore::Mode::kRefusing);
    std::this_thread::sleep_for(300ms);
    this->fleet.Store().Restore(aCopy);
    this->fleet.Store().SetMode(WireStore::Mode::kAvailable);
  }

  WireFleet fleet;
  fakes::WireTarget& deskA = this->fleet.AddTarget("i-s0", "desk", "");
  fakes::WireTarget& deskB = this->fleet.AddTarget("i-s1", "desk", "");
  std::vector<net::Address> callers;
  int requests = 0;
};

std::uint64_t
TokenOf(const std::string& aOrder)
{
  return nlohmann::json::parse(aOrder).at("fencingToken").get<std::uint64_t>();
}

} // namespace

TEST_CASE("a change that the store acknowledged after it came back from a copy is in force in time")
{
  RestorableFleet restorable;
  const WireStore::Copy copy = restorable.fleet.Store().MakeCopy();
  restorable.fleet.Configure(5);
  restorable.WriteOthers(20);
  restorable.fleet.WriteEntry(restorable.deskA, "desk", "");
  // Longer than the delay after a change.
  std::this_thread::sleep_for(700ms);
  restorable.ComeBackFrom(copy);
  // Time for the instances to read the copy.
  std::this_thread::sleep_for(1'500ms);
  SUBCASE("a configuration")
  {
    restorable.fleet.Configure(6, "added");
    std::this_thread::sleep_for(kChangeBound);
    for (const net::Address& address : restorable.callers) {
      CHECK(restorable.Look(address, "/added/x") == 200);
    }
  }
  SUBCASE("a target that leaves")
  {
    restorable.fleet.WriteEntry(restorable.deskA, "desk", "", "draining");
    std::this_thread::sleep_for(kChangeBound);
    const std::size_t before = restorable.deskA.Received().size();
    for (const net::Address& address : restorable.callers) {
      for (int request = 0; request < 8; ++request) {
        CHECK(restorable.Look(address, "/look/x") == 200);
      }
    }
    CHECK(restorable.deskA.Received().size() == before);
  }
}

TEST_CASE("an instance does not go back to what an older copy of the store says")
{
  RestorableFleet restorable;
  const WireStore::Copy copy = restorable.fleet.Store().MakeCopy();
  restorable.fleet.Configure(5, "added");
  restorable.fleet.WriteEntry(restorable.deskA, "desk", "", "draining");
  std::this_thread::sleep_for(kChangeBound);
  const std::size_t before = restorable.deskA.Received().size();
  restorable.ComeBackFrom(copy);
  const auto end = std::chrono::steady_clock::now() + 3s;
  while (std::chrono::steady_clock::now() < end) {
    for (const net::Address& address : restorable.callers) {
      CHECK(restorable.Look(address, "/added/x") == 200);
    }
    std::this_thread::sleep_for(50ms);
  }
  CHECK(restorable.deskA.Received().size() == before);
}

TEST_CASE("what the instances wrote is written again after the store comes back from a copy")
{
  WireFleet fleet;
  fakes::WireTarget& first = fleet.AddTarget("i-1", "models", "decode");
  fakes::WireTarget& second = fleet.AddTarget("i-2", "models", "decode");
  fleet.Configure(3);
  const WireStore::Copy copy = fleet.Store().MakeCopy();
  fleet.StartGateway();
  const auto orders = [&] {
    auto all = first.Orders();
    const auto others = second.Orders();
    all.insert(all.end(), others.begin(), others.end());
    return all;
  };
  Await("an order", [&] { return orders().size() == 1; });
  const std::uint64_t token = TokenOf(orders().front());
  const std::string entry = fleet.Store().Get("plantainslip/instances/one-0");
  CHECK_FALSE(entry.empty());
  fleet.Store().Restore(copy);
  Await("the entry", [&] { return fleet.Store().Get("plantainslip/instances/one-0") == entry; });
  Await("the lease", [&] { return fleet.Store().Get("plantainslip/leader") == "one-0"; });
  Await("another order", [&] { return orders().size() > 1; });
  for (const std::string& order : orders()) {
    CHECK((TokenOf(order) == token || order != orders().front()));
    CHECK(TokenOf(order) >= token);
  }
  CHECK(std::max(TokenOf(orders().front()), TokenOf(orders().back())) > token);
}
