#include <doctest/doctest.h>

#include <harness/member_network.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using harness::MemberNetwork;
using std::chrono::seconds;

namespace {

// Random probing, three seconds to refute, and the news' way through the zone.
constexpr seconds kDetectWithin(8);
constexpr std::uint64_t kSeeds = 5;

std::unique_ptr<MemberNetwork>
MakeZones(std::uint64_t aSeed, const std::vector<std::string>& aZones, std::size_t aEach)
{
  auto network = std::make_unique<MemberNetwork>(aSeed);
  for (const std::string& zone : aZones) {
    for (std::size_t number = 0; number < aEach; ++number) {
      network->Add("entry-" + zone + "-" + std::to_string(number), zone);
    }
  }
  network->ReadList();
  network->Run(seconds(5));
  return network;
}

bool
DetectsInTime(MemberNetwork& aNetwork, std::size_t aIndex)
{
  const auto took =
    aNetwork.RunUntil([&] { return aNetwork.AllHoldDead("a", aIndex); }, kDetectWithin);
  return took < kDetectWithin;
}

// Runs a scenario on zones of three and of nine instances.
void
ForEachSeed(const std::function<void(MemberNetwork&)>& aScenario)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    aScenario(*MakeZones(seed, { "a" }, seed % 2 == 0 ? 3 : 9));
  }
}

} // namespace

TEST_CASE("a zone knows its dead without the platform")
{
  SUBCASE("a killed instance is dead for all, and nobody else is")
  {
    ForEachSeed([](MemberNetwork& aNetwork) {
      aNetwork.SetRunning(1, false);
      CHECK(DetectsInTime(aNetwork, 1));
      CHECK(aNetwork.WronglyDead() == 0);
    });
  }

  SUBCASE("a killed instance is found under loss of 20%")
  {
    ForEachSeed([](MemberNetwork& aNetwork) {
      aNetwork.SetLoss(0.2);
      aNetwork.SetRunning(1, false);
      CHECK(DetectsInTime(aNetwork, 1));
    });
  }

  SUBCASE("a rack that goes at once is dead for the rest")
  {
    ForEachSeed([](MemberNetwork& aNetwork) {
      const std::size_t rack = aNetwork.Size() / 3;
      for (std::size_t index = 0; index < rack; ++index) {
        aNetwork.SetRunning(index, false);
      }
      for (std::size_t index = 0; index < rack; ++index) {
        CHECK(DetectsInTime(aNetwork, index));
      }
      CHECK(aNetwork.WronglyDead() == 0);
    });
  }

  SUBCASE("a short pause is no death")
  {
    ForEachSeed([](MemberNetwork& aNetwork) {
      aNetwork.SetRunning(1, false);
      aNetwork.Run(seconds(2));
      aNetwork.SetRunning(1, true);
      aNetwork.Run(seconds(10));
      CHECK(aNetwork.WronglyDead() == 0);
    });
  }

  SUBCASE("an instance that comes back from a long pause is alive for all, and so are others")
  {
    ForEachSeed([](MemberNetwork& aNetwork) {
      aNetwork.SetRunning(1, false);
      aNetwork.Run(seconds(20));
      aNetwork.SetRunning(1, true);
      const auto mended = [&] { return aNetwork.WronglyDead() == 0; };
      CHECK(aNetwork.RunUntil(mended, seconds(15)) < seconds(15));
      aNetwork.Run(seconds(10));
      CHECK(aNetwork.WronglyDead() == 0);
    });
  }

  SUBCASE("a one-way cut between two instances is no death while others reach both")
  {
    ForEachSeed([](MemberNetwork& aNetwork) {
      aNetwork.SetCut([](std::size_t aFrom, std::size_t aTo) { return aFrom == 0 && aTo == 1; });
      aNetwork.Run(seconds(60));
      CHECK(aNetwork.WronglyDead() == 0);
    });
  }

  SUBCASE("an instance that is stopped says so to some members")
  {
    ForEachSeed([](MemberNetwork& aNetwork) {
      const auto farewell = aNetwork.At(1).Leave();
      CHECK_FALSE(farewell.empty());
      for (const auto& datagram : farewell) {
        CHECK(datagram.message.sender.state == membership::MemberState::kDead);
      }
    });
  }
}

TEST_CASE("loss alone kills nobody")
{
  for (const double loss : { 0.01, 0.05, 0.2 }) {
    CAPTURE(loss);
    const auto network = MakeZones(7, { "a" }, 9);
    network->SetLoss(loss);
    std::size_t wrong = 0;
    for (int second = 0; second < 120; ++second) {
      network->Run(seconds(1));
      wrong += network->WronglyDead();
    }
    CHECK(wrong == 0);
  }
}

TEST_CASE("zones that are cut off from each other")
{
  const auto network = MakeZones(3, { "a", "b" }, 4);
  const auto zoneOf = [](std::size_t aIndex) { return aIndex / 4; };
  network->SetCut([&](std::size_t aFrom, std::size_t aTo) { return zoneOf(aFrom) != zoneOf(aTo); });
  network->Run(seconds(30));

  SUBCASE("do not declare each other dead")
  {
    CHECK_FALSE(network->AllHoldDead("a", 4));
    CHECK(network->WronglyDead() == 0);
  }

  SUBCASE("hear of a death in the other zone after the cut is mended")
  {
    network->SetRunning(5, false);
    network->Run(seconds(20));
    CHECK(network->AllHoldDead("b", 5));
    CHECK_FALSE(network->AllHoldDead("a", 5));
    network->SetCut({});
    const auto took = network->RunUntil([&] { return network->AllHoldDead("a", 5); }, seconds(60));
    CHECK(took < seconds(60));
  }
}

TEST_CASE("a zone that is cut in two mends")
{
  const auto network = MakeZones(4, { "a" }, 8);
  network->SetCut([](std::size_t aFrom, std::size_t aTo) { return (aFrom < 4) != (aTo < 4); });
  network->Run(seconds(30));
  CHECK(network->WronglyDead() == 2 * 4 * 4);
  network->SetCut({});
  const auto took = network->RunUntil([&] { return network->WronglyDead() == 0; }, seconds(60));
  CHECK(took < seconds(60));
}

TEST_CASE("a mark that one instance reads reaches its zone within the stated time")
{
  for (const std::size_t size : { 3U, 9U, 30U, 59U }) {
    for (const double loss : { 0.0, 0.2 }) {
      CAPTURE(size);
      CAPTURE(loss);
      const auto network = MakeZones(size, { "a" }, size);
      network->SetLoss(loss);
      network->ReadListAt(0, { "engine-1" });
      const auto allKnow = [&] {
        for (std::size_t index = 0; index < network->Size(); ++index) {
          if (!network->At(index).Marks().IsLeaving("engine-1")) {
            return false;
          }
        }
        return true;
      };
      CHECK(network->RunUntil(allKnow, seconds(30)) < membership::kNoNewWorkAfter);
    }
  }
}
