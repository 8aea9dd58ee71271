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
Instances(int aCount)
{
  std::vector<core::InstanceId> instances;
  instances.reserve(static_cast<std::size_t>(aCount));
  for (int number = 0; number < aCount; ++number) {
    instances.emplace_back("entry-" + std::to_string(number));
  }
  return instances;
}

std::vector<core::TargetId>
Engines(int aCount)
{
  std::vector<core::TargetId> engines;
  engines.reserve(static_cast<std::size_t>(aCount));
  for (int number = 0; number < aCount; ++number) {
    engines.emplace_back("engine-" + std::to_string(number));
  }
  return engines;
}

targets::EngineReport
Report(std::uint64_t aRunning, const std::string& aVersion = "1")
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
    this->owner.SetFleet(Instances(1), Engines(1));
    this->other.SetFleet(Instances(2), Engines(1));
  }

  core::ManualClock clock;
  core::TargetId engine{ "engine-0" };
  ReportExchange owner{ core::InstanceId("entry-0"), {} };
  ReportExchange other{ core::InstanceId("entry-1"), {} };
};

} // namespace

TEST_CASE("every engine of a zone has one owner among its instances")
{
  constexpr int kEngines = 86;
  for (const int instances : { 1, 3, 9, 59 }) {
    std::vector<int> owners(kEngines, 0);
    for (const core::InstanceId& self : Instances(instances)) {
      ReportExchange exchange(self, {});
      exchange.SetFleet(Instances(instances), Engines(kEngines));
      for (int engine = 0; engine < kEngines; ++engine) {
        owners[static_cast<std::size_t>(engine)] +=
          exchange.Owns(Engines(kEngines)[static_cast<std::size_t>(engine)]) ? 1 : 0;
      }
    }
    CHECK(owners == std::vector<int>(kEngines, 1));
  }
}

TEST_CASE("an engine's load reaches an instance that did not poll it")
{
  TwoInstances zone;
  zone.owner.AdoptPolled(zone.engine, Report(1), zone.clock.Now());
  zone.other.AdoptPolled(zone.engine, Report(1), zone.clock.Now());
  zone.clock.Advance(milliseconds(500));
  zone.owner.AdoptPolled(zone.engine, Report(7), zone.clock.Now());
  zone.clock.Advance(milliseconds(300));
  const auto records = zone.owner.MakeRecords(zone.clock.Now());

  SUBCASE("with the time at which the engine gave it")
  {
    CHECK(zone.other.AdoptRecords(records, zone.clock.Now()));
    const auto report = zone.other.Find(zone.engine);
    REQUIRE(report.has_value());
    CHECK(report->report.running == 7);
    CHECK(report->reportedAt == zone.clock.Now() - milliseconds(300));
  }

  SUBCASE("and a late record does not undo a newer one")
  {
    zone.other.AdoptRecords(records, zone.clock.Now());
    auto late = records;
    late[0].age += milliseconds(200);
    late[0].running = 2;
    CHECK_FALSE(zone.other.AdoptRecords(late, zone.clock.Now()));
    CHECK(zone.other.Find(zone.engine)->report.running == 7);
  }

  SUBCASE("and an engine that cannot be reached is forgotten by all")
  {
    zone.owner.AdoptUnreachable(zone.engine, zone.clock.Now());
    zone.other.AdoptRecords(zone.owner.MakeRecords(zone.clock.Now()), zone.clock.Now());
    CHECK_FALSE(zone.other.Find(zone.engine).has_value());
  }
}

TEST_CASE("an engine that has become another is polled by every instance once")
{
  TwoInstances zone;
  zone.other.AdoptPolled(zone.engine, Report(1, "1"), zone.clock.Now());
  zone.clock.Advance(milliseconds(600));
  zone.owner.AdoptPolled(zone.engine, Report(1, "2"), zone.clock.Now());
  zone.other.AdoptRecords(zone.owner.MakeRecords(zone.clock.Now()), zone.clock.Now());
  CHECK(zone.other.TakeDuePolls(zone.clock.Now()).size() == 1);
  CHECK(zone.other.TakeDuePolls(zone.clock.Now()).empty());
  zone.other.AdoptPolled(zone.engine, Report(1, "2"), zone.clock.Now());
  zone.clock.Advance(milliseconds(600));
  CHECK(zone.other.Find(zone.engine)->report.version == "2");
  CHECK(zone.other.TakeDuePolls(zone.clock.Now()).size() == (zone.other.Owns(zone.engine) ? 1 : 0));
}

TEST_CASE("an instance that hears nothing polls every engine itself")
{
  core::ManualClock clock;
  ReportExchange exchange(core::InstanceId("entry-0"), {});
  exchange.SetFleet(Instances(9), Engines(20));
  CHECK(exchange.TakeDuePolls(clock.Now()).size() == 20);
  for (const core::TargetId& engine : Engines(20)) {
    exchange.AdoptPolled(engine, Report(0), clock.Now());
  }
  clock.Advance(std::chrono::seconds(1));
  for (const core::TargetId& engine : exchange.TakeDuePolls(clock.Now())) {
    CHECK(exchange.Owns(engine));
    exchange.AdoptPolled(engine, Report(0), clock.Now());
  }
  clock.Advance(std::chrono::seconds(11));
  CHECK(exchange.TakeDuePolls(clock.Now()).size() == 20);
}

TEST_CASE("an engine that does not answer gathers no polls")
{
  core::ManualClock clock;
  ReportExchange exchange(core::InstanceId("entry-0"), {});
  exchange.SetFleet({}, Engines(1));
  CHECK(exchange.TakeDuePolls(clock.Now()).size() == 1);
  clock.Advance(std::chrono::seconds(60));
  CHECK(exchange.TakeDuePolls(clock.Now()).empty());
  exchange.AdoptUnreachable(Engines(1)[0], clock.Now());
  CHECK(exchange.TakeDuePolls(clock.Now()).size() == 1);
}

TEST_CASE("load records are read as they were written, and a cut message is refused")
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
