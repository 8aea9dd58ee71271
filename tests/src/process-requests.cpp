#include <doctest/doctest.h>

#include <future>
#include <vector>

#include <fakes/expected_answer.hpp>
#include <harness/small_fleet.hpp>

#include <plantainslip/routing/prompt_pieces.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

json
Configuration(const std::vector<std::string>& aEngines)
{
  json targets = json::object();
  for (const std::string& engine : aEngines) {
    targets[engine] = { { "deployment", "reader" } };
  }
  return { { "deployments", { { "reader", { { "model", "m" }, { "version", "1" } } } } },
           { "targets", targets } };
}

json
Prompt(const std::string& aText, std::uint64_t aTokens)
{
  return {
    { "model", "reader" }, { "prompt", aText }, { "max_tokens", aTokens }, { "stream", true }
  };
}

void
AwaitService(const harness::ChildProcess& aEntry)
{
  harness::Await("the fleet answers a request",
                 [&] { return harness::Complete(aEntry, Prompt("p", 1)).whole; });
}

std::uint64_t
ReadWork(const harness::ChildProcess& aEngine, const std::string& aField)
{
  return json::parse(harness::Send(aEngine, "GET", "/v1/work").body)
    .at(aField)
    .get<std::uint64_t>();
}

std::vector<std::string>
EngineFlags(std::vector<std::string> aFlags = {})
{
  aFlags.insert(aFlags.end(), { "--model", "m", "--model-version", "1" });
  return aFlags;
}

bool
IsNotRunRefusal(const harness::StreamedAnswer& aAnswer)
{
  const json problem = json::parse(aAnswer.raw, nullptr, false);
  return (aAnswer.status == 429 || aAnswer.status == 503) && problem.is_object() &&
         problem.value("outcome", "") == "not_run";
}

} // namespace

TEST_CASE(
  "requests beyond the engines' capacity are refused as not run, and the engines never start them")
{
  harness::SmallFleet fleet;
  auto& entry = fleet.AddEntry("entry-1", "a");
  auto& engine =
    fleet.AddEngine("engine-1", "a", EngineFlags({ "--slots", "2", "--token-interval-us", "500" }));
  REQUIRE(harness::SmallFleet::Patch(entry, 0, Configuration({ "engine-1" })) == 200);
  AwaitService(entry);
  const std::uint64_t before = ReadWork(engine, "begun");
  constexpr std::size_t kCallers = 60;
  std::vector<std::future<harness::StreamedAnswer>> calls;
  for (std::size_t caller = 0; caller < kCallers; ++caller) {
    calls.push_back(
      std::async(std::launch::async, [&] { return harness::Complete(entry, Prompt("p", 200)); }));
  }
  std::size_t answered = 0;
  std::size_t refused = 0;
  for (auto& call : calls) {
    const auto answer = call.get();
    const bool whole = answer.whole && answer.text == fakes::ExpectedAnswer("m@1", "p", 200);
    answered += whole ? 1U : 0U;
    refused += IsNotRunRefusal(answer) ? 1U : 0U;
  }
  CHECK(answered + refused == kCallers);
  CHECK(refused > 0);
  CHECK(ReadWork(engine, "begun") - before == answered);
}

TEST_CASE("prompts with a common prefix are routed to the engine that has it cached")
{
  harness::SmallFleet fleet;
  auto& entry = fleet.AddEntry("entry-1", "a");
  auto& first = fleet.AddEngine("engine-1", "a", EngineFlags({ "--cache-pieces", "50" }));
  auto& second = fleet.AddEngine("engine-2", "a", EngineFlags({ "--cache-pieces", "50" }));
  REQUIRE(harness::SmallFleet::Patch(entry, 0, Configuration({ "engine-1", "engine-2" })) == 200);
  AwaitService(entry);
  const std::string history(4 * routing::kPieceBytes, 'h');
  for (int call = 0; call < 5; ++call) {
    const std::string prompt = history + " question " + std::to_string(call);
    const auto answer = harness::Complete(entry, Prompt(prompt, 3));
    CHECK(answer.text == fakes::ExpectedAnswer("m@1", prompt, 3));
  }
  CHECK(ReadWork(first, "held_pieces") + ReadWork(second, "held_pieces") == 16);
}

TEST_CASE("requests in a zone without engines are forwarded to a peer in another zone")
{
  harness::SmallFleet fleet;
  auto& localEntry = fleet.AddEntry("entry-a", "a");
  auto& remoteEntry = fleet.AddEntry("entry-b", "b");
  auto& engine = fleet.AddEngine("engine-1", "b", EngineFlags());
  REQUIRE(harness::SmallFleet::Patch(remoteEntry, 0, Configuration({ "engine-1" })) == 200);
  AwaitService(remoteEntry);
  AwaitService(localEntry);

  SUBCASE("the answer is complete")
  {
    const auto answer = harness::Complete(localEntry, Prompt("p", 50));
    CHECK(answer.whole);
    CHECK(answer.text == fakes::ExpectedAnswer("m@1", "p", 50));
  }

  SUBCASE("after an engine crash another attempt continues from the exact offset")
  {
    harness::Send(engine, "POST", "/v1/faults", { { "crash_after_tokens", 20 } });
    const auto answer = harness::Complete(localEntry, Prompt("p", 50));
    CHECK(answer.whole);
    CHECK(answer.text == fakes::ExpectedAnswer("m@1", "p", 50));
  }

  SUBCASE("an answer truncated by a killed peer is never reported as complete")
  {
    bool killed = false;
    const auto answer = harness::Complete(localEntry, Prompt("p", 400), [&] {
      if (!killed) {
        killed = true;
        remoteEntry.Signal(SIGKILL);
      }
    });
    const std::string whole = fakes::ExpectedAnswer("m@1", "p", 400);
    CHECK(killed);
    CHECK((answer.whole ? answer.text == whole : whole.starts_with(answer.text)));
    CHECK((answer.whole || answer.raw.find("event: error") != std::string::npos));
  }
}

TEST_CASE(
  "an attempt is cancelled at the engine when its caller disconnects or its deadline passes")
{
  harness::SmallFleet fleet;
  auto& entry = fleet.AddEntry("entry-1", "a");
  auto& engine = fleet.AddEngine("engine-1", "a", EngineFlags());
  REQUIRE(harness::SmallFleet::Patch(entry, 0, Configuration({ "engine-1" })) == 200);
  AwaitService(entry);

  SUBCASE("when the caller disconnects")
  {
    {
      net::HttpRequest request;
      request.method = "POST";
      request.target = "/v1/completions";
      request.body = Prompt("p", 100'000).dump();
      request.timeout = std::chrono::seconds(20);
      const auto stream = net::HttpStream::Open(entry.ListeningAddress(), request);
      REQUIRE(stream.ok());
      REQUIRE((*stream)->Read(request.timeout).ok());
    }
    harness::Await("the engine has cancelled the attempt",
                   [&] { return ReadWork(engine, "cancelled") == 1; });
  }

  SUBCASE("when the deadline passes, and the caller receives an error event")
  {
    json request = Prompt("p", 100'000);
    request["deadline_ms"] = 200;
    const auto answer = harness::Complete(entry, request);
    CHECK(!answer.whole);
    CHECK(answer.raw.find("720") != std::string::npos);
    harness::Await("the engine has cancelled the attempt",
                   [&] { return ReadWork(engine, "cancelled") == 1; });
  }
}
