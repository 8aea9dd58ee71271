#include <doctest/doctest.h>

#include <harness/member_network.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using harness::MemberNetwork;
using std::chrono::seconds;

namespace {

// Covers the time until the member is probed, 3 s to refute, and the gossip's way through the zone.
constexpr seconds kMaxDetectionTime(8);
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
DetectsDeath(MemberNetwork& aNetwork, std::size_t aIndex)
{
  const auto elapsed =
    aNetwork.RunUntil([&] { return aNetwork.AllHoldDead("a", aIndex); }, kMaxDetectionTime);
  return elapsed < kMaxDetectionTime;
}

// Runs a scenario once per seed, on zones of three or of nine instances in turn.
void
ForEachSeed(const std::function<void(MemberNetwork&)>& aScenario)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    aScenario(*MakeZones(seed, { "a" }, seed % 2 == 0 ? 3 : 9));
  }
}

} // namespace

TEST_CASE("members of a zone detect dead members without the platform")
{
  SUBCASE("a killed instance is declared dead by all, and no other is")
  {
    ForEachSeed([](MemberNetwork& aNetwork) {
      aNetwork.SetRunning(1, false);
      CHECK(DetectsDeath(aNetwork, 1));
      CHECK(aNetwork.WronglyDead() == 0);
    });
  }

  SUBCASE("a killed instance is detected at 20% packet loss")
  {
    ForEachSeed([](MemberNetwork& aNetwork) {
      aNetwork.SetLoss(0.2);
      aNetwork.SetRunning(1, false);
      CHECK(DetectsDeath(aNetwork, 1));
    });
  }

  SUBCASE("instances of a rack that fail together are declared dead by the rest")
  {
    ForEachSeed([](MemberNetwork& aNetwork) {
      const std::size_t rack = aNetwork.Size() / 3;
      for (std::size_t index = 0; index < rack; ++index) {
        aNetwork.SetRunning(index, false);
      }
      for (std::size_t index = 0; index < rack; ++index) {
        CHECK(DetectsDeath(aNetwork, index));
      }
      CHECK(aNetwork.WronglyDead() == 0);
    });
  }

  SUBCASE("an instance that is paused for a short time is not declared dead")
  {
    ForEachSeed([](MemberNetwork& aNetwork) {
      aNetwork.SetRunning(1, false);
      aNetwork.Run(seconds(2));
      aNetwork.SetRunning(1, true);
      aNetwork.Run(seconds(10));
      CHECK(aNetwork.WronglyDead() == 0);
    });
  }

  SUBCASE("an instance that resumes after a long pause is alive for all, and so are the others")
  {
    ForEachSeed([](MemberNetwork& aNetwork) {
      aNetwork.SetRunning(1, false);
      aNetwork.Run(seconds(20));
      aNetwork.SetRunning(1, true);
      const auto noneWronglyDead = [&] { return aNetwork.WronglyDead() == 0; };
      CHECK(aNetwork.RunUntil(noneWronglyDead, seconds(15)) < seconds(15));
      aNetwork.Run(seconds(10));
      CHECK(aNetwork.WronglyDead() == 0);
    });
  }

  SUBCASE("a one-way partition between two instances causes no death while others reach both")
  {
    ForEachSeed([](MemberNetwork& aNetwork) {
      aNetwork.SetCut([](std::size_t aFrom, std::size_t aTo) { return aFrom == 0 && aTo == 1; });
      aNetwork.Run(seconds(60));
      CHECK(aNetwork.WronglyDead() == 0);
    });
  }

  SUBCASE("an instance that leaves announces itself as dead to some members")
  {
    ForEachSeed([](MemberNetwork& aNetwork) {
      const auto leaveMessages = aNetwork.At(1).Leave();
      CHECK_FALSE(leaveMessages.empty());
      for (const auto& datagram : leaveMessages) {
        CHECK(datagram.message.sender.state == membership::MemberState::kDead);
      }
    });
  }
}

TEST_CASE("packet loss alone does not cause a false death")
{
  for (const double loss : { 0.01, 0.05, 0.2 }) {
    CAPTURE(loss);
    const auto network = MakeZones(7, { "a" }, 9);
    network->SetLoss(loss);
    std::size_t wronglyDead = 0;
    for (int second = 0; second < 120; ++second) {
      network->Run(seconds(1));
      wronglyDead += network->WronglyDead();
    }
    CHECK(wronglyDead == 0);
  }
}

TEST_CASE("partition between zones")
{
  const auto network = MakeZones(3, { "a", "b" }, 4);
  const auto zoneOf = [](std::size_t aIndex) { return aIndex / 4; };
  network->SetCut([&](std::size_t aFrom, std::size_t aTo) { return zoneOf(aFrom) != zoneOf(aTo); });
  network->Run(seconds(30));

  SUBCASE("members of the zones do not declare each other dead")
  {
    CHECK_FALSE(network->AllHoldDead("a", 4));
    CHECK(network->WronglyDead() == 0);
  }

  SUBCASE("a death in the other zone becomes known after the partition heals")
  {
    network->SetRunning(5, false);
    network->Run(seconds(20));
    CHECK(network->AllHoldDead("b", 5));
    CHECK_FALSE(network->AllHoldDead("a", 5));
    network->SetCut({});
    const auto elapsed =
      network->RunUntil([&] { return network->AllHoldDead("a", 5); }, seconds(60));
    CHECK(elapsed < seconds(60));
  }
}

TEST_CASE("partition within a zone: members are alive again for all after it heals")
{
  const auto network = MakeZones(4, { "a" }, 8);
  network->SetCut([](std::size_t aFrom, std::size_t aTo) { return (aFrom < 4) != (aTo < 4); });
  network->Run(seconds(30));
  CHECK(network->WronglyDead() == 2 * 4 * 4);
  network->SetCut({});
  const auto elapsed = network->RunUntil([&] { return network->WronglyDead() == 0; }, seconds(60));
  CHECK(elapsed < seconds(60));
}

TEST_CASE("a leaving mark read by one instance reaches the whole zone within kMaxMarkPropagation")
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
      CHECK(network->RunUntil(allKnow, seconds(30)) < membership::kMaxMarkPropagation);
    }
  }
}
