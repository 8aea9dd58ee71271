#pragma once

#include <plantainslip/duties/call_rules.hpp>

#include "duty.hpp"
#include "lease_keeper.hpp"
#include "path_metrics.hpp"
#include "simple_call.hpp"

namespace plantainslip::serving {

/// @brief The platform's address for calls that only the lease holder makes.
struct PlatformCallOptions
{
  net::Address address;
  /// @brief Calls per second that the platform accepts from all instances together.
  double callsPerSecond = 0.0;
};

/// @brief Makes platform calls over HTTP while this instance holds the fleet's lease. Used on the
///        control thread.
class DutyCaller final : public DutyCalls
{
public:
  DutyCaller(LeaseKeeper& aLease,
             const DutyCodec& aCodec,
             ConnectionPool& aPool,
             PathMetrics& aMetrics,
             core::InstanceId aSelf,
             PlatformCallOptions aOptions,
             std::chrono::milliseconds aLeaseDuration);

  bool MayCall() const override { return this->lease.MayCall(); }
  Task<CallOutcome> Call(std::string aDuty, std::string aSubject, PlatformCall aCall) override;

private:
  Task<absl::StatusOr<SimpleAnswer>> Send(PlatformCall aCall, core::FencingToken aToken);
  CallOutcome Settle(const std::string& aSubject, const absl::StatusOr<SimpleAnswer>& aAnswer);

  LeaseKeeper& lease;
  const DutyCodec& codec;
  ConnectionPool& pool;
  PathMetrics& metrics;
  core::InstanceId self;
  PlatformCallOptions options;
  duties::CallRules rules;
  duties::ReachRules reach;
};

} // namespace plantainslip::serving
