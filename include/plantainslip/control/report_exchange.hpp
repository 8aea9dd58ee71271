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

/// @brief Settings of ReportExchange.
struct ReportExchangeOptions
{
  /// @brief Min time between two polls of an engine by the same instance.
  std::chrono::milliseconds pollInterval = std::chrono::milliseconds(500);
  /// @brief Age of a report above which an instance polls the engine itself even if it is not the
  ///        owner.
  std::chrono::milliseconds staleAge = std::chrono::seconds(10);
  /// @brief Max age of a report that is forwarded to peers.
  std::chrono::milliseconds maxForwardAge = std::chrono::seconds(5);
};

/// @brief An engine's report and the time at which the engine was polled.
struct TimedReport
{
  targets::EngineReport report;
  core::MonotonicTime reportedAt;
};

/// @brief Distributes the polling of a zone's engines among its entry instances: each engine is
///        polled by one owner, chosen by rendezvous hashing, and the instances forward compact load
///        records to each other. No I/O; not thread-safe.
/// @note All functions are at most linear in the product of the zone's engines and instances; no
///       errors.
class ReportExchange
{
public:
  /// @brief Creates an exchange without engines; add them with SetFleet().
  ReportExchange(core::InstanceId aSelf, ReportExchangeOptions aOptions);

  /// @brief Sets the instances and engines of the zone and determines the owners. Reports of
  ///        engines that stay are kept.
  /// @param aInstances  the zone's live entry instances; this instance counts even if absent
  /// @param aEngines  the zone's engines
  void SetFleet(const std::vector<core::InstanceId>& aInstances,
                const std::vector<core::TargetId>& aEngines);

  /// @brief Returns the engines that this instance must poll now, that is, those without a poll in
  ///        flight whose poll interval has passed and which it owns, whose report is stale, or
  ///        whose records show a change that this instance has not read yet. They count as being
  ///        polled until SetPolledReport() or SetUnreachable() is called.
  std::vector<core::TargetId> StartDuePolls(core::MonotonicTime aNow);

  /// @brief Stores the report from a successful poll by this instance.
  void SetPolledReport(const core::TargetId& aTarget,
                       const targets::EngineReport& aReport,
                       core::MonotonicTime aNow);

  /// @brief Marks an engine as unreachable after a failed poll by this instance.
  void SetUnreachable(const core::TargetId& aTarget, core::MonotonicTime aNow);

  /// @brief Merges records from a peer; records older than the known report are ignored.
  /// @return whether a known report has changed, or a record says that an engine is unreachable
  bool MergeRecords(const std::vector<LoadRecord>& aRecords, core::MonotonicTime aNow);

  /// @brief Returns records of all engines whose state is up to date and not older than
  ///        ReportExchangeOptions::maxForwardAge.
  std::vector<LoadRecord> MakeRecords(core::MonotonicTime aNow) const;

  /// @brief Returns the newest report of an engine; nothing if it is unreachable or unknown.
  std::optional<TimedReport> Find(const core::TargetId& aTarget) const;

  /// @brief Returns whether this instance is the engine's owner.
  bool Owns(const core::TargetId& aTarget) const;

private:
  struct Engine
  {
    core::TargetId target;
    bool owned = false;
    /// @brief Last report that this instance polled itself, with the load from newer records.
    std::optional<targets::EngineReport> report;
    std::uint16_t identity = 0;
    core::MonotonicTime reportedAt;
    /// @brief Whether a poll or a record has given a state, be it unreachable.
    bool known = false;
    /// @brief Whether a record has shown another identity than that of the report, or there is a
    ///        record but no report.
    bool outdated = false;
    /// @brief Earliest time of the next poll.
    core::MonotonicTime pollAt;
    /// @brief Whether a poll is in flight; prevents concurrent polls of a slow engine.
    bool polling = false;
  };

  Engine* FindByHash(std::uint32_t aHash);
  bool MergeRecord(Engine& aEngine, const LoadRecord& aRecord, core::MonotonicTime aNow) const;

  core::InstanceId self;
  ReportExchangeOptions options;
  std::map<std::uint32_t, Engine> engines;
};

} // namespace plantainslip::control
