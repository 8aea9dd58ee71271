#include <doctest/doctest.h>

#include <deque>

#include <plantainslip/serving/target_limits.hpp>

using namespace plantainslip;          // NOLINT(google-build-using-namespace)
using namespace plantainslip::serving; // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

const TargetProcess kTarget{ core::TargetId("t"), 100 };

core::InstanceId
Instance(std::size_t aNumber)
{
  return core::InstanceId("i-" + std::to_string(aNumber));
}

/// Instances that all know each other.
std::vector<TargetLimits>
MakeInstances(std::size_t aCount)
{
  std::vector<TargetLimits> instances(aCount);
  for (std::size_t number = 0; number < aCount; ++number) {
    std::vector<core::InstanceId> peers;
    for (std::size_t other = 0; other < aCount; ++other) {
      if (other != number) {
        peers.push_back(Instance(other));
      }
    }
    instances[number].SetInstances(Instance(number), std::move(peers));
  }
  return instances;
}

void
Exchange(std::vector<TargetLimits>& aInstances, core::MonotonicTime aNow)
{
  for (const TargetLimits& from : aInstances) {
    for (const RateStatement& statement : from.News(aNow)) {
      for (TargetLimits& to : aInstances) {
        to.Merge(statement, aNow);
      }
    }
  }
}

} // namespace

TEST_CASE("all instances together keep within the rate that a target states, and use it")
{
  for (const std::size_t count : { 1U, 3U, 9U, 81U }) {
    for (const double rate : { 0.4, 1.0, 2.5, 9.1, 40.0 }) {
      CAPTURE(count);
      CAPTURE(rate);
      std::vector<TargetLimits> instances = MakeInstances(count);
      core::MonotonicTime now = core::MonotonicTime{} + 60s;
      CHECK(instances[0].Record(kTarget, rate, now));
      std::deque<core::MonotonicTime> window;
      std::size_t most = 0;
      std::size_t total = 0;
      constexpr auto kDuration = 40s;
      const core::MonotonicTime end = now + kDuration;
      for (; now < end; now += 10ms) {
        Exchange(instances, now);
        for (TargetLimits& instance : instances) {
          if (instance.TryTake(kTarget, now)) {
            window.push_back(now);
            ++total;
            instance.Record(kTarget, rate, now);
          }
        }
        while (!window.empty() && now - window.front() > 4s) {
          window.pop_front();
        }
        most = std::max(most, window.size());
      }
      // The users' bound: one and a half times the rate, and five requests, in four seconds.
      CHECK(static_cast<double>(most) <= 1.5 * 4.0 * rate + 5.0);
      CHECK(static_cast<double>(total) >= 0.8 * rate * 40.0 - 1.0);
    }
  }
}

TEST_CASE("the limit of a target")
{
  std::vector<TargetLimits> instances = MakeInstances(2);
  const core::MonotonicTime now = core::MonotonicTime{} + 60s;
  CHECK(instances[0].Record(kTarget, 1.0, now));
  Exchange(instances, now);
  SUBCASE("is owned by one instance if it is too low for more")
  {
    CHECK((instances[0].TryTake(kTarget, now + 1s) != instances[1].TryTake(kTarget, now + 1s)));
  }
  SUBCASE("tells how long to wait")
  {
    for (const TargetLimits& instance : instances) {
      CHECK(instance.Wait(kTarget, now) == 1s);
    }
  }
  SUBCASE("ends for all instances once a response does not state it any more")
  {
    CHECK(instances[1].Record(kTarget, std::nullopt, now + 2s));
    Exchange(instances, now + 2s);
    for (TargetLimits& instance : instances) {
      CHECK(instance.Wait(kTarget, now + 2s) == 0ms);
      CHECK(instance.TryTake(kTarget, now + 2s));
      CHECK(instance.TryTake(kTarget, now + 2s));
    }
  }
  SUBCASE("is not replaced by an older statement")
  {
    instances[0].Merge({ kTarget, std::nullopt, 500ms }, now + 400ms);
    CHECK(instances[0].Wait(kTarget, now + 400ms) > 0ms);
  }
  SUBCASE("holds for one process")
  {
    CHECK(instances[0].TryTake({ kTarget.id, 101 }, now));
  }
}
