#pragma once

#include <functional>
#include <string>
#include <vector>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/limits/share_owner.hpp>
#include <plantainslip/limits/workspace_buckets.hpp>

namespace plantainslip::harness {

/// @brief Instances that keep one another's limits in step, over messages that a test may lose. One
///        thread and a clock that is moved by hand.
class LimitFleet
{
public:
  /// @brief Tells whether a message from one instance reaches another.
  using Reaches = std::function<bool(std::size_t aFrom, std::size_t aTo)>;

  LimitFleet(std::size_t aInstances, const limits::LimitOptions& aOptions);

  /// @brief Sets which messages arrive; all do at first.
  void SetReaches(Reaches aReaches) { this->reaches = std::move(aReaches); }

  /// @brief Decides on one request at one instance.
  bool Admit(std::size_t aInstance,
             const core::WorkspaceId& aWorkspace,
             const config::WorkspaceLimit& aLimit,
             core::TokenCount aTokens);

  /// @brief Moves time; every instance reports once in each interval, one after another.
  void Advance(std::chrono::milliseconds aStep);

  /// @brief Gives the bytes of all messages between two different instances so far.
  std::uint64_t Bytes() const { return this->bytes; }
  /// @brief Gives the number of those messages, answers not counted.
  std::uint64_t Messages() const { return this->messages; }
  /// @brief Gives the number of workspaces that one instance keeps.
  std::size_t Workspaces(std::size_t aInstance) const
  {
    return this->nodes[aInstance].buckets.Size();
  }
  /// @brief Gives the number of leases that one instance keeps as owner.
  std::size_t LeaseCount(std::size_t aInstance) const
  {
    return this->nodes[aInstance].owner.LeaseCount();
  }

private:
  struct Node
  {
    core::InstanceId instance;
    limits::WorkspaceBuckets buckets;
    limits::ShareOwner owner;
    core::MonotonicTime reportsAt;
  };

  void Report(std::size_t aFrom);
  std::size_t Find(const core::InstanceId& aInstance) const;
  limits::LimitDecision Ask(std::size_t aFrom,
                            std::size_t aTo,
                            const limits::LimitRequest& aRequest);

  limits::LimitOptions options;
  core::ManualClock clock;
  std::vector<Node> nodes;
  Reaches reaches;
  std::uint64_t bytes = 0;
  std::uint64_t messages = 0;
};

} // namespace plantainslip::harness
