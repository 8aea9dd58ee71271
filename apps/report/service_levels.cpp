#include "service_levels.hpp"

#include <map>
#include <set>
#include <tuple>

namespace plantainslip::report {

namespace {

using observe::RequestEnd;
using observe::ServiceLevelSample;
using observe::ServiceLevelSeries;

// Rate at which 2% of the error budget of 30 days is used up in one hour.
constexpr double kAlertRate = 14.4;
constexpr std::size_t kMostPoints = 500;

/// Deployment, zone and level.
using Key = std::tuple<std::string, std::string, std::string>;
/// Readings of the instances that serve one key, by address.
using Group = std::map<std::string, ServiceLevelSeries>;

std::uint64_t
EndCount(const DeploymentSample& aDeployment, RequestEnd aEnd)
{
  return aDeployment.ends[static_cast<std::size_t>(aEnd)];
}

// A deployment that an earlier reading of the instance did not list had no events by then.
void
AddReadings(std::map<Key, Group>& aGroups,
            const InstanceSample& aSample,
            const std::string& aName,
            const DeploymentSample& aDeployment,
            const std::optional<core::WallTime>& aReadBefore)
{
  const std::uint64_t missed =
    EndCount(aDeployment, RequestEnd::kRefused) + EndCount(aDeployment, RequestEnd::kFailed);
  const std::uint64_t answered = EndCount(aDeployment, RequestEnd::kAnswered);
  const auto add = [&](const std::string& aLevel, std::uint64_t aEvents, std::uint64_t aMissed) {
    ServiceLevelSeries& series = aGroups[{ aName, aSample.zone, aLevel }][aSample.address];
    if (series.Samples().empty() && aReadBefore.has_value()) {
      series.Add({ *aReadBefore, 0, 0 });
    }
    series.Add({ aSample.at, aEvents, aMissed });
  };
  add("answers", answered + missed, missed);
  add("first token", aDeployment.firstTokens, aDeployment.lateFirstTokens);
  add("token gap", aDeployment.tokenGaps, aDeployment.lateTokenGaps);
}

ServiceLevelSeries::Events
SumWithin(const Group& aGroup, core::WallTime aUntil, std::chrono::seconds aWindow)
{
  ServiceLevelSeries::Events sum{ 0, 0, true };
  for (const auto& [address, series] : aGroup) {
    const auto events = series.Within(aUntil, aWindow);
    sum.events += events.events;
    sum.missed += events.missed;
    sum.whole = sum.whole && events.whole;
  }
  return sum;
}

double
ObjectiveOf(const std::string& aLevel, const Objectives& aObjectives)
{
  if (aLevel == "answers") {
    return aObjectives.answers;
  }
  return aLevel == "first token" ? aObjectives.firstTokens : aObjectives.tokenGaps;
}

std::vector<BurnPoint>
MakePoints(const Group& aGroup, double aObjective)
{
  std::set<core::WallTime> moments;
  for (const auto& [address, series] : aGroup) {
    for (const ServiceLevelSample& sample : series.Samples()) {
      moments.insert(sample.at);
    }
  }
  const std::size_t stride = moments.size() / kMostPoints + 1;
  std::vector<BurnPoint> points;
  std::size_t number = 0;
  for (const core::WallTime at : moments) {
    if (number++ % stride != 0) {
      continue;
    }
    const auto rate = observe::BurnRate(SumWithin(aGroup, at, kWindows.front()), aObjective);
    if (rate.has_value()) {
      points.push_back({ at, *rate });
    }
  }
  return points;
}

LevelBurn
ComputeLevel(const Key& aKey,
             const Group& aGroup,
             core::WallTime aUntil,
             const Objectives& aObjectives)
{
  LevelBurn burn;
  std::tie(burn.deployment, burn.zone, burn.level) = aKey;
  burn.objective = ObjectiveOf(burn.level, aObjectives);
  for (std::size_t window = 0; window < kWindows.size(); ++window) {
    const auto events = SumWithin(aGroup, aUntil, kWindows[window]);
    burn.windows[window] = { observe::BurnRate(events, burn.objective), events.whole };
    burn.events = events.events;
  }
  burn.points = MakePoints(aGroup, burn.objective);
  burn.alert = burn.windows[0].rate.value_or(0.0) > kAlertRate &&
               burn.windows[1].rate.value_or(0.0) > kAlertRate;
  return burn;
}

} // namespace

std::vector<LevelBurn>
ComputeBurn(const std::vector<InstanceSample>& aSamples, const Objectives& aObjectives)
{
  std::map<Key, Group> groups;
  std::map<std::string, core::WallTime> readBefore;
  core::WallTime until;
  for (const InstanceSample& sample : aSamples) {
    until = std::max(until, sample.at);
    const auto before = readBefore.find(sample.address);
    const auto readAt =
      before == readBefore.end() ? std::nullopt : std::optional<core::WallTime>(before->second);
    for (const auto& [name, deployment] : sample.deployments) {
      AddReadings(groups, sample, name, deployment, readAt);
    }
    if (sample.problem.empty()) {
      readBefore[sample.address] = sample.at;
    }
  }
  std::vector<LevelBurn> burns;
  burns.reserve(groups.size());
  for (const auto& [key, group] : groups) {
    burns.push_back(ComputeLevel(key, group, until, aObjectives));
  }
  return burns;
}

} // namespace plantainslip::report
