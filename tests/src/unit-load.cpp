#include <doctest/doctest.h>

#include <fakes/expected_answer.hpp>

#include "../../apps/load/role_watch.hpp"
#include "../../apps/load/tally.hpp"

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using load::CallEnd;

namespace {

constexpr const char* kScenario = R"({"deployment":"reader","expected":["m@1"],"phases":[
  {"name":"one","seconds":20,"requests_per_second":50,"prompt_tokens":[10,20],
   "output_tokens":[1,9],"shared_prefixes":2,"shared_share":0.5},
  {"name":"two","seconds":5,"requests_per_second":10,"prompt_tokens":[3,3],
   "output_tokens":[4,4]}]})";

std::string
Replace(std::string aText, const std::string& aOld, const std::string& aNew)
{
  return aText.replace(aText.find(aOld), aOld.size(), aNew);
}

load::PlannedRequest
ThreeTokens()
{
  load::PlannedRequest request;
  request.prompt = "p";
  request.outputTokens = 3;
  request.deadlineMs = 1000;
  return request;
}

std::string
Events(const std::string& aModel, std::uint64_t aTokens)
{
  std::string events;
  for (std::uint64_t offset = 0; offset < aTokens; ++offset) {
    events += "id: 0\ndata: {\"choices\":[{\"text\":\"" +
              fakes::ExpectedToken(aModel, "p", offset) + "\"}]}\n\n";
  }
  return events;
}

CallEnd
Judge(const std::string& aReceived)
{
  return load::JudgeAnswer({ "m@1", "m@2" }, ThreeTokens(), aReceived).end;
}

} // namespace

TEST_CASE("a schedule follows its scenario")
{
  const auto scenario = load::ParseScenario(kScenario);
  REQUIRE(scenario.ok());

  SUBCASE("the same seed gives the same requests at the same moments")
  {
    const auto first = load::PlanArrivals(*scenario, 5);
    const auto second = load::PlanArrivals(*scenario, 5);
    REQUIRE(first.size() == second.size());
    for (std::size_t number = 0; number < first.size(); ++number) {
      CHECK(first[number].at == second[number].at);
      CHECK(first[number].prompt == second[number].prompt);
    }
    CHECK(load::PlanArrivals(*scenario, 6).front().at != first.front().at);
  }

  SUBCASE("arrivals are ordered and come at the stated rate")
  {
    const auto plan = load::PlanArrivals(*scenario, 5);
    // 1,050 are expected; a Poisson count lies within five standard deviations.
    CHECK(plan.size() > 880);
    CHECK(plan.size() < 1220);
    for (std::size_t number = 1; number < plan.size(); ++number) {
      REQUIRE(plan[number - 1].at <= plan[number].at);
    }
    CHECK(plan.back().at < std::chrono::seconds(25));
  }
}

TEST_CASE("a wrong scenario is refused with the field's name and range")
{
  const auto problem = [](const std::string& aOld, const std::string& aNew) {
    const auto scenario = load::ParseScenario(Replace(kScenario, aOld, aNew));
    return std::string(scenario.status().message());
  };
  CHECK(problem("\"seconds\":20", "\"seconds\":-1") ==
        "phases/0/seconds is -1, outside 0.001 to 86400.0");
  CHECK(problem("[10,20]", "[20,10]") ==
        "phases/0/prompt_tokens is [20,10], not [least, most] of 1 to 1000000");
  CHECK(problem("\"seconds\":20", "\"secs\":20") == "phases/0/secs is not a field of a scenario");
  CHECK(problem("[\"m@1\"]", "[]").find("expected") != std::string::npos);
  CHECK_FALSE(load::ParseScenario("[1").ok());
}

TEST_CASE("an answer is checked byte for byte")
{
  const std::string end = "data: {\"choices\":[{\"text\":\"\"}]}\n\ndata: [DONE]\n\n";
  CHECK(Judge(Events("m@1", 3) + end) == CallEnd::kRight);
  CHECK(Judge(Events("m@2", 3) + end) == CallEnd::kRight);
  CHECK(Judge(Events("m@3", 3) + end) == CallEnd::kWrong);
  CHECK(Judge(Events("m@1", 2) + end) == CallEnd::kWrong);
  CHECK(Judge(Events("m@1", 1) + Events("m@1", 2) + end) == CallEnd::kWrong);
  CHECK(Judge(Events("m@1", 3)) == CallEnd::kCut);
  CHECK(Judge(Events("m@1", 3) + "data: [DONE]") == CallEnd::kCut);
  CHECK(Judge("") == CallEnd::kCut);
  const auto failed = load::JudgeAnswer(
    { "m@1" },
    ThreeTokens(),
    Events("m@1", 1) +
      "event: error\ndata: {\"detail\":\"[705 a.b] x\",\"outcome\":\"unknown\"}\n\n");
  CHECK(failed.end == CallEnd::kFailed);
  CHECK(failed.reason == "[705 a.b]");
}

TEST_CASE("a tally counts only right answers within their deadline as goodput")
{
  load::Tally tally;
  load::CallResult right;
  right.end = CallEnd::kRight;
  right.tokens = 3;
  right.wholeAnswer = std::chrono::milliseconds(1000);
  tally.Count(ThreeTokens(), right);
  right.wholeAnswer = std::chrono::milliseconds(1001);
  tally.Count(ThreeTokens(), right);
  CHECK(tally.AllAnswersRight());
  const std::string figures = tally.Json(std::chrono::seconds(1), 2);
  CHECK(figures.find("\"goodput_requests_per_second\":1.0") != std::string::npos);
  CHECK(figures.find("\"role_changes\":2") != std::string::npos);
  CHECK(tally.Table(std::chrono::seconds(1), -1).find("WRONG") == std::string::npos);

  load::CallResult cut;
  cut.end = CallEnd::kCut;
  tally.Count(ThreeTokens(), cut);
  CHECK_FALSE(tally.AllAnswersRight());
  CHECK(tally.Table(std::chrono::seconds(1), -1).find("WRONG ANSWERS") != std::string::npos);
}

TEST_CASE("a role change is counted once, however many instances see it")
{
  load::RoleChanges changes;
  const auto fleet = [](const std::string& aRole) {
    return R"({"targets":[{"name":"e1","role":")" + aRole + R"("},{"name":"s1"}]})";
  };
  changes.Take("a", fleet("mixed"));
  changes.Take("b", fleet("mixed"));
  changes.Take("a", fleet("decode"));
  changes.Take("b", fleet("mixed"));
  changes.Take("b", fleet("decode"));
  changes.Take("a", "not JSON");
  CHECK(changes.Count() == 1);
}
