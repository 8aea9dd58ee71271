#include "caller.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include <plantainslip/net/errors.hpp>
#include <plantainslip/net/http_client.hpp>

#include <fakes/expected_answer.hpp>

namespace plantainslip::load {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr std::chrono::milliseconds kPatienceBeyondDeadline = std::chrono::seconds(5);
constexpr std::string_view kData = "data: ";
constexpr std::string_view kErrorEvent = "event: error";

net::HttpRequest
MakeHttpRequest(const Scenario& aScenario, const PlannedRequest& aRequest)
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/v1/completions";
  request.body = json{
    { "model", aScenario.deployment },
    { "prompt", aRequest.prompt },
    { "max_tokens", aRequest.outputTokens },
    { "deadline_ms", aRequest.deadlineMs },
    { "priority", aRequest.priority },
    { "workspace", aRequest.workspace },
    { "stream", true }
  }.dump();
  request.timeout = std::chrono::milliseconds(aRequest.deadlineMs) + kPatienceBeyondDeadline;
  return request;
}

void
TakeProblem(CallResult& aResult, const std::string& aText)
{
  const json problem = json::parse(aText, nullptr, false);
  const bool readable = problem.is_object();
  const std::string detail = readable ? problem.value("detail", std::string()) : std::string();
  const std::string outcome = readable ? problem.value("outcome", std::string()) : std::string();
  aResult.reason = detail.substr(0, detail.find(']') + 1);
  aResult.end = outcome == "not_run" ? CallEnd::kRefused : CallEnd::kFailed;
}

bool
IsExpected(const std::vector<std::string>& aExpected,
           const PlannedRequest& aRequest,
           const std::string& aText)
{
  return std::any_of(aExpected.begin(), aExpected.end(), [&](const std::string& aModel) {
    return aText == fakes::ExpectedAnswer(aModel, aRequest.prompt, aRequest.outputTokens);
  });
}

// Takes the moments at which tokens arrived; an event may come in several pieces.
void
RecordArrivals(CallResult& aResult,
               const std::string& aPiece,
               core::MonotonicTime aPlannedAt,
               core::MonotonicTime aNow,
               core::MonotonicTime& aLast)
{
  if (aPiece.find(kData) == std::string::npos) {
    return;
  }
  if (aResult.firstToken == std::chrono::nanoseconds(0)) {
    aResult.firstToken = aNow - aPlannedAt;
  } else {
    aResult.gaps.push_back(aNow - aLast);
  }
  aLast = aNow;
}

void
MergeJudgement(CallResult& aResult, const CallResult& aJudged)
{
  aResult.end = aJudged.end;
  aResult.reason = aJudged.reason;
  aResult.tokens = aJudged.tokens;
}

} // namespace

CallResult
JudgeAnswer(const std::vector<std::string>& aExpected,
            const PlannedRequest& aRequest,
            const std::string& aReceived)
{
  CallResult result;
  result.end = CallEnd::kCut;
  std::string text;
  std::size_t at = 0;
  while (at < aReceived.size()) {
    const std::size_t end = aReceived.find("\n\n", at);
    if (end == std::string::npos) {
      break;
    }
    const std::string event = aReceived.substr(at, end - at);
    at = end + 2;
    const std::size_t start = event.find(kData);
    const std::string data =
      start == std::string::npos ? std::string() : event.substr(start + kData.size());
    if (event.starts_with(kErrorEvent)) {
      TakeProblem(result, data);
      return result;
    }
    if (data == "[DONE]") {
      result.end = IsExpected(aExpected, aRequest, text) ? CallEnd::kRight : CallEnd::kWrong;
      return result;
    }
    const json piece = json::parse(data, nullptr, false);
    if (piece.is_object() && piece.contains("choices")) {
      const std::string token = piece["choices"][0].value("text", std::string());
      result.tokens += token.empty() ? 0U : 1U;
      text += token;
    }
  }
  return result;
}

CallResult
CallEntry(const net::Address& aEntry,
          const Scenario& aScenario,
          const PlannedRequest& aRequest,
          core::MonotonicTime aPlannedAt,
          const core::Clock& aClock)
{
  CallResult result;
  const auto request = MakeHttpRequest(aScenario, aRequest);
  const auto stream = net::HttpStream::Open(aEntry, request);
  if (!stream.ok()) {
    const bool noConnection = core::IsError(stream.status(), net::errors::kNotConnected);
    result.end = noConnection ? CallEnd::kUnreachable : CallEnd::kCut;
    result.reason = noConnection ? "no connection" : "no answer";
    return result;
  }
  std::string received;
  core::MonotonicTime last;
  for (;;) {
    const auto piece = (*stream)->Read(request.timeout);
    if (!piece.ok() || !piece->has_value()) {
      break;
    }
    received += **piece;
    RecordArrivals(result, **piece, aPlannedAt, aClock.Now(), last);
  }
  result.wholeAnswer = aClock.Now() - aPlannedAt;
  if ((*stream)->StatusCode() == kOk) {
    MergeJudgement(result, JudgeAnswer(aScenario.expected, aRequest, received));
  } else {
    TakeProblem(result, received);
  }
  return result;
}

} // namespace plantainslip::load
