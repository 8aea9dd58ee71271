#pragma once

#include <map>
#include <memory>
#include <string>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/serving/stage_demand.hpp>
#include <plantainslip/serving/target_protocol.hpp>

#include "asio.hpp"

namespace plantainslip::serving {

/// @brief One call to the platform, without the fields that name the lease holder.
struct PlatformCall
{
  std::string path;
  std::string body;
};

/// @brief Result of a call to the platform.
enum class CallOutcome
{
  kDone,
  /// @brief Refused: a higher fencing token was seen, or the platform has no target to give.
  kRefused,
  /// @brief Too many calls; not carried out.
  kThrottled,
  /// @brief Not sent: the lease, the subject or the call rate does not allow it now.
  kNotSent,
  /// @brief Rejected by the platform for another reason; not carried out.
  kFailed,
  /// @brief No answer: it may have been carried out, or may be carried out seconds later.
  kUnknown,
};

/// @brief Returns an outcome's name in logs and counters.
std::string
OutcomeName(CallOutcome aOutcome);

/// @brief Kind of targets that an order to scale is about.
enum class TargetKind
{
  kRegular,
  kReclaimable,
};

/// @brief Requests that began to run, by workspace.
using UsageCounts = std::map<core::WorkspaceId, std::uint64_t>;

/// @brief Formats of platform calls: names, no decisions.
/// @note Implementations are stateless and thread-safe.
class DutyCodec
{
public:
  virtual ~DutyCodec() = default;

  /// @brief Returns the header fields that name the lease holder and its fencing token.
  virtual HeaderList AuthorityHeaders(const core::InstanceId& aHolder,
                                      core::FencingToken aToken) const = 0;

  /// @brief Builds the usage report of a window. The same arguments give the same bytes.
  virtual PlatformCall UsageReport(std::uint64_t aWindow, const UsageCounts& aCounts) const = 0;

  /// @brief Builds an order for a number of a service's targets in a zone.
  virtual PlatformCall ScaleOrder(const core::ServiceName& aService,
                                  const core::ZoneId& aZone,
                                  TargetKind aKind,
                                  std::uint64_t aCount) const = 0;

  /// @brief Maps the status of an answer to its outcome.
  virtual CallOutcome ReadOutcome(int aStatus) const = 0;
};

/// @brief Makes platform calls under the fleet's lease. Used on the control thread.
class DutyCalls
{
public:
  virtual ~DutyCalls() = default;

  /// @brief Returns whether this instance holds the lease for long enough to make a call now.
  virtual bool MayCall() const = 0;

  /// @brief Makes a call. Checks the lease and the call rate before it sends anything, and keeps at
  ///        most one call in flight per subject.
  /// @param aDuty  name of the duty, for logs and counters
  /// @param aSubject  what the call is about; calls on one subject are ordered
  /// @note After a call without an answer only its exact repeat is sent on that subject until the
  ///       first one can no longer be carried out late.
  virtual Task<CallOutcome> Call(std::string aDuty, std::string aSubject, PlatformCall aCall) = 0;
};

/// @brief What a duty decides by, besides its own state.
struct DutyInput
{
  /// @brief Configuration and targets, with ordered stage changes counted as done; never null.
  std::shared_ptr<const FleetSnapshot> fleet;
  /// @brief Measured demand by service; services without an estimate are absent.
  std::map<core::ServiceName, StageDemand> demand;
  /// @brief Measured demand by service and zone; zones without an estimate are absent.
  std::map<core::ServiceName, ZoneDemand> zoneDemand;
  /// @brief Zones of the instances that are alive, this one included, with their numbers.
  std::map<core::ZoneId, std::size_t> liveInstances;
  /// @brief Whether the store has confirmed lately that the snapshot is the newest.
  bool isConfirmed = false;
  /// @brief Time since a target last joined or left.
  milliseconds sinceMembershipChange{ 0 };
};

/// @brief Work that the holder of the fleet's lease does for the platform. Used on the control
///        thread.
class Duty
{
public:
  virtual ~Duty() = default;

  /// @brief Called about once a second while this instance holds the lease and may make calls; not
  ///        called again before it has returned.
  virtual Task<void> Perform(DutyCalls& aCalls, DutyInput aInput) = 0;

  /// @brief Called when this instance has lost the lease or given it up.
  virtual void OnLeaseLost() {}
};

} // namespace plantainslip::serving
