#include <doctest/doctest.h>

#include <array>
#include <cstdlib>

#include <rapidcheck.h>

#include <harness/limit_fleet.hpp>

#include <plantainslip/core/random.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

namespace {

// Fixes the seed, so that every run tests the same cases, unless the environment sets another.
const int kSeeded = setenv("RC_PARAMS", "seed=1", 0);

constexpr std::size_t kInstances = 9;
constexpr double kLimit = 100.0;
constexpr std::chrono::milliseconds kStep{ 10 };
const core::WorkspaceId kWorkspace("festival");
const config::WorkspaceLimit kRequests{ kLimit, 0.0 };

// Selects the instance that gets the next request.
using Arrivals = std::function<std::size_t(core::RandomSource&)>;

std::size_t
Evenly(core::RandomSource& aRandom)
{
  return aRandom.Below(kInstances);
}

std::size_t
AtOneInstance(core::RandomSource& /*aRandom*/)
{
  return 3;
}

// Sends requests at a multiple of the limit and returns the number of admitted ones.
double
Offer(harness::LimitFleet& aFleet,
      core::RandomSource& aRandom,
      const Arrivals& aArrivals,
      double aMultiple,
      std::chrono::seconds aTime)
{
  double admitted = 0.0;
  double due = 0.0;
  for (std::chrono::milliseconds at{ 0 }; at < aTime; at += kStep) {
    aFleet.Advance(kStep);
    due += kLimit * aMultiple * std::chrono::duration<double>(kStep).count();
    for (; due >= 1.0; due -= 1.0) {
      admitted += aFleet.Admit(aArrivals(aRandom), kWorkspace, kRequests, {}) ? 1.0 : 0.0;
    }
  }
  return admitted;
}

double
MaxAdmitted(std::chrono::seconds aTime)
{
  const std::chrono::duration<double> time = aTime + limits::LimitOptions().burst;
  return kLimit * time.count() + static_cast<double>(kInstances + limits::LimitOptions().owners);
}

} // namespace

TEST_CASE(
  "all instances together enforce a workspace's limit and make it available where demand is")
{
  core::RandomSource random(1);
  harness::LimitFleet fleet(kInstances, {});
  const std::chrono::seconds time(30);
  for (const Arrivals& arrivals : { Arrivals(&Evenly), Arrivals(&AtOneInstance) }) {
    const double admitted = Offer(fleet, random, arrivals, 3.0, time);
    CHECK(admitted <= MaxAdmitted(time));
    CHECK(admitted >= 0.75 * kLimit * 30.0);
  }
}

TEST_CASE("shares move with the demand between instances without exceeding the limit")
{
  core::RandomSource random(2);
  harness::LimitFleet fleet(kInstances, {});
  double admitted = 0.0;
  std::size_t place = 0;
  for (int turn = 0; turn < 10; ++turn) {
    place = (place + 4) % kInstances;
    const auto arrivals = [place](core::RandomSource& /*aRandom*/) { return place; };
    admitted += Offer(fleet, random, arrivals, 2.0, std::chrono::seconds(5));
  }
  CHECK(admitted <= MaxAdmitted(std::chrono::seconds(50)));
  CHECK(admitted >= 0.4 * kLimit * 50.0);
}

TEST_CASE("the limit holds with unreachable instances, partitioned zones and lost answers")
{
  const std::chrono::seconds time(10);
  core::RandomSource random(3);
  harness::LimitFleet fleet(kInstances, {});
  double admitted = Offer(fleet, random, &Evenly, 3.0, time);
  const auto zoneOf = [](std::size_t aInstance) { return aInstance / 3; };
  std::array<harness::LimitFleet::Reaches, 4> networks = {
    [&](std::size_t aFrom, std::size_t aTo) { return zoneOf(aFrom) == zoneOf(aTo); },
    [](std::size_t aFrom, std::size_t aTo) { return aFrom != 0 && aTo != 0; },
    [](std::size_t aFrom, std::size_t aTo) { return aFrom <= aTo; },
    [](std::size_t /*aFrom*/, std::size_t /*aTo*/) { return true; },
  };
  for (const auto& network : networks) {
    fleet.SetReaches(network);
    admitted += Offer(fleet, random, &Evenly, 3.0, time);
    admitted += Offer(fleet, random, &AtOneInstance, 3.0, time);
  }
  CHECK(admitted <= MaxAdmitted(time * 9));
}

TEST_CASE("the limit holds for random arrivals and random message loss")
{
  REQUIRE(kSeeded == 0);
  CHECK(rc::check("random networks", [] {
    core::RandomSource random(*rc::gen::arbitrary<std::uint64_t>());
    harness::LimitFleet fleet(kInstances, {});
    double admitted = 0.0;
    const std::chrono::seconds time(2);
    for (int turn = 0; turn < 6; ++turn) {
      const std::uint64_t lost = random.Below(4);
      core::RandomSource network(random.Below(1'000'000));
      fleet.SetReaches(
        [network, lost](std::size_t, std::size_t) mutable { return network.Below(4) >= lost; });
      const std::size_t first = random.Below(kInstances);
      const std::size_t spread = 1 + random.Below(kInstances);
      const auto arrivals = [&](core::RandomSource& aRandom) {
        return (first + aRandom.Below(spread)) % kInstances;
      };
      admitted += Offer(fleet, random, arrivals, 4.0, time);
      RC_ASSERT(admitted <= MaxAdmitted(time * (turn + 1)));
    }
  }));
}

TEST_CASE(
  "a token limit counts the tokens a request may cost, and a negative level delays the next")
{
  core::ManualClock clock;
  limits::WorkspaceBuckets buckets({}, core::InstanceId("only"));
  const config::WorkspaceLimit limit{ 0.0, 100.0 };
  CHECK(buckets.Admit(kWorkspace, limit, core::TokenCount(1000), clock.Now()).admitted);
  const auto refused = buckets.Admit(kWorkspace, limit, core::TokenCount(1), clock.Now());
  CHECK_FALSE(refused.admitted);
  // The single instance has only the reserve of 10 tokens per second until it has a lease.
  CHECK(refused.RetryAfter() == std::chrono::seconds(60));
  clock.Advance(std::chrono::seconds(101));
  CHECK(buckets.Admit(kWorkspace, limit, core::TokenCount(1), clock.Now()).admitted);
}

TEST_CASE("no state is kept for workspaces without a limit or without recent requests")
{
  core::ManualClock clock;
  limits::WorkspaceBuckets buckets({}, core::InstanceId("only"));
  CHECK(buckets.Admit(kWorkspace, {}, core::TokenCount(1), clock.Now()).admitted);
  CHECK(buckets.Size() == 0);
  CHECK(buckets.Admit(kWorkspace, kRequests, core::TokenCount(1), clock.Now()).admitted);
  CHECK(buckets.Size() == 1);
  clock.Advance(std::chrono::minutes(1));
  buckets.MakeReports(clock.Now());
  CHECK(buckets.Size() == 0);
}

TEST_CASE("malformed messages are rejected")
{
  const std::string report = limits::EncodeReport(
    { core::InstanceId("entry-1"), { { limits::WorkspaceHash(7), 0.5F, 0.25F } } });
  const auto read = limits::DecodeReport(report);
  REQUIRE(read.ok());
  CHECK(read->lines.front().inUse == doctest::Approx(0.25));
  for (std::size_t length = 0; length < report.size(); ++length) {
    CHECK_FALSE(limits::DecodeReport(report.substr(0, length)).ok());
  }
  CHECK_FALSE(limits::DecodeGrant("no grant").ok());
}
