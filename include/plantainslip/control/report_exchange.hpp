#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <plantainslip/control/load_record.hpp>
#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::control {

/// @brief Settings of the exchange of reports.
struct ReportExchangeOptions
{
  /// @brief Time between two polls of an engine by its owner.
  std::chrono::milliseconds pollInterval = std::chrono::milliseconds(500);
  /// @brief Age from which an instance polls an engine itself, whoever the owner is.
  std::chrono::milliseconds staleAge = std::chrono::seconds(10);
  /// @brief Age up to which a record is handed on.
  std::chrono::milliseconds tellAge = std::chrono::seconds(5);
};

/// @brief An engine's report and when the engine gave it.
struct TimedReport
{
  targets::EngineReport report;
  core::MonotonicTime reportedAt;
};

/// @brief Shares the polling of a zone's engines among its entry instances: one owner polls each
///        engine, and the instances hand compact records on to each other. No I/O; one thread.
/// @note Functions are at most linear in engines times instances of the zone; no errors.
class ReportExchange
{
public:
  /// @brief Starts with no fleet; every engine that is named later is unknown.
  ReportExchange(core::InstanceId aSelf, ReportExchangeOptions aOptions);

  /// @brief Sets who shares the work and what is to be polled.
  /// @param aInstances  the zone's live entry instances; this one counts whether or not it is named
  /// @param aEngines  the zone's engines
  void SetFleet(const std::vector<core::InstanceId>& aInstances,
                const std::vector<core::TargetId>& aEngines);

  /// @brief Gives the engines that this instance has to poll now, and counts them as being polled
  ///        until AdoptPolled() or AdoptUnreachable() is called for them:
  ///        its own ones that are due, those whose report is too old, and those whose records tell
  ///        of a change that this instance has not read yet.
  std::vector<core::TargetId> TakeDuePolls(core::MonotonicTime aNow);

  /// @brief Takes a report that this instance has polled.
  void AdoptPolled(const core::TargetId& aTarget,
                   const targets::EngineReport& aReport,
                   core::MonotonicTime aNow);

  /// @brief Takes that an engine could not be polled.
  void AdoptUnreachable(const core::TargetId& aTarget, core::MonotonicTime aNow);

  /// @brief Takes the records that a peer has handed on; older ones than those known are ignored.
  /// @return whether anything changed
  bool AdoptRecords(const std::vector<LoadRecord>& aRecords, core::MonotonicTime aNow);

  /// @brief Gives the records that are worth handing on.
  std::vector<LoadRecord> MakeRecords(core::MonotonicTime aNow) const;

  /// @brief Gives what is known of an engine; nothing if it cannot be reached or is unknown.
  std::optional<TimedReport> Find(const core::TargetId& aTarget) const;

  /// @brief Tells whether this instance is an engine's owner.
  bool Owns(const core::TargetId& aTarget) const;

private:
  struct Engine
  {
    core::TargetId target;
    bool owned = false;
    /// @brief Last report that this instance read itself; the rest comes from records.
    std::optional<targets::EngineReport> report;
    std::uint16_t identity = 0;
    core::MonotonicTime reportedAt;
    bool known = false;
    /// @brief Whether a record tells of another identity than the report has.
    bool outdated = false;
    core::MonotonicTime pollAt;
    /// @brief Whether a poll is under way, so that a slow engine does not gather polls.
    bool polling = false;
  };

  Engine* FindEngine(std::uint32_t aHash);
  bool AdoptRecord(Engine& aEngine, const LoadRecord& aRecord, core::MonotonicTime aNow) const;

  core::InstanceId self;
  ReportExchangeOptions options;
  std::map<std::uint32_t, Engine> engines;
};

} // namespace plantainslip::control
