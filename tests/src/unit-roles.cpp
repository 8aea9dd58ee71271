#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <harness/faulty_engine.hpp>

#include <plantainslip/core/random.hpp>
#include <plantainslip/roles/demand_roles.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

namespace {

using roles::PhaseDemand;
using targets::EngineRole;

constexpr int kReadingSeconds = 2;

// Estimate from readings of a constant level with uniform noise of up to a third.
roles::DemandEstimate
Estimate(const PhaseDemand& aDemand, std::uint64_t aSeed, int aSeconds = 600)
{
  roles::DemandEstimate estimate;
  core::RandomSource random(aSeed);
  const auto factor = [&] { return 0.67 + double(random.Below(660)) / 1000.0; };
  for (int second = 0; second < aSeconds; second += kReadingSeconds) {
    estimate.Observe(core::MonotonicTime(std::chrono::seconds(second)),
                     { aDemand.prefill * factor(), aDemand.decode * factor() });
  }
  return estimate;
}

roles::PlannerOptions
UnitCapacityOptions()
{
  roles::PlannerOptions options;
  options.capacity = { 1.0, 1.0 };
  return options;
}

} // namespace

TEST_CASE("the planner changes roles when the gain exceeds the cost")
{
  const config::PlannerWeights weights;

  SUBCASE("a lasting shift of demand to prefill moves engines to prefill")
  {
    const auto split =
      roles::PlanSplit(UnitCapacityOptions(), weights, Estimate({ 6, 5 }, 1), { 4, 8 });
    CHECK(split.prefill >= 6);
    CHECK(split.prefill + split.decode == 12);
  }
  SUBCASE("a high weight of role changes keeps the split")
  {
    const config::PlannerWeights costlyChanges{ 1.0, 1000.0 };
    CHECK(roles::PlanSplit(UnitCapacityOptions(), costlyChanges, Estimate({ 6, 5 }, 1), { 4, 8 })
            .prefill == 4);
  }
  SUBCASE("a few readings cause no change")
  {
    const auto estimate = Estimate({ 6, 5 }, 1, 30);
    CHECK(roles::PlanSplit(UnitCapacityOptions(), weights, estimate, { 4, 8 }).prefill == 4);
  }
}

TEST_CASE("noise alone causes no role change")
{
  rc::check("noise only", [] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
    const PhaseDemand demand{ 0.33 * 0.9 * 12, 0.67 * 0.9 * 12 };
    const auto split =
      roles::PlanSplit(UnitCapacityOptions(), {}, Estimate(demand, seed), { 4, 8 });
    RC_ASSERT(split.prefill == 4U);
  });
}

TEST_CASE("both phases have an engine for any demand")
{
  rc::check("both phases", [] {
    const auto engines = *rc::gen::inRange<std::size_t>(2, 30);
    const PhaseDemand demand{ double(*rc::gen::inRange(0, 60)), double(*rc::gen::inRange(0, 60)) };
    RC_PRE(demand.prefill + demand.decode > 0.0);
    std::vector<roles::PlannedEngine> planned;
    for (std::size_t number = 0; number < engines; ++number) {
      const auto role =
        *rc::gen::element(EngineRole::kMixed, EngineRole::kPrefill, EngineRole::kDecode);
      planned.push_back({ core::TargetId("e" + std::to_string(number)), role, number });
    }
    std::size_t prefill = 0;
    std::size_t decode = 0;
    for (const auto& [target, role] :
         roles::PlanRoles(UnitCapacityOptions(), {}, Estimate(demand, 1), planned)) {
      prefill += role == EngineRole::kPrefill ? 1U : 0U;
      decode += role == EngineRole::kDecode ? 1U : 0U;
    }
    RC_ASSERT(prefill > 0U);
    RC_ASSERT(decode > 0U);
    RC_ASSERT(prefill + decode == engines);
  });
}

TEST_CASE("roles are planned from the demand counted by entry instances")
{
  core::ManualClock clock;
  harness::MemoryPeers peers;
  roles::DemandCounter counter;
  const core::DeploymentName reader("reader");
  peers.Answer(7, roles::kDemandKind, [&](const std::string&) {
    return roles::FormatDigest(counter.Digest());
  });
  platform::ListedInstance entry;
  entry.name = "x1";
  entry.peerAddress = { "127.0.0.1", 7 };
  roles::DemandRolesOptions options;
  options.planner.capacity = { 1000.0, 100.0 };
  roles::DemandRoles planner(peers, clock, options);
  // Per second 4,000 prompt tokens, the capacity of four engines, and 100 generated tokens, that of
  // one.
  for (int second = 0; second < 300; ++second) {
    counter.CountRequest(reader, 16'000);
    counter.CountAnswer(reader, core::TokenCount(100));
    planner.RefreshDemand({ entry });
    clock.Advance(std::chrono::seconds(1));
  }
  std::vector<authority::RoleCandidate> candidates;
  candidates.reserve(5);
  for (int number = 0; number < 5; ++number) {
    candidates.push_back({ core::TargetId("e" + std::to_string(number)),
                           reader,
                           number < 2 ? EngineRole::kPrefill : EngineRole::kDecode,
                           0 });
  }
  std::size_t prefill = 0;
  for (const auto& [target, role] : planner.Plan({}, candidates)) {
    prefill += role == EngineRole::kPrefill ? 1U : 0U;
  }
  CHECK(prefill == 4);
  CHECK_FALSE(roles::ParseDigest("no CBOR").ok());
}
