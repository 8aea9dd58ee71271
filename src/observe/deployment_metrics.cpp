#include <plantainslip/observe/deployment_metrics.hpp>

#include <functional>

namespace plantainslip::observe {

namespace {

constexpr const char* kSharedName = "other";

} // namespace

void
DeploymentCounters::CountFirstToken(std::chrono::nanoseconds aWait)
{
  ++this->firstTokens;
  if (aWait > kFirstTokenObjective) {
    ++this->lateFirstTokens;
  }
}

void
DeploymentCounters::CountTokenGap(std::chrono::nanoseconds aGap)
{
  ++this->tokenGaps;
  if (aGap > kTokenGapObjective) {
    ++this->lateTokenGaps;
  }
}

DeploymentCounters&
DeploymentMetrics::Of(const core::DeploymentName& aDeployment)
{
  const std::scoped_lock lock(this->mutex);
  const bool known = this->counters.contains(aDeployment.Text());
  const bool room = this->counters.size() < kMostCountedDeployments;
  auto& found = this->counters[known || room ? aDeployment.Text() : kSharedName];
  if (found == nullptr) {
    found = std::make_unique<DeploymentCounters>();
  }
  return *found;
}

std::string
DeploymentMetrics::Format() const
{
  const std::scoped_lock lock(this->mutex);
  std::string text = "# TYPE plantainslip_deployment_requests_ended_total counter\n";
  for (const auto& [name, deployment] : this->counters) {
    for (std::size_t end = 0; end < kRequestEnds; ++end) {
      text += "plantainslip_deployment_requests_ended_total{deployment=" + QuoteLabel(name) +
              ",end=\"" + EndName(static_cast<RequestEnd>(end)) + "\"} " +
              std::to_string(deployment->ends[end].load()) + "\n";
    }
  }
  using Reader = std::function<std::uint64_t(const DeploymentCounters&)>;
  const auto format = [&](const std::string& aMetric, const Reader& aRead) {
    text += "# TYPE " + aMetric + " counter\n";
    for (const auto& [name, deployment] : this->counters) {
      text += aMetric + "{deployment=" + QuoteLabel(name) + "} " +
              std::to_string(aRead(*deployment)) + "\n";
    }
  };
  format("plantainslip_deployment_first_tokens_total",
         [](const DeploymentCounters& aOne) { return aOne.firstTokens.load(); });
  format("plantainslip_deployment_first_tokens_late_total",
         [](const DeploymentCounters& aOne) { return aOne.lateFirstTokens.load(); });
  format("plantainslip_deployment_token_gaps_total",
         [](const DeploymentCounters& aOne) { return aOne.tokenGaps.load(); });
  format("plantainslip_deployment_token_gaps_late_total",
         [](const DeploymentCounters& aOne) { return aOne.lateTokenGaps.load(); });
  return text;
}

std::string
QuoteLabel(const std::string& aValue)
{
  std::string quoted = "\"";
  for (const char letter : aValue) {
    if (letter == '\n') {
      quoted += "\\n";
      continue;
    }
    if (letter == '"' || letter == '\\') {
      quoted += '\\';
    }
    quoted += letter;
  }
  return quoted + "\"";
}

} // namespace plantainslip::observe
