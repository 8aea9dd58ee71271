#pragma once

#include <map>
#include <memory>
#include <vector>

#include <plantainslip/control/fleet_view.hpp>
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
  struct TimedReport
  {
    targets::EngineReport report;
    core::MonotonicTime reportedAt;
  };

  std::shared_ptr<const config::Configuration> configuration;
  std::vector<platform::ListedInstance> list;
  std::map<core::TargetId, TimedReport> reports;
};

} // namespace plantainslip::control
