#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <plantainslip/control/fleet_view.hpp>
#include <plantainslip/membership/membership.hpp>
#include <plantainslip/platform/instance_list.hpp>

namespace plantainslip::control {

/// @brief Combines configuration, instance list, membership and engine reports into a FleetView. No
///        I/O; not thread-safe.
/// @note All functions are at most linear in the number of listed instances, members and leaving
///       marks, apart from lookups; no errors.
class ViewBuilder
{
public:
  /// @brief Adopts a configuration if it is newer than the current one.
  /// @return whether it was adopted
  bool AdoptConfiguration(std::shared_ptr<const config::Configuration> aConfiguration);

  /// @brief Replaces the platform's instance list.
  void SetList(std::vector<platform::ListedInstance> aList);

  /// @brief Replaces the state from membership.
  /// @param aMembers  known members, including dead ones and ones that are not listed yet
  /// @param aMarks  marks of the targets and instances that must get no new work
  void SetMembership(std::vector<membership::MemberRecord> aMembers,
                     const std::vector<membership::LeavingMark>& aMarks);

  /// @brief Sets an engine's report.
  void SetReport(const core::TargetId& aTarget,
                 targets::EngineReport aReport,
                 core::MonotonicTime aNow);

  /// @brief Removes the report of an engine that is unreachable or unknown.
  void RemoveReport(const core::TargetId& aTarget);

  /// @brief Returns the version of the configuration in force; zero if there is none.
  core::ConfigVersion Version() const;

  /// @brief Builds a view of the current state.
  std::shared_ptr<const FleetView> Build() const;

private:
  void AddEntries(FleetView& aView) const;
  bool IsLeaving(const platform::ListedInstance& aListed) const;
  EngineView MakeEngine(const platform::ListedInstance& aListed) const;

  struct TimedReport
  {
    targets::EngineReport report;
    core::MonotonicTime reportedAt;
  };

  std::shared_ptr<const config::Configuration> configuration;
  std::vector<platform::ListedInstance> list;
  std::map<core::TargetId, TimedReport> reports;
  std::vector<membership::MemberRecord> members;
  std::set<std::string> leaving;
};

} // namespace plantainslip::control
