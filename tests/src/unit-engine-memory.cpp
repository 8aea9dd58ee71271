#include <doctest/doctest.h>

#include <set>

#include <plantainslip/serving/admission_rule.hpp>
#include <plantainslip/serving/peer_message.hpp>

using namespace plantainslip;
using namespace plantainslip::serving;
using namespace std::chrono_literals;

namespace {

const core::ServiceName kService("models");
const core::ZoneId kZone("a");

// Two engines that decode, with room for 1,000 tokens each.
struct Engines
{
  Engines()
  {
    ServingConfig config;
    Service service{ kService, 100, EngineLimits{}, {} };
    service.engine->cacheTokens = 1'000;
    config.services[kService] = service;
    this->fleet.config = std::make_shared<const ServingConfig>(config);
    for (const char* const name : { "e1", "e2" }) {
      Target target;
      target.id = core::TargetId(name);
      target.service = kService;
      target.zone = kZone;
      target.stage = EngineStage::kDecode;
      target.slots = 4;
      this->fleet.targets[target.id] = target;
    }
  }

  void Hold(const std::string& aEngine, double aTokens, double aRequests = 1.0)
  {
    TargetLoad load;
    load.requests = aRequests;
    load.heldTokens = aTokens;
    this->loads.Add(core::TargetId(aEngine), load);
  }

  std::string Choose(double aTokens) const
  {
    const PlacementView view{ this->fleet,   this->loads,  this->health, this->prefill,
                              this->notices, this->limits, kZone,        core::MonotonicTime(1s) };
    const auto chosen = ChooseDecode(view, kService, kZone, {}, aTokens);
    return chosen.has_value() ? chosen->id.Text() : "";
  }

  FleetSnapshot fleet;
  LoadTracker loads;
  TargetHealth health;
  PrefillModel prefill;
  TargetNotices notices;
  TargetLimits limits;
};

} // namespace

TEST_CASE("memory: an engine whose memory a request would exceed is not chosen, though less busy")
{
  Engines engines;
  engines.Hold("e1", 900.0, 1.0);
  engines.Hold("e2", 300.0, 3.0);
  CHECK(engines.Choose(100.0) == "e1");
  CHECK(engines.Choose(101.0) == "e2");
  CHECK(engines.Choose(701.0).empty());
  // Without a stated size the choice is by load alone.
  CHECK(engines.Choose(0.0) == "e1");
}

TEST_CASE("memory: tokens that peers hold count, and are part of their messages")
{
  Engines engines;
  PeerMessage message;
  message.sender = core::InstanceId("peer");
  TargetLoad load;
  load.requests = 1.0;
  load.heldTokens = 640.0;
  message.loads[core::TargetId("e1")] = load;
  message.loads[core::TargetId("e2")] = TargetLoad{ 2.0, {} };
  const auto read = DecodePeerMessage(EncodePeerMessage(message));
  REQUIRE(read.ok());
  CHECK(read->loads == message.loads);
  CHECK(read->heldToken.Number() == 0);
  engines.loads.SetPeerReport(read->sender, read->loads, core::MonotonicTime(1s));
  CHECK(engines.Choose(361.0) == "e2");
}

TEST_CASE("lease: a peer message names the token of its sender, with or without held memory")
{
  PeerMessage message;
  message.sender = core::InstanceId("peer");
  message.heldToken = core::FencingToken(77);
  auto read = DecodePeerMessage(EncodePeerMessage(message));
  REQUIRE(read.ok());
  CHECK(read->heldToken.Number() == 77);
  message.heldToken = core::FencingToken(0);
  read = DecodePeerMessage(EncodePeerMessage(message));
  REQUIRE(read.ok());
  CHECK(read->heldToken.Number() == 0);
}

TEST_CASE("refusal: the delay is at most a third of the time left, and differs between requests")
{
  std::set<milliseconds> delays;
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    const milliseconds delay = SpreadRetryDelay(300ms, 3'000ms, seed);
    CHECK(delay >= 225ms);
    CHECK(delay <= 375ms);
    delays.insert(delay);
    CHECK(SpreadRetryDelay(300ms, 600ms, seed) == 200ms);
  }
  CHECK(delays.size() > 20);
}
