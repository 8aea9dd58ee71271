#pragma once

#include <map>
#include <optional>
#include <vector>

#include <plantainslip/serving/target_notices.hpp>

namespace plantainslip::serving {

/// @brief What a process of a target last stated about the rate of requests that it takes from all
///        instances together.
struct RateStatement
{
  TargetProcess process;
  /// @brief Requests per second; absent if it no longer states a limit.
  std::optional<double> requestsPerSecond;
  /// @brief Time since the statement.
  milliseconds age{ 0 };

  bool operator==(const RateStatement&) const = default;
};

/// @brief Keeps the requests of all instances together within the rates that targets state.
///
/// Answers targets in need, such as overheated or partly failed ones, that name a rate in their
/// responses for as long as it holds. The rate is divided among the instances, whose requests do
/// not know of each other: as many of the live ones as there are whole requests in a second own an
/// equal share each, by rendezvous hashing, and the others send none. So shares are not too small
/// to be used, and a saved request of each owner stays within a second's rate. Not thread-safe.
class TargetLimits
{
public:
  /// @brief How long peers are told of a statement. Each new one, from any response, is told again.
  static constexpr milliseconds kReportTime{ 1'000 };
  /// @brief Range of rates that are distinguished, in requests per second.
  static constexpr double kMinRate = 0.01;
  static constexpr double kMaxRate = 1e9;
  /// @brief Maximum number of limits that are remembered; the oldest are dropped.
  static constexpr std::size_t kMaxLimits = 4'096;

  /// @brief Sets the live instances of the fleet. Linear in their number.
  void SetInstances(const core::InstanceId& aSelf, std::vector<core::InstanceId> aLivePeers);

  /// @brief Records what a response of a target states. Logarithmic in the number of limits.
  /// @param aRequestsPerSecond  the stated limit, if any
  /// @return true if the limit is new, changed or gone
  bool Record(const TargetProcess& aProcess,
              std::optional<double> aRequestsPerSecond,
              core::MonotonicTime aNow);

  /// @brief Merges what a peer has heard; the latest statement counts. As Record().
  void Merge(const RateStatement& aStatement, core::MonotonicTime aNow);

  /// @brief Returns what this instance has recently heard from targets themselves; linear in the
  ///        number of limits.
  std::vector<RateStatement> News(core::MonotonicTime aNow) const;

  /// @brief Returns whether any limit is remembered.
  bool HasLimits() const { return !this->limits.empty(); }

  /// @brief Returns the time until a request may be sent to a target; zero if it may be now.
  ///        Linear in the number of instances for a target with a limit.
  milliseconds Wait(const TargetProcess& aProcess, core::MonotonicTime aNow) const;

  /// @brief Counts a request that is about to be sent. As Wait().
  /// @return false if it may not be sent
  bool TryTake(const TargetProcess& aProcess, core::MonotonicTime aNow);

private:
  struct Limit
  {
    /// @brief Absent once the target has stated that there is none any more.
    std::optional<double> requestsPerSecond;
    core::MonotonicTime statedAt;
    bool isOwn = false;
    /// @brief Requests that may be sent, at most one, at the time of the last change.
    double tokens = 0.0;
    core::MonotonicTime refilledAt;
  };

  void Set(const TargetProcess& aProcess,
           std::optional<double> aRequestsPerSecond,
           core::MonotonicTime aStatedAt,
           bool aIsOwn,
           core::MonotonicTime aNow);
  double OwnRate(const TargetProcess& aProcess, double aRequestsPerSecond) const;
  double Tokens(const TargetProcess& aProcess, const Limit& aLimit, core::MonotonicTime aNow) const;

  core::InstanceId self;
  std::vector<core::InstanceId> peers;
  std::map<TargetProcess, Limit> limits;
};

} // namespace plantainslip::serving
