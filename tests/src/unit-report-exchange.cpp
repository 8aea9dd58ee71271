#include <doctest/doctest.h>

#include <rapidcheck.h>

#include <plantainslip/control/errors.hpp>
#include <plantainslip/control/report_exchange.hpp>
#include <plantainslip/core/random.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using control::ReportExchange;
using std::chrono::milliseconds;

namespace {

std::vector<core::InstanceId>
MakeInstances(int aCount)
{
  std::vector<core::InstanceId> instances;
  instances.reserve(static_cast<std::size_t>(aCount));
  for (int number = 0; number < aCount; ++number) {
    instances.emplace_back("entry-" + std::to_string(number));
  }
  return instances;
}

std::vector<core::TargetId>
MakeEngines(int aCount)
{
  std::vector<core::TargetId> engines;
  engines.reserve(static_cast<std::size_t>(aCount));
  for (int number = 0; number < aCount; ++number) {
    engines.emplace_back("engine-" + std::to_string(number));
  }
  return engines;
}

targets::EngineReport
MakeReport(std::uint64_t aRunning, const std::string& aVersion = "1")
{
  targets::EngineReport report;
  report.model = "m";
  report.version = aVersion;
  report.running = aRunning;
  return report;
}

struct TwoInstances
{
  TwoInstances()
  {
    this->owner.SetFleet(MakeInstances(1), MakeEngines(1));
    this->other.SetFleet(MakeInstances(2), MakeEngines(1));
  }

  core::ManualClock clock;
  core::TargetId engine{ "engine-0" };
  ReportExchange owner{ core::InstanceId("entry-0"), {} };
  ReportExchange other{ core::InstanceId("entry-1"), {} };
};

} // namespace

TEST_CASE("every engine of a zone has exactly one owner among the instances")
{
  constexpr int kEngines = 86;
  for (const int instances : { 1, 3, 9, 59 }) {
    std::vector<int> owners(kEngines, 0);
    for (const core::InstanceId& self : MakeInstances(instances)) {
      ReportExchange exchange(self, {});
      exchange.SetFleet(MakeInstances(instances), MakeEngines(kEngines));
      for (int engine = 0; engine < kEngines; ++engine) {
        owners[static_cast<std::size_t>(engine)] +=
          exchange.Owns(MakeEngines(kEngines)[static_cast<std::size_t>(engine)]) ? 1 : 0;
      }
    }
    CHECK(owners == std::vector<int>(kEngines, 1));
  }
}

TEST_CASE("load records pass an engine's load to an instance that has not polled it")
{
  TwoInstances zone;
  zone.owner.SetPolledReport(zone.engine, MakeReport(1), zone.clock.Now());
  zone.other.SetPolledReport(zone.engine, MakeReport(1), zone.clock.Now());
  zone.clock.Advance(milliseconds(500));
  zone.owner.SetPolledReport(zone.engine, MakeReport(7), zone.clock.Now());
  zone.clock.Advance(milliseconds(300));
  const auto records = zone.owner.MakeRecords(zone.clock.Now());

  SUBCASE("the report keeps the time at which the engine was polled")
  {
    CHECK(zone.other.MergeRecords(records, zone.clock.Now()));
    const auto report = zone.other.Find(zone.engine);
    REQUIRE(report.has_value());
    CHECK(report->report.running == 7);
    CHECK(report->reportedAt == zone.clock.Now() - milliseconds(300));
  }

  SUBCASE("an older record that arrives late is ignored")
  {
    zone.other.MergeRecords(records, zone.clock.Now());
    auto late = records;
    late[0].age += milliseconds(200);
    late[0].running = 2;
    CHECK_FALSE(zone.other.MergeRecords(late, zone.clock.Now()));
    CHECK(zone.other.Find(zone.engine)->report.running == 7);
  }

  SUBCASE("the report of an unreachable engine is removed")
  {
    zone.owner.SetUnreachable(zone.engine, zone.clock.Now());
    zone.other.MergeRecords(zone.owner.MakeRecords(zone.clock.Now()), zone.clock.Now());
    CHECK_FALSE(zone.other.Find(zone.engine).has_value());
  }
}

TEST_CASE("an instance polls an engine once after a record with a changed identity")
{
  TwoInstances zone;
  zone.other.SetPolledReport(zone.engine, MakeReport(1, "1"), zone.clock.Now());
  zone.clock.Advance(milliseconds(600));
  zone.owner.SetPolledReport(zone.engine, MakeReport(1, "2"), zone.clock.Now());
  zone.other.MergeRecords(zone.owner.MakeRecords(zone.clock.Now()), zone.clock.Now());
  CHECK(zone.other.StartDuePolls(zone.clock.Now()).size() == 1);
  CHECK(zone.other.StartDuePolls(zone.clock.Now()).empty());
  zone.other.SetPolledReport(zone.engine, MakeReport(1, "2"), zone.clock.Now());
  zone.clock.Advance(milliseconds(600));
  CHECK(zone.other.Find(zone.engine)->report.version == "2");
  CHECK(zone.other.StartDuePolls(zone.clock.Now()).size() ==
        (zone.other.Owns(zone.engine) ? 1 : 0));
}

TEST_CASE("an instance that receives no records polls every engine itself")
{
  core::ManualClock clock;
  ReportExchange exchange(core::InstanceId("entry-0"), {});
  exchange.SetFleet(MakeInstances(9), MakeEngines(20));
  CHECK(exchange.StartDuePolls(clock.Now()).size() == 20);
  for (const core::TargetId& engine : MakeEngines(20)) {
    exchange.SetPolledReport(engine, MakeReport(0), clock.Now());
  }
  clock.Advance(std::chrono::seconds(1));
  for (const core::TargetId& engine : exchange.StartDuePolls(clock.Now())) {
    CHECK(exchange.Owns(engine));
    exchange.SetPolledReport(engine, MakeReport(0), clock.Now());
  }
  clock.Advance(std::chrono::seconds(11));
  CHECK(exchange.StartDuePolls(clock.Now()).size() == 20);
}

TEST_CASE("an engine is not polled again while a poll is in flight")
{
  core::ManualClock clock;
  ReportExchange exchange(core::InstanceId("entry-0"), {});
  exchange.SetFleet({}, MakeEngines(1));
  CHECK(exchange.StartDuePolls(clock.Now()).size() == 1);
  clock.Advance(std::chrono::seconds(60));
  CHECK(exchange.StartDuePolls(clock.Now()).empty());
  exchange.SetUnreachable(MakeEngines(1)[0], clock.Now());
  CHECK(exchange.StartDuePolls(clock.Now()).size() == 1);
}

TEST_CASE("load records survive a round trip, and a truncated message is rejected")
{
  CHECK(rc::check("records", [](std::uint32_t aTarget, std::uint16_t aRunning, std::uint8_t aAge) {
    control::LoadRecord record;
    record.target = aTarget;
    record.identity = 3;
    record.running = aRunning;
    record.age = milliseconds(100) * aAge;
    const std::string bytes = control::FormatLoadRecords({ record, record });
    const auto read = control::ParseLoadRecords(bytes);
    RC_ASSERT(read.ok());
    RC_ASSERT(read->size() == 2U);
    RC_ASSERT((*read)[1].target == aTarget);
    RC_ASSERT((*read)[1].running == aRunning);
    RC_ASSERT((*read)[1].age == record.age);
    RC_ASSERT(core::IsError(control::ParseLoadRecords(bytes.substr(1)).status(),
                            control::errors::kBadMessage));
  }));
}
