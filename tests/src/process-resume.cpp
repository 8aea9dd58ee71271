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
  // Engines load one after another, so the fleet view may list only one of them at first.
  harness::Await("the entry instance's fleet view lists both engines", [&] {
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
  harness::Await("the entry instance answers a request", [&] {
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

// Extracts the resume token, which the first chunk of an answer contains.
std::string
ExtractResumeToken(const harness::StreamedAnswer& aAnswer)
{
  const std::string start = "\"resume\":\"";
  const std::size_t at = aAnswer.raw.find(start);
  REQUIRE(at != std::string::npos);
  const std::size_t from = at + start.size();
  return aAnswer.raw.substr(from, aAnswer.raw.find('"', from) - from);
}

// Counts tokens: every token of the fake engines ends with a space.
std::uint64_t
CountTokens(const std::string& aText)
{
  return static_cast<std::uint64_t>(std::count(aText.begin(), aText.end(), ' '));
}

} // namespace

TEST_CASE("if an engine is killed during an answer, another engine completes it")
{
  harness::SmallFleet fleet;
  auto& entry = fleet.AddEntry("entry-1", "a", kFlags);
  fleet.AddController("entry-1", "a");
  auto& engine1 = fleet.AddEngine("engine-1", "a", kSlow);
  auto& engine2 = fleet.AddEngine("engine-2", "a", kSlow);
  REQUIRE(harness::SmallFleet::Patch(entry, 0, Configuration("1")) == 200);
  AwaitServing(entry, { &engine1, &engine2 });
  int chunks = 0;
  const auto answer = harness::Complete(entry, Prompt("dossier"), [&] {
    if (++chunks == 20) {
      harness::ChildProcess& serving = IsRunning(engine1) ? engine1 : engine2;
      serving.Signal(SIGKILL);
      serving.WaitForExit();
    }
  });
  CHECK(chunks >= 20);
  CHECK(answer.whole);
  CHECK(answer.text == fakes::ExpectedAnswer("m@1", "dossier", kTokens));
}

TEST_CASE("an engine stops generating when the caller disconnects")
{
  harness::SmallFleet fleet;
  auto& entry = fleet.AddEntry("entry-1", "a", kFlags);
  fleet.AddController("entry-1", "a");
  auto& engine = fleet.AddEngine("engine-1", "a", kSlow);
  auto& other = fleet.AddEngine("engine-2", "a", kSlow);
  REQUIRE(harness::SmallFleet::Patch(entry, 0, Configuration("1")) == 200);
  AwaitServing(entry, { &engine, &other });
  json prompt = Prompt("dossier");
  // More tokens than the engine produces while the test waits.
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
    // Without streaming no header arrives, so the caller disconnects after its timeout.
    const auto stream = net::HttpStream::Open(entry.ListeningAddress(), request);
    running.get_future().wait();
  });
  harness::Await("an engine is generating", [&] { return IsRunning(engine) || IsRunning(other); });
  running.set_value();
  caller.wait();
  harness::Await("no engine is generating",
                 [&] { return !IsRunning(engine) && !IsRunning(other); });
}

TEST_CASE("if an entry instance is killed, another one resumes its answer at the exact offset")
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
  int chunks = 0;
  const auto truncated = harness::Complete(first, Prompt("dossier"), [&] {
    if (++chunks == 20) {
      first.Signal(SIGKILL);
      first.WaitForExit();
      // While the platform lists the instance, no engine is changed without its confirmation.
      harness::Send(fleet.Platform(), "DELETE", "/v1/instances?name=entry-1");
    }
  });
  REQUIRE_FALSE(truncated.whole);
  // The platform removes a dead instance from its list; until then, changes of engines wait for it.
  harness::Send(fleet.Platform(), "DELETE", "/v1/instances?name=entry-1");
  const std::string expected = fakes::ExpectedAnswer("m@1", "dossier", kTokens);
  REQUIRE(expected.starts_with(truncated.text));
  json resumed = Prompt("dossier");
  resumed["resume"] = ExtractResumeToken(truncated);
  resumed["resume_offset"] = CountTokens(truncated.text);

  SUBCASE("the resumed answer contains exactly the missing tokens")
  {
    const auto rest = harness::Complete(second, resumed);
    CHECK(rest.whole);
    CHECK(truncated.text + rest.text == expected);
  }

  SUBCASE("an answer that was resumed can be resumed again")
  {
    const auto rest = harness::Complete(second, resumed);
    resumed["resume"] = ExtractResumeToken(rest);
    resumed["resume_offset"] = kTokens - 10;
    const auto end = harness::Complete(second, resumed);
    CHECK(end.whole);
    CHECK(expected.ends_with(end.text));
    CHECK(CountTokens(end.text) == 10);
  }

  SUBCASE("a resume token with another prompt is refused as not run")
  {
    resumed["prompt"] = "another dossier";
    const auto reply = harness::Send(second, "POST", "/v1/completions", resumed);
    CHECK(reply.status == 400);
    CHECK(json::parse(reply.body)["outcome"] == "not_run");
  }

  SUBCASE("a version that is no longer served is refused as not run")
  {
    REQUIRE(harness::SmallFleet::Patch(second, 1, Configuration("2")) == 200);
    harness::Await("the version is no longer served", [&] {
      const auto reply = harness::Send(second, "POST", "/v1/completions", resumed);
      return reply.status == 404 && json::parse(reply.body)["outcome"] == "not_run";
    });
  }
}
