#include "tally.hpp"

#include <array>
#include <cmath>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace plantainslip::load {

namespace {

using nlohmann::ordered_json;

constexpr std::array<std::pair<CallEnd, const char*>, 6> kEndNames = {
  { { CallEnd::kRight, "right" },
    { CallEnd::kWrong, "wrong" },
    { CallEnd::kRefused, "refused" },
    { CallEnd::kFailed, "failed" },
    { CallEnd::kCut, "cut" },
    { CallEnd::kUnreachable, "unreachable" } }
};
constexpr std::array<std::pair<const char*, double>, 4> kShares = {
  { { "p50", 0.50 }, { "p90", 0.90 }, { "p95", 0.95 }, { "p99", 0.99 } }
};
constexpr std::size_t kLineBytes = 200;

double
ToMilliseconds(std::chrono::nanoseconds aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

double
PerSecond(std::uint64_t aCount, std::chrono::nanoseconds aElapsed)
{
  const double seconds = std::chrono::duration<double>(aElapsed).count();
  return seconds > 0.0 ? static_cast<double>(aCount) / seconds : 0.0;
}

std::uint64_t
CountOf(const std::map<CallEnd, std::uint64_t>& aEnds, CallEnd aEnd)
{
  const auto found = aEnds.find(aEnd);
  return found == aEnds.end() ? 0 : found->second;
}

ordered_json
Percentiles(const observe::LatencyHistogram& aHistogram)
{
  ordered_json line = { { "count", aHistogram.Count() } };
  for (const auto& [name, share] : kShares) {
    line[name] = ToMilliseconds(aHistogram.Quantile(share));
  }
  return line;
}

std::string
TableLine(const std::string& aName, const ordered_json& aPercentiles)
{
  char text[kLineBytes];
  (void)std::snprintf(text,
                      sizeof(text),
                      "%-20s %10llu %10.1f %10.1f %10.1f %10.1f\n",
                      aName.c_str(),
                      aPercentiles["count"].get<unsigned long long>(),
                      aPercentiles["p50"].get<double>(),
                      aPercentiles["p90"].get<double>(),
                      aPercentiles["p95"].get<double>(),
                      aPercentiles["p99"].get<double>());
  return text;
}

std::string
CountLine(const std::string& aName, const ordered_json& aValue)
{
  char text[kLineBytes];
  (void)std::snprintf(text,
                      sizeof(text),
                      "%-44s %12s\n",
                      aName.substr(0, kLineBytes / 2).c_str(),
                      aValue.dump().c_str());
  return text;
}

double
RoundToTenths(double aValue)
{
  constexpr double kTenths = 10.0;
  return std::round(aValue * kTenths) / kTenths;
}

} // namespace

void
Tally::Count(const PlannedRequest& aRequest, const CallResult& aResult)
{
  if (aResult.firstToken > std::chrono::nanoseconds(0)) {
    this->firstToken.Record(aResult.firstToken);
  }
  for (const auto gap : aResult.gaps) {
    this->tokenGap.Record(gap);
  }
  const std::scoped_lock lock(this->mutex);
  ++this->calls;
  ++this->ends[aResult.end];
  this->tokens += aResult.tokens;
  if (!aResult.reason.empty()) {
    ++this->reasons[aResult.reason];
  }
  if (aResult.end != CallEnd::kRight) {
    return;
  }
  this->wholeAnswer.Record(aResult.wholeAnswer);
  if (aResult.wholeAnswer <= std::chrono::milliseconds(aRequest.deadlineMs)) {
    ++this->goodRequests;
    this->goodTokens += aResult.tokens;
  }
}

void
Tally::CountLateStart()
{
  const std::scoped_lock lock(this->mutex);
  ++this->lateStarts;
}

bool
Tally::AllAnswersRight() const
{
  const std::scoped_lock lock(this->mutex);
  return CountOf(this->ends, CallEnd::kWrong) == 0 && CountOf(this->ends, CallEnd::kCut) == 0;
}

std::string
Tally::Json(std::chrono::nanoseconds aElapsed, std::int64_t aRoleChanges) const
{
  const std::scoped_lock lock(this->mutex);
  ordered_json answer = { { "seconds", std::chrono::duration<double>(aElapsed).count() },
                          { "requests", this->calls },
                          { "late_starts", this->lateStarts },
                          { "tokens", this->tokens } };
  for (const auto& [end, name] : kEndNames) {
    answer["ends"][name] = CountOf(this->ends, end);
  }
  answer["reasons"] = this->reasons;
  answer["goodput_requests_per_second"] = RoundToTenths(PerSecond(this->goodRequests, aElapsed));
  answer["goodput_tokens_per_second"] = RoundToTenths(PerSecond(this->goodTokens, aElapsed));
  answer["first_token_ms"] = Percentiles(this->firstToken);
  answer["token_gap_ms"] = Percentiles(this->tokenGap);
  answer["whole_answer_ms"] = Percentiles(this->wholeAnswer);
  answer["role_changes"] = aRoleChanges < 0 ? ordered_json() : ordered_json(aRoleChanges);
  return answer.dump();
}

std::string
Tally::Table(std::chrono::nanoseconds aElapsed, std::int64_t aRoleChanges) const
{
  const ordered_json figures = ordered_json::parse(this->Json(aElapsed, aRoleChanges));
  std::string text;
  for (const char* name : { "requests", "late_starts" }) {
    text += CountLine(name, figures[name]);
  }
  for (const auto& [name, count] : figures["ends"].items()) {
    text += CountLine("  " + name, count);
  }
  for (const auto& [name, count] : figures["reasons"].items()) {
    text += CountLine("  reason " + name, count);
  }
  for (const char* name : { "goodput_requests_per_second", "goodput_tokens_per_second" }) {
    text += CountLine(name, figures[name]);
  }
  text += CountLine("role_changes", figures["role_changes"]);
  text += "\n                          count        p50        p90        p95        p99\n";
  for (const char* name : { "first_token_ms", "token_gap_ms", "whole_answer_ms" }) {
    text += TableLine(name, figures[name]);
  }
  if (figures["ends"]["wrong"] != 0 || figures["ends"]["cut"] != 0) {
    text += "\nWRONG ANSWERS: " + figures["ends"]["wrong"].dump() + " wrong, " +
            figures["ends"]["cut"].dump() + " cut without an error\n";
  }
  return text;
}

} // namespace plantainslip::load
