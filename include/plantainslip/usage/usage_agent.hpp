#pragma once

#include <plantainslip/usage/fleet_clock.hpp>
#include <plantainslip/usage/usage_collector.hpp>

namespace plantainslip::usage {

/// @brief How far the reports are, as far as an instance knows.
struct Progress
{
  /// @brief First window that is neither reported nor given up.
  Window doneBefore;
  /// @brief First window without a written report, and the store's era of the last report.
  Window writtenBefore;
  std::uint64_t era = 0;

  bool operator==(const Progress&) const = default;
};

/// @brief A live instance.
struct Member
{
  core::InstanceId id;
  core::ZoneId zone;
};

/// @brief Returns the instances that collect counts: the lease holder, if any, and two others, in
///        other zones where possible. The same on all instances that know the same members.
std::vector<core::InstanceId>
ChooseCollectors(const std::vector<Member>& aMembers,
                 const std::optional<core::InstanceId>& aHolder);

/// @brief One instance's part in counting requests: counts its own, tells the collectors, and
///        collects for others. Used on the traffic thread; sends nothing itself.
class UsageAgent
{
public:
  struct Outgoing
  {
    core::InstanceId to;
    std::string bytes;
  };

  UsageAgent(const core::Clock& aClock, const WindowRules& aRules, Member aSelf);

  /// @brief Counts a request that began to run.
  void Count(const core::WorkspaceId& aWorkspace);

  /// @brief Called about once a second.
  /// @param aPeers  live instances without this one
  /// @param aHolder  holder of the fleet's lease, if known
  /// @return datagrams to send
  std::vector<Outgoing> Tick(const std::vector<Member>& aPeers,
                             const std::optional<core::InstanceId>& aHolder);

  /// @brief Processes a datagram.
  /// @return datagrams to send
  std::vector<Outgoing> Receive(const UsageMessage& aMessage);

  /// @brief Sets how far this instance's own reports are.
  /// @return datagrams that tell the other collectors, so that they make no other report
  std::vector<Outgoing> SetProgress(const Progress& aProgress);

  /// @brief Returns the windows that can be reported, in order. For the lease holder.
  std::vector<ClosedWindow> CloseWindows();

  Progress Known() const;
  std::uint64_t TakeMissed() { return this->collector.TakeMissed(); }
  FleetTime Now() const { return this->fleetClock.Now(this->clock); }

private:
  CountsMessage OwnCounts();
  std::string EncodeKnown() const;
  void Learn(const Progress& aProgress);

  const core::Clock& clock;
  WindowRules rules;
  Member self;
  core::MonotonicTime startedAt;
  usage::Process process;
  UsageCounter counter;
  FleetClock fleetClock;
  UsageCollector collector;
  Progress progress;
  std::vector<core::InstanceId> collectors;
  std::vector<core::InstanceId> live;
};

} // namespace plantainslip::usage
