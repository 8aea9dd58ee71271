#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include <plantainslip/core/random.hpp>
#include <plantainslip/workspaces/fair_share.hpp>

using namespace plantainslip;
using namespace plantainslip::workspaces;
using namespace std::chrono_literals;

namespace {

core::WorkspaceId
Named(std::uint64_t aNumber)
{
  return core::WorkspaceId("w" + std::to_string(aNumber));
}

struct Tally
{
  double asked = 0.0;
  double served = 0.0;

  double Fraction() const { return this->served / this->asked; }
};

// Plays requests at twice the capacity: the first workspace asks for a given part of the tokens,
// the others share the rest. What does not fit into the second is refused, and a workspace above
// its share yields as soon as half of the second's capacity is used.
std::vector<Tally>
PlayOverload(std::uint64_t aWorkspaces, double aLargePart, int aSeconds)
{
  FairShare shares;
  core::RandomSource random(7);
  std::vector<Tally> tallies(aWorkspaces);
  core::MonotonicTime now{ 1s };
  constexpr int kPerSecond = 200;
  double capacity = kPerSecond / 4.0;
  for (int request = 0; request < aSeconds * kPerSecond; ++request) {
    now += 1'000'000us / kPerSecond;
    capacity = std::min(kPerSecond / 4.0, capacity + 0.5);
    const bool isLarge = random.Fraction() < aLargePart;
    const std::uint64_t number = isLarge ? 0 : 1 + random.Below(aWorkspaces - 1);
    const Standing standing = shares.Of(Named(number), now);
    const double reserve = standing == Standing::kAbove   ? kPerSecond / 8.0
                           : standing == Standing::kBelow ? 0.0
                                                          : kPerSecond / 16.0;
    ++tallies[number].asked;
    if (capacity - 1.0 >= reserve) {
      capacity -= 1.0;
      ++tallies[number].served;
      shares.RecordServed(Named(number), 1'000.0, now);
    } else {
      shares.RecordRefused(Named(number), now);
    }
  }
  return tallies;
}

} // namespace

TEST_CASE("fair share: at twice the capacity a large workspace yields, small ones are served")
{
  const std::vector<Tally> tallies = PlayOverload(40, 0.7, 60);
  Tally all;
  for (const Tally& tally : tallies) {
    all.asked += tally.asked;
    all.served += tally.served;
  }
  for (std::size_t number = 1; number < tallies.size(); ++number) {
    CHECK(tallies[number].Fraction() >= all.Fraction());
  }
  // No workspace is served less than a quarter as often as all.
  CHECK(tallies[0].Fraction() >= all.Fraction() / 4);
  CHECK(all.Fraction() > 0.45);
}

TEST_CASE("fair share: workspaces of equal size are served alike")
{
  const std::vector<Tally> tallies = PlayOverload(10, 0.1, 60);
  for (const Tally& tally : tallies) {
    CHECK(tally.Fraction() > 0.35);
    CHECK(tally.Fraction() < 0.65);
  }
}

TEST_CASE("fair share: a workspace that has been refused most of the time is not refused further")
{
  FairShare shares;
  core::MonotonicTime now{ 1s };
  for (int count = 0; count < 20; ++count) {
    shares.RecordServed(Named(1), 1'000.0, now);
    shares.RecordServed(Named(2), 100.0, now);
  }
  shares.RecordServed(Named(0), 90'000.0, now);
  CHECK(shares.Of(Named(0), now) == Standing::kAbove);
  for (int count = 0; count < 10; ++count) {
    shares.RecordRefused(Named(0), now);
  }
  CHECK(shares.Of(Named(0), now) == Standing::kBelow);
}

TEST_CASE("fair share: idle workspaces are forgotten, and memory is bounded")
{
  FairShare shares;
  core::MonotonicTime now{ 1s };
  for (std::uint64_t number = 0; number < 2 * FairShare::kMaxWorkspaces; ++number) {
    shares.RecordServed(Named(number), 1.0, now);
  }
  CHECK(shares.CountKnown() == FairShare::kMaxWorkspaces);
  now += 60s;
  for (std::uint64_t count = 0; count < FairShare::kMaxWorkspaces; ++count) {
    shares.RecordServed(Named(1), 1.0, now);
  }
  CHECK(shares.CountKnown() <= 2);
}
