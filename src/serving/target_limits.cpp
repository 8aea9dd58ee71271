#include <plantainslip/serving/target_limits.hpp>

#include <algorithm>

#include <xxhash.h>

namespace plantainslip::serving {

namespace {

using Seconds = std::chrono::duration<double>;

// Weight of an instance for a process, by rendezvous hashing.
std::uint64_t
OwnerWeight(const core::InstanceId& aInstance, const TargetProcess& aProcess)
{
  const std::string& id = aProcess.id.Text();
  const std::uint64_t key = XXH3_64bits_withSeed(id.data(), id.size(), aProcess.startedAt);
  const std::string& instance = aInstance.Text();
  return XXH3_64bits_withSeed(instance.data(), instance.size(), key);
}

std::optional<double>
InRange(std::optional<double> aRequestsPerSecond)
{
  if (aRequestsPerSecond.has_value()) {
    return std::clamp(*aRequestsPerSecond, TargetLimits::kMinRate, TargetLimits::kMaxRate);
  }
  return std::nullopt;
}

milliseconds
CeilMilliseconds(double aSeconds)
{
  return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(Seconds(aSeconds)));
}

} // namespace

void
TargetLimits::SetInstances(const core::InstanceId& aSelf, std::vector<core::InstanceId> aLivePeers)
{
  this->self = aSelf;
  this->peers = std::move(aLivePeers);
}

void
TargetLimits::Set(const TargetProcess& aProcess,
                  std::optional<double> aRequestsPerSecond,
                  core::MonotonicTime aStatedAt,
                  bool aIsOwn,
                  core::MonotonicTime aNow)
{
  Limit& limit = this->limits[aProcess];
  // Requests were sent at another rate until now, so none is saved.
  limit.tokens = limit.requestsPerSecond.has_value() ? this->Tokens(aProcess, limit, aNow) : 0.0;
  limit.refilledAt = aNow;
  limit.requestsPerSecond = aRequestsPerSecond;
  limit.statedAt = aStatedAt;
  limit.isOwn = aIsOwn;
  std::erase_if(this->limits, [&](const auto& aEntry) {
    return !aEntry.second.requestsPerSecond.has_value() &&
           aNow - aEntry.second.statedAt > kReportTime;
  });
  if (this->limits.size() > kMaxLimits) {
    this->limits.erase(std::min_element(
      this->limits.begin(), this->limits.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.statedAt < aRight.second.statedAt;
      }));
  }
}

bool
TargetLimits::Record(const TargetProcess& aProcess,
                     std::optional<double> aRequestsPerSecond,
                     core::MonotonicTime aNow)
{
  // Zero stands for no limit.
  const auto known = this->limits.find(aProcess);
  const double before =
    known == this->limits.end() ? 0.0 : known->second.requestsPerSecond.value_or(0.0);
  const std::optional<double> stated = InRange(aRequestsPerSecond);
  if (before == 0.0 && !stated.has_value()) {
    return false;
  }
  this->Set(aProcess, stated, aNow, true, aNow);
  return before != stated.value_or(0.0);
}

void
TargetLimits::Merge(const RateStatement& aStatement, core::MonotonicTime aNow)
{
  const core::MonotonicTime statedAt = aNow - aStatement.age;
  const auto known = this->limits.find(aStatement.process);
  if (known == this->limits.end() || known->second.statedAt < statedAt) {
    this->Set(aStatement.process, InRange(aStatement.requestsPerSecond), statedAt, false, aNow);
  }
}

std::vector<RateStatement>
TargetLimits::News(core::MonotonicTime aNow) const
{
  std::vector<RateStatement> news;
  for (const auto& [process, limit] : this->limits) {
    if (limit.isOwn && aNow - limit.statedAt <= kReportTime) {
      news.push_back({ process,
                       limit.requestsPerSecond,
                       std::chrono::duration_cast<milliseconds>(aNow - limit.statedAt) });
    }
  }
  return news;
}

// Returns the rate at which this instance may send requests; zero if others own the target.
double
TargetLimits::OwnRate(const TargetProcess& aProcess, double aRequestsPerSecond) const
{
  const auto owners = std::clamp<std::size_t>(
    static_cast<std::size_t>(aRequestsPerSecond), 1, this->peers.size() + 1);
  const std::uint64_t ownWeight = OwnerWeight(this->self, aProcess);
  const auto preceding = static_cast<std::size_t>(
    std::count_if(this->peers.begin(), this->peers.end(), [&](const core::InstanceId& aPeer) {
      return OwnerWeight(aPeer, aProcess) > ownWeight;
    }));
  return preceding < owners ? aRequestsPerSecond / static_cast<double>(owners) : 0.0;
}

double
TargetLimits::Tokens(const TargetProcess& aProcess,
                     const Limit& aLimit,
                     core::MonotonicTime aNow) const
{
  const double rate = this->OwnRate(aProcess, *aLimit.requestsPerSecond);
  return std::min(1.0, aLimit.tokens + rate * Seconds(aNow - aLimit.refilledAt).count());
}

milliseconds
TargetLimits::Wait(const TargetProcess& aProcess, core::MonotonicTime aNow) const
{
  const auto found = this->limits.find(aProcess);
  if (found == this->limits.end() || !found->second.requestsPerSecond.has_value()) {
    return milliseconds(0);
  }
  const double rate = this->OwnRate(aProcess, *found->second.requestsPerSecond);
  if (rate == 0.0) {
    // The owners are likely to send one by then, and then again after a pause as long.
    return CeilMilliseconds(1.0 / *found->second.requestsPerSecond);
  }
  const double missing = 1.0 - this->Tokens(aProcess, found->second, aNow);
  return missing <= 0.0 ? milliseconds(0) : CeilMilliseconds(missing / rate);
}

bool
TargetLimits::TryTake(const TargetProcess& aProcess, core::MonotonicTime aNow)
{
  const auto found = this->limits.find(aProcess);
  if (found == this->limits.end() || !found->second.requestsPerSecond.has_value()) {
    return true;
  }
  Limit& limit = found->second;
  limit.tokens = this->Tokens(aProcess, limit, aNow);
  limit.refilledAt = aNow;
  if (limit.tokens < 1.0 || this->OwnRate(aProcess, *limit.requestsPerSecond) == 0.0) {
    return false;
  }
  limit.tokens -= 1.0;
  return true;
}

} // namespace plantainslip::serving
