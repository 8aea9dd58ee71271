#include <doctest/doctest.h>

#include <fakes/expected_answer.hpp>
#include <harness/small_fleet.hpp>

#include <plantainslip/claims/claim_key.hpp>
#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/random.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

const char* const kBearer = "Bearer test-operator-key";

json
ReaderConfiguration()
{
  return { { "deployments", { { "reader", { { "model", "m" }, { "version", "1" } } } } },
           { "services", { { "payments", { { "repeatable", false } } } } },
           { "targets", { { "engine-1", { { "deployment", "reader" } } } } } };
}

bool
AnswersWhole(const harness::ChildProcess& aEntry)
{
  const auto answer = harness::Complete(
    aEntry, { { "model", "reader" }, { "prompt", "p" }, { "max_tokens", 5 }, { "stream", true } });
  return answer.whole && answer.text == fakes::ExpectedAnswer("m@1", "p", 5);
}

json
ReadFleet(const harness::ChildProcess& aEntry)
{
  return json::parse(
    harness::Send(aEntry, "GET", "/v1/operator/fleet", nullptr, { { "Authorization", kBearer } })
      .body,
    nullptr,
    false);
}

// Finds what an entry instance says of one instance or target.
json
Describe(const harness::ChildProcess& aEntry, const char* aKind, const std::string& aName)
{
  const json fleet = ReadFleet(aEntry);
  if (fleet.is_object()) {
    for (const json& line : fleet.at(aKind)) {
      if (line.at("name") == aName) {
        return line;
      }
    }
  }
  return nullptr;
}

void
SetPlatformDown(harness::SmallFleet& aFleet, bool aDown)
{
  harness::Send(aFleet.Platform(), "POST", "/v1/faults", { { "down", aDown } });
}

bool
KnowsPeer(const harness::ChildProcess& aEntry, const std::string& aName, bool aAlive)
{
  const json line = Describe(aEntry, "instances", aName);
  return line.is_object() && line.value("alive", !aAlive) == aAlive;
}

} // namespace

TEST_CASE("a zone that is cut off from the platform")
{
  harness::SmallFleet fleet;
  auto& first = fleet.AddEntry("entry-1", "a");
  auto& second = fleet.AddEntry("entry-2", "a");
  fleet.AddController("entry-1", "a");
  fleet.AddEngine("engine-1", "a");
  auto& service = fleet.AddService("payments-1", "a", "payments");
  REQUIRE(harness::SmallFleet::Patch(first, 0, ReaderConfiguration()) == 200);
  harness::SmallFleet::AwaitVersion(second, 1);
  harness::Await("both answer", [&] { return AnswersWhole(first) && AnswersWhole(second); });
  SetPlatformDown(fleet, true);

  SUBCASE("goes on answering, refuses claims as not run, and keeps its configuration")
  {
    CHECK(AnswersWhole(first));
    CHECK(AnswersWhole(second));
    const std::string key =
      claims::FormatClaimKey(core::SystemClock().WallNow(), 1, core::MakeSeed()).Text();
    const auto refused = harness::Send(
      first, "POST", "/v1/services/payments/pay", { { "fee", 1 } }, { { "Idempotency-Key", key } });
    CHECK(refused.status >= 400);
    CHECK(json::parse(refused.body, nullptr, false).value("outcome", "") == "not_run");
    CHECK(json::parse(harness::Send(service, "GET", "/v1/runs").body).empty());
    CHECK(ReadFleet(second).value("version", 0) == 1);
  }

  SUBCASE("starts a new entry instance without the store, from its peers")
  {
    auto& third = fleet.AddEntry("entry-3", "a", { "--seeds", first.PeerAddress().Text() });
    harness::SmallFleet::AwaitVersion(third, 1);
    harness::Await("the new instance answers", [&] { return AnswersWhole(third); });
    harness::Await("others know the new instance",
                   [&] { return KnowsPeer(second, "entry-3", true); });
  }

  SUBCASE("knows that an entry instance was killed")
  {
    harness::Await("the peers know each other", [&] { return KnowsPeer(first, "entry-2", true); });
    second.Signal(SIGKILL);
    harness::Await("the killed instance is dead",
                   [&] { return KnowsPeer(first, "entry-2", false); });
  }

  SUBCASE("takes patches again when the store comes back")
  {
    CHECK(harness::SmallFleet::Patch(first, 1, { { "weights", { { "goodput", 2 } } } }) >= 500);
    SetPlatformDown(fleet, false);
    harness::Await("a patch is taken", [&] {
      return harness::SmallFleet::Patch(first, 1, { { "weights", { { "goodput", 2 } } } }) == 200;
    });
    harness::SmallFleet::AwaitVersion(first, 2);
    harness::SmallFleet::AwaitVersion(second, 2);
    const auto history = harness::Send(
      second, "GET", "/v1/operator/history", nullptr, { { "Authorization", kBearer } });
    CHECK(json::parse(history.body).at("history").size() == 2);
  }
}

TEST_CASE("a leaving target")
{
  harness::SmallFleet fleet;
  auto& first = fleet.AddEntry("entry-1", "a");
  auto& second = fleet.AddEntry("entry-2", "a");
  fleet.AddController("entry-1", "a");
  fleet.AddEngine("engine-1", "a");
  REQUIRE(harness::SmallFleet::Patch(first, 0, ReaderConfiguration()) == 200);
  harness::Await("both answer", [&] { return AnswersWhole(first) && AnswersWhole(second); });
  const auto isLeaving = [](const harness::ChildProcess& aEntry) {
    const json line = Describe(aEntry, "targets", "engine-1");
    return line.is_object() && line.value("leaving", false);
  };
  const json mark = { { "name", "engine-1" }, { "leaving", true } };

  SUBCASE("gets no new work once the platform's list says so")
  {
    harness::Send(fleet.Platform(), "POST", "/v1/instances", mark);
    harness::Await("both know", [&] { return isLeaving(first) && isLeaving(second); });
    CHECK_FALSE(AnswersWhole(first));
    CHECK_FALSE(AnswersWhole(second));
  }

  SUBCASE("stays marked when the list falls back to an older reading")
  {
    harness::Send(fleet.Platform(), "POST", "/v1/instances", mark);
    harness::Await("both know", [&] { return isLeaving(first) && isLeaving(second); });
    harness::Send(
      fleet.Platform(), "POST", "/v1/instances", { { "name", "engine-1" }, { "leaving", false } });
    auto& late = fleet.AddEntry("entry-3", "a");
    harness::Await("an instance that never saw the mark in the list has it from its peers",
                   [&] { return isLeaving(late); });
    CHECK(isLeaving(first));
    CHECK(isLeaving(second));
  }
}
