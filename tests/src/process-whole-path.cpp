#include <doctest/doctest.h>

#include <future>

#include <fakes/expected_answer.hpp>
#include <harness/small_fleet.hpp>

#include <plantainslip/claims/claim_key.hpp>
#include <plantainslip/core/random.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

json
ReaderConfiguration(const std::string& aVersion)
{
  return { { "deployments", { { "reader", { { "model", "m" }, { "version", aVersion } } } } },
           { "services", { { "payments", { { "repeatable", false } } } } },
           { "targets", { { "engine-1", { { "deployment", "reader" } } } } } };
}

json
Prompt(std::uint64_t aTokens)
{
  return {
    { "model", "reader" }, { "prompt", "p" }, { "max_tokens", aTokens }, { "stream", true }
  };
}

void
AwaitWholeAnswer(const harness::ChildProcess& aEntry, const std::string& aExpected)
{
  harness::Await("the answer is whole", [&] {
    const auto answer = harness::Complete(aEntry, Prompt(5));
    return answer.whole && answer.text == aExpected;
  });
}

} // namespace

TEST_CASE("the whole path as separate processes")
{
  harness::SmallFleet fleet;
  auto& entry = fleet.AddEntry("entry-1", "a");
  fleet.AddController("entry-1", "a");
  fleet.AddEngine("engine-1", "a");
  auto& service = fleet.AddService("payments-1", "a", "payments");
  REQUIRE(harness::SmallFleet::Patch(entry, 0, ReaderConfiguration("1")) == 200);
  AwaitWholeAnswer(entry, fakes::ExpectedAnswer("m@1", "p", 5));

  SUBCASE("a caller without streaming gets the whole answer as one object")
  {
    json request = Prompt(5);
    request["stream"] = false;
    const auto reply = harness::Send(entry, "POST", "/v1/completions", request);
    CHECK(reply.status == 200);
    const json answer = json::parse(reply.body);
    CHECK(answer["choices"][0]["text"] == fakes::ExpectedAnswer("m@1", "p", 5));
  }

  SUBCASE("a patch against the present version changes what is served")
  {
    REQUIRE(harness::SmallFleet::Patch(entry, 1, ReaderConfiguration("2")) == 200);
    AwaitWholeAnswer(entry, fakes::ExpectedAnswer("m@2", "p", 5));
  }

  SUBCASE("a patch against an older version is refused")
  {
    CHECK(harness::SmallFleet::Patch(entry, 0, { { "weights", { { "goodput", 2 } } } }) == 200);
    const json other = { { "patch", "other" },
                         { "base", 0 },
                         { "author", "test" },
                         { "change", { { "weights", { { "goodput", 3 } } } } } };
    const auto reply =
      harness::Send(entry,
                    "POST",
                    "/v1/operator/patches",
                    other,
                    { { "Authorization", std::string("Bearer ") + harness::kOperatorKey } });
    CHECK(reply.status == 409);
  }

  SUBCASE("a payment with the same key runs once, and its answer is given again")
  {
    const std::string key =
      claims::FormatClaimKey(core::SystemClock().WallNow(), 1, core::MakeSeed()).Text();
    const std::vector<net::Header> headers = { { "Idempotency-Key", key } };
    const auto first =
      harness::Send(entry, "POST", "/v1/services/payments/pay", { { "fee", 1 } }, headers);
    const auto second =
      harness::Send(entry, "POST", "/v1/services/payments/pay", { { "fee", 1 } }, headers);
    CHECK(first.status == 200);
    CHECK(second.body == first.body);
    CHECK(json::parse(harness::Send(service, "GET", "/v1/runs").body) == json{ { key, 1 } });
  }

  SUBCASE("a call without the operators' key gets nothing")
  {
    CHECK(harness::Send(entry, "GET", "/v1/operator/fleet").status == 401);
  }

  SUBCASE("SIGTERM lets open requests end and then ends the process")
  {
    std::promise<void> begun;
    auto answer = std::async(std::launch::async, [&] {
      bool told = false;
      return harness::Complete(entry, Prompt(300), [&] {
        if (!told) {
          told = true;
          begun.set_value();
        }
      });
    });
    begun.get_future().wait();
    entry.Signal(SIGTERM);
    const auto whole = answer.get();
    CHECK(whole.whole);
    CHECK(whole.text == fakes::ExpectedAnswer("m@1", "p", 300));
    CHECK(entry.WaitForExit() == 0);
  }
}
