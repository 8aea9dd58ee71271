#pragma once

#include <compare>
#include <map>
#include <optional>
#include <vector>

#include <plantainslip/serving/fleet.hpp>

namespace plantainslip::serving {

/// @brief One process of a target. A target may start again under the same id.
struct TargetProcess
{
  core::TargetId id;
  /// @brief Start of the process in Unix milliseconds; zero if unknown.
  std::uint64_t startedAt = 0;

  auto operator<=>(const TargetProcess&) const = default;
};

/// @brief Returns the process that a directory entry describes.
inline TargetProcess
ProcessOf(const Target& aTarget)
{
  return { aTarget.id, aTarget.startedAt };
}

/// @brief Returns whether the response to a request for a target's report confirms that the process
///        that a directory entry describes is still running.
///
/// An engine's report states when its process started. A plain service has no report: it refuses
/// the request as one without an id, and any other process would have misdirected it.
/// @param aNotRun  whether the response states that the request was not run
/// @param aStartedAt  start time that the report states, if any
inline bool
IsRunning(const Target& aTarget, int aStatus, bool aNotRun, std::optional<std::uint64_t> aStartedAt)
{
  constexpr int kOk = 200;
  constexpr int kBadRequest = 400;
  if (aStatus == kBadRequest) {
    return aTarget.stage == EngineStage::kNone && aNotRun;
  }
  return aStatus == kOk && aStartedAt.has_value() && *aStartedAt == aTarget.startedAt;
}

/// @brief Remembers what targets state about themselves in their responses.
///
/// A leaving target may be unable to tell the store, and the store unable to tell this instance, so
/// the directory may list it as usable until it ends. A target that is overloaded names the time in
/// which it wants no requests from an instance that it refuses; requests sent before its end delay
/// those that it has accepted. A notice holds for one process of a target. Not thread-safe.
class TargetNotices
{
public:
  /// @brief Maximum number of leaving processes that are remembered; the oldest are dropped.
  static constexpr std::size_t kMaxLeaving = 4'096;

  /// @brief Records that a process states that it is leaving. Logarithmic in their number.
  /// @return true if that was not known
  bool RecordLeaving(const TargetProcess& aProcess, core::MonotonicTime aNow);

  /// @brief Returns when a process was first known to be leaving, if it is.
  std::optional<core::MonotonicTime> LeavingSince(const TargetProcess& aProcess) const;

  /// @brief Returns whether a target is leaving, according to the directory or to itself.
  bool IsLeaving(const Target& aTarget) const
  {
    return aTarget.leaving ||
           (!this->leaving.empty() && this->LeavingSince(ProcessOf(aTarget)).has_value());
  }

  /// @brief Returns the leaving processes that a directory still lists as usable; linear in the
  ///        number of leaving processes.
  std::vector<TargetProcess> NewsFor(const std::map<core::TargetId, Target>& aListed) const;

  /// @brief Records that a process refused a request and wants no more from this instance for a
  ///        time. Linear in the number of pauses.
  void RecordPause(const TargetProcess& aProcess, milliseconds aDuration, core::MonotonicTime aNow);

  /// @brief Returns how much longer a process wants no requests; zero if it takes them.
  milliseconds PauseLeft(const TargetProcess& aProcess, core::MonotonicTime aNow) const;

  /// @brief Returns whether any pause is remembered.
  bool HasPauses() const { return !this->pausedUntil.empty(); }

private:
  std::map<TargetProcess, core::MonotonicTime> pausedUntil;
  std::map<TargetProcess, core::MonotonicTime> leaving;
};

} // namespace plantainslip::serving
