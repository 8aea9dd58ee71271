#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <plantainslip/serving/directory.hpp>
#include <plantainslip/serving/stage_plan.hpp>
#include <plantainslip/serving/target_notices.hpp>

#include <plantainslip/core/random.hpp>

#include "async_store.hpp"
#include "directory_codec.hpp"
#include "duty_caller.hpp"
#include "http_listener.hpp"
#include "lease_keeper.hpp"
#include "observed_store.hpp"
#include "store_follower.hpp"

namespace plantainslip::serving {

/// @brief An instance, as listed in the store.
struct PeerInstance
{
  core::InstanceId id;
  net::Address address;
  core::ZoneId zone;

  bool operator==(const PeerInstance&) const = default;
};

/// @brief State that the control thread passes to the traffic thread.
struct ControlUpdate
{
  std::shared_ptr<const FleetSnapshot> fleet;
  /// @brief When the store last confirmed that the snapshot is current.
  core::MonotonicTime confirmedAt;
  std::vector<PeerInstance> peers;
  /// @brief Engines that are changing their stage and must get no work.
  std::vector<core::TargetId> changing;
  /// @brief Processes that stated in responses to orders that they are leaving.
  std::vector<TargetProcess> leaving;
  /// @brief Whether to inform peers immediately, as they may have no other source.
  bool announce = false;
  /// @brief Token with which this instance holds the fleet's lease; zero if it does not, or if the
  ///        deployment has no platform calls.
  core::FencingToken heldToken;
};

/// @brief Identity and address of the instance, and settings of the control thread.
struct ControlOptions
{
  PeerInstance self;
  /// @brief Bandwidth of the instance's link in megabits per second.
  double linkMbps = 0.0;
  /// @brief Duration of the lease whose holder may send orders.
  milliseconds leaseDuration{ 3'000 };
  /// @brief Interval at which targets renew their directory entries.
  milliseconds targetHeartbeat{ 0 };
  /// @brief Share of a service's engines that decode until its demand is known; by the batch slots
  ///        if not set.
  std::optional<double> initialDecodeShare;
  StageChangeCosts stageChangeCosts = {};
  /// @brief Absent if the deployment has no address for platform calls; orders to targets then
  ///        follow the lease as they do without duties.
  std::optional<PlatformCallOptions> platformCalls;
  /// @brief Limits of the connections on which peers read changes of the store.
  ListenerLimits changesLimits = {};
};

/// @brief Follows the store, maintains the instance's entry there, and sends orders while it holds
///        the fleet's lease. Used on the control thread.
class Control
{
public:
  using Publish = std::function<void(ControlUpdate)>;

  Control(asio::io_context& aContext,
          AsyncStore& aStore,
          const DirectoryCodec& aCodec,
          const TargetProtocol& aProtocol,
          ConnectionPool& aPool,
          const core::Clock& aClock,
          ControlOptions aOptions,
          Publish aPublish);

  /// @brief Starts all loops and opens the port at which peers fetch store changes.
  /// @return OK, or error 1506 (serving.cannot_listen)
  absl::Status Start();

  /// @brief Adds work that is done while this instance holds the lease. The options must have
  ///        platform calls. Before Start().
  void AddDuty(std::unique_ptr<Duty> aDuty);

  /// @brief Enables platform calls; the options must have their address. Before Start().
  void EnableCalls(const DutyCodec& aCodec, PathMetrics& aMetrics);

  /// @brief Neither claims nor renews the lease any more, as the instance is stopping. Without
  ///        platform calls the lease is kept until the process ends.
  void BeginStop();

  /// @brief Processes the states of live peers; called several times per second.
  void UpdatePeers(const std::vector<PeerState>& aPeers);

  /// @brief Sets the processes that state that they are leaving while the directory lists them as
  ///        usable; they count as leaving for the stage planner.
  void SetLeaving(std::vector<TargetProcess> aLeaving) { this->leaving = std::move(aLeaving); }

  /// @brief Processes the demand that all instances have seen; called several times per second.
  /// @param aHasTraffic  whether any instance has seen traffic, also before this one started
  void UpdateDemand(const DemandTable& aTotals, const ZoneDemandTable& aZones, bool aHasTraffic);

private:
  struct RunningDuty
  {
    std::unique_ptr<Duty> duty;
    bool isPerforming = false;
  };

  Task<void> MaintainEntry();
  Task<bool> EnsureEntry();
  Task<void> ReadPeers();
  Task<void> ApplyTargetDeadlines();
  Task<void> LeadershipLoop();
  Task<void> SendOrders();
  Task<void> SendOrder(StageChange aChange);
  bool StatesLeaving(const Target& aTarget, const absl::StatusOr<SimpleAnswer>& aAnswer);
  milliseconds TimeSinceMembershipChange() const;
  void RecordMembershipChange();
  void RemoveFinishedOrders();
  FleetSnapshot ExpectedFleet() const;
  bool IsSettling(const Service& aService) const;
  bool PeerHoldsLease() const;
  void RecordLivePeers(const std::vector<PeerState>& aPeers);
  void OnLeaseChange();
  void StartDuties();
  Task<void> PerformDuty(RunningDuty& aDuty);
  DutyInput MakeDutyInput();
  /// @brief Returns the measured demand by service and zone, for DutyInput.
  std::map<core::ServiceName, ZoneDemand> MeasuredZoneDemand() const;
  void ApplyConfig(const FollowedChanges& aChanges);
  void ApplyTargets(const FollowedChanges& aChanges);
  /// @brief Logs a change by which a target that was listed as usable leaves or is removed.
  /// @param aBefore  the directory before the change
  void LogDeparture(const DirectoryChange& aChange,
                    const FollowedChanges& aSource,
                    const std::map<core::TargetId, Target>& aBefore) const;
  ObservedStore::Observer StoreObserver();
  void PublishUpdate(bool aAnnounce = false);
  void RecordConfirmation(core::MonotonicTime aAt);
  bool HasHealthyWatches() const;
  PeerState OwnState() const;

  asio::io_context& context;
  ObservedStore store;
  const DirectoryCodec& codec;
  const TargetProtocol& protocol;
  ConnectionPool& pool;
  const core::Clock& clock;
  ControlOptions options;
  Publish publish;
  core::RandomSource random;

  StoreFollower configFollower;
  StoreFollower targetFollower;
  std::unique_ptr<HttpListener> changesServer;
  WatchDuty duty;
  Directory directory;
  std::shared_ptr<const ServingConfig> config;
  /// @brief Position of the last configuration that could be read.
  StorePosition configPosition;
  core::MonotonicTime confirmedAt;
  std::vector<PeerInstance> peers;
  /// @brief Number of peers that are alive.
  std::size_t livePeerCount = 0;
  std::optional<Lease> entryLease;

  LeaseKeeper leadership;
  std::vector<std::unique_ptr<RunningDuty>> duties;
  std::unique_ptr<DutyCaller> dutyCalls;
  PathMetrics* metrics = nullptr;
  /// @brief Live instances by zone, this one included.
  std::map<core::ZoneId, std::size_t> liveInstances;
  /// @brief Highest token that a live peer states to hold the lease with; zero if none does.
  core::FencingToken peerToken;
  /// @brief Stage change that was ordered, and when the order is dropped if the directory does not
  ///        show the change.
  struct PendingOrder
  {
    EngineStage stage = EngineStage::kNone;
    core::MonotonicTime expiresAt;
  };
  std::map<core::TargetId, PendingOrder> pendingOrders;
  /// @brief When a target last joined or left.
  core::MonotonicTime membershipChangedAt;
  /// @brief When stage changes by the measured demand were last ordered, by service.
  std::map<core::ServiceName, core::MonotonicTime> replannedAt;
  /// @brief Demand on the engines, by service.
  std::map<core::ServiceName, DemandEstimator> demand;
  std::map<core::ServiceName, std::map<core::ZoneId, DemandEstimator>> zoneDemand;
  bool hasTraffic = false;
  std::vector<TargetProcess> leaving;
  /// @brief Whether there was a period of #kSettlingTime without a membership change since the
  ///        first one.
  bool settledBefore = false;
};

} // namespace plantainslip::serving
