#include "sample.hpp"

#include <sstream>

#include <nlohmann/json.hpp>

#include <plantainslip/net/http_client.hpp>
#include <plantainslip/observe/errors.hpp>
#include <plantainslip/observe/metrics_page.hpp>

namespace plantainslip::report {

namespace {

using nlohmann::json;
using observe::MetricLine;

constexpr int kOk = 200;
constexpr std::chrono::milliseconds kTimeout = std::chrono::seconds(2);
constexpr double kMostCount = 9e15;

std::uint64_t
ToCount(double aValue)
{
  return aValue > 0.0 && aValue < kMostCount ? static_cast<std::uint64_t>(aValue) : 0;
}

std::string
Label(const MetricLine& aLine, const std::string& aName)
{
  const auto found = aLine.labels.find(aName);
  return found == aLine.labels.end() ? std::string() : found->second;
}

void
CountEnd(std::array<std::uint64_t, observe::kRequestEnds>& aEnds, const MetricLine& aLine)
{
  for (std::size_t end = 0; end < observe::kRequestEnds; ++end) {
    if (observe::EndName(static_cast<observe::RequestEnd>(end)) == Label(aLine, "end")) {
      aEnds[end] = ToCount(aLine.value);
    }
  }
}

void
TakeDeploymentLine(InstanceSample& aSample, const MetricLine& aLine)
{
  DeploymentSample& deployment = aSample.deployments[Label(aLine, "deployment")];
  const std::uint64_t count = ToCount(aLine.value);
  if (aLine.name == "plantainslip_deployment_requests_ended_total") {
    CountEnd(deployment.ends, aLine);
  } else if (aLine.name == "plantainslip_deployment_first_tokens_total") {
    deployment.firstTokens = count;
  } else if (aLine.name == "plantainslip_deployment_first_tokens_late_total") {
    deployment.lateFirstTokens = count;
  } else if (aLine.name == "plantainslip_deployment_token_gaps_total") {
    deployment.tokenGaps = count;
  } else if (aLine.name == "plantainslip_deployment_token_gaps_late_total") {
    deployment.lateTokenGaps = count;
  }
}

void
TakeLine(InstanceSample& aSample, const MetricLine& aLine)
{
  if (aLine.name == "plantainslip_instance_info") {
    aSample.instance = Label(aLine, "instance");
    aSample.zone = Label(aLine, "zone");
  } else if (aLine.name == "plantainslip_requests_accepted_total") {
    aSample.accepted = ToCount(aLine.value);
  } else if (aLine.name == "plantainslip_requests_lost_total") {
    aSample.lost = ToCount(aLine.value);
  } else if (aLine.name == "plantainslip_requests_open") {
    aSample.open = ToCount(aLine.value);
  } else if (aLine.name == "plantainslip_requests_ended_total") {
    CountEnd(aSample.ends, aLine);
  } else if (aLine.name.starts_with("plantainslip_deployment_")) {
    TakeDeploymentLine(aSample, aLine);
  }
}

// Saved readings leave out the rest of the page, which is most of it.
std::string
KeepUsedLines(const std::string& aPage)
{
  std::string kept;
  std::istringstream lines(aPage);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("plantainslip_requests_") ||
        line.starts_with("plantainslip_deployment_") ||
        line.starts_with("plantainslip_instance_info")) {
      kept += line + "\n";
    }
  }
  return kept;
}

} // namespace

InstanceSample
ReadPage(core::WallTime aAt, const std::string& aAddress, const std::string& aPage)
{
  InstanceSample sample;
  sample.at = aAt;
  sample.address = aAddress;
  const auto lines = observe::ParseMetricsPage(aPage);
  if (!lines.ok()) {
    sample.problem = std::string(lines.status().message());
    return sample;
  }
  for (const MetricLine& line : *lines) {
    TakeLine(sample, line);
  }
  if (sample.instance.empty()) {
    sample.problem = "the page does not say which instance it is from";
  }
  sample.page = KeepUsedLines(aPage);
  return sample;
}

InstanceSample
AskInstance(const net::Address& aAddress, const core::Clock& aClock)
{
  net::HttpRequest request;
  request.target = "/metrics";
  request.timeout = kTimeout;
  const auto reply = net::CallHttp(aAddress, request);
  if (reply.ok() && reply->status == kOk) {
    return ReadPage(aClock.WallNow(), aAddress.Text(), reply->body);
  }
  InstanceSample sample;
  sample.at = aClock.WallNow();
  sample.address = aAddress.Text();
  sample.problem =
    reply.ok() ? "status " + std::to_string(reply->status) : std::string(reply.status().message());
  return sample;
}

std::string
FormatSample(const InstanceSample& aSample)
{
  const auto sinceStart =
    std::chrono::duration_cast<std::chrono::milliseconds>(aSample.at.time_since_epoch());
  const json line = { { "at_ms", sinceStart.count() },
                      { "address", aSample.address },
                      { "problem", aSample.problem },
                      { "page", aSample.page } };
  return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<std::vector<InstanceSample>>
ParseSamples(const std::string& aText)
{
  std::vector<InstanceSample> samples;
  std::istringstream lines(aText);
  std::string text;
  for (std::size_t number = 1; std::getline(lines, text); ++number) {
    try {
      const json line = json::parse(text);
      const core::WallTime at(std::chrono::milliseconds(line.at("at_ms").get<std::int64_t>()));
      const std::string problem = line.at("problem").get<std::string>();
      InstanceSample sample =
        ReadPage(at, line.at("address").get<std::string>(), line.at("page").get<std::string>());
      sample.problem = problem.empty() ? sample.problem : problem;
      samples.push_back(std::move(sample));
    } catch (const json::exception& problem) {
      return core::MakeError(observe::errors::kBadSample,
                             "line " + std::to_string(number) + ": " + problem.what());
    }
  }
  return samples;
}

} // namespace plantainslip::report
