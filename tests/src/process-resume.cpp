#include <doctest/doctest.h>

#include <algorithm>
#include <future>

#include <fakes/expected_answer.hpp>
#include <harness/small_fleet.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr std::uint64_t kTokens = 200;
const std::vector<std::string> kFlags = { "--resume-key", "test-resume-key" };
const std::vector<std::string> kSlow = { "--token-interval-us", "5000" };

json
Configuration(const std::string& aVersion)
{
  return { { "deployments", { { "reader", { { "model", "m" }, { "version", aVersion } } } } },
           { "targets",
             { { "engine-1", { { "deployment", "reader" } } },
               { "engine-2", { { "deployment", "reader" } } } } } };
}

json
Prompt(const std::string& aPrompt)
{
  return {
    { "model", "reader" }, { "prompt", aPrompt }, { "max_tokens", kTokens }, { "stream", true }
  };
}

void
AwaitServing(const harness::ChildProcess& aEntry,
             const std::vector<harness::ChildProcess*>& aEngines)
{
  harness::Await("the engines have loaded the model", [&] {
    bool loaded = true;
    for (const harness::ChildProcess* engine : aEngines) {
      const json report = json::parse(harness::Send(*engine, "GET", "/v1/report").body);
      loaded = loaded && report["model"] == "m" && !report["changing"].get<bool>();
    }
    return loaded;
  });
  // Engines load one after another, so the instance may know of only one at first.
  harness::Await("the entry instance knows of both", [&] {
    const auto reply =
      harness::Send(aEntry,
                    "GET",
                    "/v1/operator/fleet",
                    nullptr,
                    { { "Authorization", std::string("Bearer ") + harness::kOperatorKey } });
    const json fleet = json::parse(reply.body, nullptr, false);
    const json targets = fleet.value("targets", json::array());
    return std::count_if(targets.begin(), targets.end(), [](const json& aTarget) {
             return aTarget.value("model", "") == "m" && !aTarget.value("changing", true);
           }) == 2;
  });
  harness::Await("the entry instance serves", [&] {
    json request = Prompt("p");
    request["max_tokens"] = 1;
    return harness::Complete(aEntry, request).whole;
  });
}

bool
IsRunning(const harness::ChildProcess& aEngine)
{
  return json::parse(harness::Send(aEngine, "GET", "/v1/report").body)["running"] != 0;
}

// The first piece of an answer holds the token; the last whole piece before the cut, the offset.
std::string
TokenOf(const harness::StreamedAnswer& aAnswer)
{
  const std::string start = "\"resume\":\"";
  const std::size_t at = aAnswer.raw.find(start);
  REQUIRE(at != std::string::npos);
  const std::size_t from = at + start.size();
  return aAnswer.raw.substr(from, aAnswer.raw.find('"', from) - from);
}

// Each token of the fakes ends with a space.
std::uint64_t
CountTokens(const std::string& aText)
{
  return static_cast<std::uint64_t>(std::count(aText.begin(), aText.end(), ' '));
}

} // namespace

TEST_CASE("an answer whose engine is killed in mid-stream is whole from another engine")
{
  harness::SmallFleet fleet;
  auto& entry = fleet.AddEntry("entry-1", "a", kFlags);
  fleet.AddController("entry-1", "a");
  auto& engine1 = fleet.AddEngine("engine-1", "a", kSlow);
  auto& engine2 = fleet.AddEngine("engine-2", "a", kSlow);
  REQUIRE(harness::SmallFleet::Patch(entry, 0, Configuration("1")) == 200);
  AwaitServing(entry, { &engine1, &engine2 });
  int pieces = 0;
  const auto answer = harness::Complete(entry, Prompt("dossier"), [&] {
    if (++pieces == 20) {
      harness::ChildProcess& serving = IsRunning(engine1) ? engine1 : engine2;
      serving.Signal(SIGKILL);
      serving.WaitForExit();
    }
  });
  CHECK(pieces >= 20);
  CHECK(answer.whole);
  CHECK(answer.text == fakes::ExpectedAnswer("m@1", "dossier", kTokens));
}

TEST_CASE("an engine stops when the caller goes")
{
  harness::SmallFleet fleet;
  auto& entry = fleet.AddEntry("entry-1", "a", kFlags);
  fleet.AddController("entry-1", "a");
  auto& engine = fleet.AddEngine("engine-1", "a", kSlow);
  auto& other = fleet.AddEngine("engine-2", "a", kSlow);
  REQUIRE(harness::SmallFleet::Patch(entry, 0, Configuration("1")) == 200);
  AwaitServing(entry, { &engine, &other });
  json prompt = Prompt("dossier");
  // More than the engine produces while the test waits.
  prompt["max_tokens"] = 100'000;
  SUBCASE("with streaming") {}
  SUBCASE("without streaming")
  {
    prompt["stream"] = false;
  }
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/v1/completions";
  request.body = prompt.dump();
  request.timeout = std::chrono::seconds(3);
  std::promise<void> running;
  auto caller = std::async(std::launch::async, [&] {
    // Without streaming no head comes, and the caller goes when its patience ends.
    const auto stream = net::HttpStream::Open(entry.ListeningAddress(), request);
    running.get_future().wait();
  });
  harness::Await("an engine works", [&] { return IsRunning(engine) || IsRunning(other); });
  running.set_value();
  caller.wait();
  harness::Await("no engine works", [&] { return !IsRunning(engine) && !IsRunning(other); });
}

TEST_CASE("an answer whose entry instance is killed is resumed at another at the exact offset")
{
  harness::SmallFleet fleet;
  auto& first = fleet.AddEntry("entry-1", "a", kFlags);
  auto& second = fleet.AddEntry("entry-2", "a", kFlags);
  fleet.AddController("entry-2", "a");
  auto& engine1 = fleet.AddEngine("engine-1", "a", kSlow);
  auto& engine2 = fleet.AddEngine("engine-2", "a", kSlow);
  REQUIRE(harness::SmallFleet::Patch(first, 0, Configuration("1")) == 200);
  AwaitServing(first, { &engine1, &engine2 });
  AwaitServing(second, { &engine1, &engine2 });
  int pieces = 0;
  const auto cut = harness::Complete(first, Prompt("dossier"), [&] {
    if (++pieces == 20) {
      first.Signal(SIGKILL);
      first.WaitForExit();
      // As long as the platform lists the instance, no engine is changed without its confirmation.
      harness::Send(fleet.Platform(), "DELETE", "/v1/instances?name=entry-1");
    }
  });
  REQUIRE_FALSE(cut.whole);
  // The platform takes a dead instance off its list; until then a change of an engine waits for it.
  harness::Send(fleet.Platform(), "DELETE", "/v1/instances?name=entry-1");
  const std::string expected = fakes::ExpectedAnswer("m@1", "dossier", kTokens);
  REQUIRE(expected.starts_with(cut.text));
  json again = Prompt("dossier");
  again["resume"] = TokenOf(cut);
  again["resume_offset"] = CountTokens(cut.text);

  SUBCASE("the rest completes the answer")
  {
    const auto rest = harness::Complete(second, again);
    CHECK(rest.whole);
    CHECK(cut.text + rest.text == expected);
  }

  SUBCASE("an answer that was resumed can be resumed again")
  {
    const auto rest = harness::Complete(second, again);
    again["resume"] = TokenOf(rest);
    again["resume_offset"] = kTokens - 10;
    const auto end = harness::Complete(second, again);
    CHECK(end.whole);
    CHECK(expected.ends_with(end.text));
    CHECK(CountTokens(end.text) == 10);
  }

  SUBCASE("a token with another prompt is refused as not run")
  {
    again["prompt"] = "another dossier";
    const auto reply = harness::Send(second, "POST", "/v1/completions", again);
    CHECK(reply.status == 400);
    CHECK(json::parse(reply.body)["outcome"] == "not_run");
  }

  SUBCASE("a version that is gone is refused as not run")
  {
    REQUIRE(harness::SmallFleet::Patch(second, 1, Configuration("2")) == 200);
    harness::Await("the version is gone", [&] {
      const auto reply = harness::Send(second, "POST", "/v1/completions", again);
      return reply.status == 404 && json::parse(reply.body)["outcome"] == "not_run";
    });
  }
}
