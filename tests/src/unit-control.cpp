#include <doctest/doctest.h>

#include <plantainslip/control/fleet_state.hpp>
#include <plantainslip/control/store_watch_policy.hpp>
#include <plantainslip/control/view_builder.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

namespace {

constexpr std::chrono::seconds kHour(3600);
constexpr std::chrono::seconds kWatchTimeout(5);

std::vector<core::InstanceId>
MakeZone(std::size_t aZone, std::size_t aSize)
{
  std::vector<core::InstanceId> zone;
  for (std::size_t number = 0; number < aSize; ++number) {
    zone.emplace_back("entry-" + std::to_string(aZone) + "-" + std::to_string(number));
  }
  return zone;
}

// Returns the number of calls to the store by a zone's instances in an hour without changes.
double
StoreCallsPerHour(std::size_t aZone, std::size_t aSize, core::RandomSource& aRandom)
{
  const auto zone = MakeZone(aZone, aSize);
  double calls = 0.0;
  for (const core::InstanceId& instance : zone) {
    if (control::ShouldWatch(zone, instance)) {
      calls += static_cast<double>(kHour / kWatchTimeout);
      continue;
    }
    std::chrono::milliseconds passed = control::NextPollDelay(aSize, aRandom);
    for (; passed < kHour; passed += control::NextPollDelay(aSize, aRandom)) {
      calls += 1.0;
    }
  }
  return calls;
}

} // namespace

TEST_CASE("the rate of configuration reads does not grow with the number of instances")
{
  core::RandomSource random(1);
  // Per zone: two watches that time out after 5 s, and one poll every 10 s.
  constexpr double kMaxRatePerZone = 0.5;
  for (const auto& [instances, zones] :
       { std::pair<std::size_t, std::size_t>{ 9, 3 }, { 59, 7 }, { 410, 7 } }) {
    double calls = 0.0;
    for (std::size_t zone = 0; zone < zones; ++zone) {
      const std::size_t size = instances / zones + (zone < instances % zones ? 1 : 0);
      calls += StoreCallsPerHour(zone, size, random);
    }
    const double rate = calls / static_cast<double>(kHour.count());
    MESSAGE(instances, " instances in ", zones, " zones: ", rate, " calls per second");
    CHECK(rate <= kMaxRatePerZone * 1.1 * static_cast<double>(zones));
  }
}

TEST_CASE("a zone of any size has kWatchersPerZone watchers, or all its instances if fewer")
{
  for (const std::size_t size : { 1U, 2U, 3U, 59U }) {
    const auto zone = MakeZone(0, size);
    std::size_t watchers = 0;
    for (const core::InstanceId& instance : zone) {
      watchers += control::ShouldWatch(zone, instance) ? 1U : 0U;
    }
    CHECK(watchers == std::min(size, control::kWatchersPerZone));
  }
}

TEST_CASE("view builder")
{
  control::ViewBuilder builder;

  SUBCASE("ignores a configuration that is not newer than the current one")
  {
    auto newer = std::make_shared<config::Configuration>();
    newer->version = core::ConfigVersion(5);
    auto older = std::make_shared<config::Configuration>();
    older->version = core::ConfigVersion(4);
    CHECK(builder.AdoptConfiguration(newer));
    CHECK_FALSE(builder.AdoptConfiguration(older));
    CHECK_FALSE(builder.AdoptConfiguration(newer));
    CHECK(builder.Build()->configuration->version == core::ConfigVersion(5));
  }

  SUBCASE("marks an engine as leaving if there is a leaving mark")
  {
    platform::ListedInstance listed;
    listed.name = "engine-1";
    listed.kind = platform::ListedKind::kEngine;
    builder.SetList({ listed });
    CHECK_FALSE(builder.Build()->engines.at(0).leaving);
    builder.SetMembership({}, { { "engine-1", 3, true } });
    CHECK(builder.Build()->engines.at(0).leaving);
  }

  SUBCASE("adds members that are not listed, and marks dead ones as not alive")
  {
    membership::MemberRecord member;
    member.instance = core::InstanceId("entry-1");
    member.address = { "127.0.0.1", 1 };
    member.state = membership::MemberState::kDead;
    builder.SetMembership({ member }, {});
    const auto view = builder.Build();
    REQUIRE(view->entries.size() == 1);
    CHECK_FALSE(view->entries[0].alive);
  }
}

TEST_CASE("fleet state request and response")
{
  control::FleetState state;
  state.version = core::ConfigVersion(3);
  state.record = { core::Revision(9), "{}" };
  platform::ListedInstance listed;
  listed.name = "payments-1";
  listed.kind = platform::ListedKind::kService;
  listed.service = core::ServiceName("payments");
  listed.address = { "127.0.0.1", 80 };
  state.list = { listed };
  state.marks = { { "engine-1", 2, true } };
  control::FleetStateBoard board;
  board.Publish(std::make_shared<control::FleetState>(state));
  const auto handler = control::MakeFleetStateHandler(board);

  SUBCASE("the response contains the record if the requester's version is older")
  {
    const auto read =
      control::ParseFleetState(*handler(control::FormatFleetStateRequest(core::ConfigVersion(2))));
    REQUIRE(read.ok());
    CHECK(read->record.value == "{}");
    CHECK(read->list.at(0).service.Text() == "payments");
    CHECK(read->marks == state.marks);
  }

  SUBCASE("the response leaves out the record if the requester has it")
  {
    const auto read =
      control::ParseFleetState(*handler(control::FormatFleetStateRequest(core::ConfigVersion(3))));
    REQUIRE(read.ok());
    CHECK(read->record.value.empty());
    CHECK(read->version == core::ConfigVersion(3));
  }

  SUBCASE("bytes that are not CBOR are rejected")
  {
    CHECK_FALSE(handler("\xff").ok());
    CHECK_FALSE(control::ParseFleetState("\xff").ok());
  }
}
