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

/// @brief Control state of one instance and the rules by which it changes. No I/O, one thread.
/// @note All functions are at most linear in the number of listed instances; no errors.
class ViewBuilder
{
public:
  /// @brief Adopts a configuration if it is newer than the present one; versions never go back.
  /// @return whether it was adopted
  bool AdoptConfiguration(std::shared_ptr<const config::Configuration> aConfiguration);

  /// @brief Takes a new reading of the platform's list.
  void AdoptList(std::vector<platform::ListedInstance> aList);

  /// @brief Takes what membership knows: who is dead, who is there but not listed yet, and which
  ///        targets and instances must get no new work.
  void AdoptMembership(std::vector<membership::MemberRecord> aMembers,
                       const std::vector<membership::LeavingMark>& aMarks);

  /// @brief Takes an engine's report.
  void AdoptReport(const core::TargetId& aTarget,
                   targets::EngineReport aReport,
                   core::MonotonicTime aNow);

  /// @brief Forgets an engine's report, since the engine cannot be reached.
  void ForgetReport(const core::TargetId& aTarget);

  /// @brief Gives the version of the configuration in force; zero if there is none.
  core::ConfigVersion Version() const;

  /// @brief Makes the view that follows from the present state.
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
