#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <plantainslip/scaling/service_planner.hpp>

#include "../serving/duty.hpp"
#include "../serving/path_metrics.hpp"

namespace plantainslip::scaling {

/// @brief Orders the numbers of targets that the planner wants, for all services with scaling
///        limits. Used on the control thread.
///
/// Starts from what the directory lists, so that a new holder of the lease needs nothing from the
/// one before.
class ScalingDuty final : public serving::Duty
{
public:
  ScalingDuty(const serving::DutyCodec& aCodec,
              serving::PathMetrics& aMetrics,
              const core::Clock& aClock,
              const ScalingOptions& aOptions)
    : codec(aCodec)
    , metrics(aMetrics)
    , clock(aClock)
    , options(aOptions)
  {
  }

  serving::Task<void> Perform(serving::DutyCalls& aCalls, serving::DutyInput aInput) override;
  void OnLeaseLost() override;

private:
  struct Order
  {
    std::uint64_t count = 0;
    core::MonotonicTime at;
    /// @brief Whether it has not been answered; then it is repeated.
    bool unanswered = false;
  };

  /// @brief Targets of one kind in one zone.
  struct KindRecord
  {
    std::uint64_t serving = 0;
    std::uint64_t leaving = 0;
    /// @brief Most that served since the last order.
    std::uint64_t mostServing = 0;
    std::optional<Order> order;
    std::optional<core::MonotonicTime> loweredAt;
    core::MonotonicTime unavailableUntil;
  };

  using Key = std::pair<core::ZoneId, serving::TargetKind>;

  struct ServiceRecord
  {
    explicit ServiceRecord(const ScalingOptions& aOptions)
      : planner(aOptions)
    {
    }

    ServicePlanner planner;
    std::map<Key, KindRecord> kinds;
  };

  /// @brief A number to be ordered.
  struct Wanted
  {
    core::ZoneId zone;
    serving::TargetKind kind = serving::TargetKind::kRegular;
    std::uint64_t count = 0;
    std::uint64_t present = 0;
  };

  void CheckDirectory(const serving::DutyInput& aInput);
  void CountTargets(const serving::FleetSnapshot& aFleet,
                    const serving::Service& aService,
                    ServiceRecord& aRecord) const;
  void FindReclaims(const serving::Service& aService, ServiceRecord& aRecord) const;
  KindState StateOf(const serving::Service& aService,
                    const KindRecord& aRecord,
                    bool aIsComplete) const;
  ScalingInput MakeInput(const serving::DutyInput& aInput,
                         const serving::Service& aService,
                         const ServiceRecord& aRecord) const;
  std::vector<Wanted> ChooseOrders(const ScalingInput& aInput,
                                   const ScalingPlan& aPlan,
                                   const ServiceRecord& aRecord);
  /// @brief Returns whether the platform refused an order, so that others take its place.
  serving::Task<bool> OrderOnce(serving::DutyCalls& aCalls,
                                const serving::DutyInput& aInput,
                                const serving::Service& aService);
  /// @brief Sends an order, again after a pause while the call rate does not allow it.
  serving::Task<serving::CallOutcome> Send(serving::DutyCalls& aCalls,
                                           core::ServiceName aService,
                                           Wanted aWanted);
  void Record(KindRecord& aRecord, const Wanted& aWanted, serving::CallOutcome aOutcome) const;

  const serving::DutyCodec& codec;
  serving::PathMetrics& metrics;
  const core::Clock& clock;
  ScalingOptions options;
  std::map<core::ServiceName, ServiceRecord> services;
  serving::StoreEra knownEra;
  /// @brief Time until which a directory that was read from a copy may lack targets.
  core::MonotonicTime incompleteUntil;
};

} // namespace plantainslip::scaling
