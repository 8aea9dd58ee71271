#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <plantainslip/serving/directory.hpp>

#include <plantainslip/core/random.hpp>

#include "async_store.hpp"
#include "directory_codec.hpp"
#include "store_follower.hpp"

namespace plantainslip::serving {

/// @brief Another instance, as the store lists it.
struct PeerInstance
{
  core::InstanceId id;
  net::Address address;
  core::ZoneId zone;

  bool operator==(const PeerInstance&) const = default;
};

/// @brief What the control thread tells the traffic thread.
struct ControlNews
{
  std::shared_ptr<const FleetSnapshot> fleet;
  /// @brief When the store last confirmed the snapshot.
  core::MonotonicTime confirmedAt;
  std::vector<PeerInstance> peers;
  /// @brief Engines that are changing their stage and are to get no work.
  std::vector<core::TargetId> changing;
  /// @brief Whether peers are to hear of this at once, as they may not learn it elsewhere.
  bool announce = false;
};

/// @brief Who the instance is and how it is reached by its peers.
struct ControlOptions
{
  PeerInstance self;
  /// @brief Bandwidth of the instance's link in megabits a second.
  double linkMbps = 0.0;
  /// @brief Lease of the right to give orders.
  milliseconds leaseDuration{ 3'000 };
};

/// @brief Follows the store, keeps the instance's entry there, and gives orders if it holds the
///        fleet's lease. All on the control thread.
class Control
{
public:
  using Publish = std::function<void(ControlNews)>;

  Control(asio::io_context& aContext,
          AsyncStore& aStore,
          const DirectoryCodec& aCodec,
          ConnectionPool& aPool,
          const core::Clock& aClock,
          ControlOptions aOptions,
          Publish aPublish);

  /// @brief Starts all loops and opens the port at which peers read changes of the store.
  /// @return OK, or error 1506 (serving.cannot_listen)
  absl::Status Start();

  /// @brief Learns what peers say of themselves, several times a second.
  void NotePeers(const std::vector<PeerStanding>& aPeers);

private:
  Task<void> KeepEntry();
  Task<bool> EnsureEntry();
  Task<void> ReadPeers();
  Task<void> ExpireLapsed();
  Task<void> Lead();
  Task<void> TakeLease();
  Task<void> HoldLease();
  Task<void> GiveOrders();
  Task<void> GiveOrder(StageChange aChange);
  milliseconds SinceMembersChanged() const;
  void NoteMembersChanged();
  void ForgetEndedOrders();
  FleetSnapshot ExpectedFleet() const;
  void StandDown(const std::string& aReason);
  bool LeaseIsSafe() const;
  void ApplyConfig(const FollowedChanges& aChanges);
  void ApplyTargets(const FollowedChanges& aChanges);
  void PublishNews(bool aAnnounce = false);
  void Confirm(core::MonotonicTime aAt);
  bool Follows() const;
  PeerStanding OwnStanding() const;
  Task<void> Sleep(milliseconds aTime);

  asio::io_context& context;
  AsyncStore& store;
  const DirectoryCodec& codec;
  ConnectionPool& pool;
  const core::Clock& clock;
  ControlOptions options;
  Publish publish;
  core::RandomSource random;

  StoreFollower configFollower;
  StoreFollower targetFollower;
  std::unique_ptr<FrontDoor> changesDoor;
  WatchDuty duty;
  Directory directory;
  std::shared_ptr<const ServingConfig> config;
  core::Revision configRevision;
  core::Revision targetsRevision;
  core::MonotonicTime confirmedAt;
  std::vector<PeerInstance> peers;
  /// @brief Peers that were heard of lately.
  std::size_t livePeers = 0;
  std::optional<LeaseId> entryLease;

  struct Leadership
  {
    LeaseId lease;
    core::FencingToken token;
    /// @brief Boot time, which goes on while the machine is suspended.
    std::chrono::nanoseconds safeUntil{ 0 };
    std::chrono::nanoseconds ordersFrom{ 0 };
  };
  std::optional<Leadership> leadership;
  /// @brief Engines under order, and when to look at them again.
  struct OrderedChange
  {
    EngineStage stage = EngineStage::kNone;
    core::MonotonicTime lookAgainAt;
  };
  std::map<core::TargetId, OrderedChange> ordered;
  /// @brief When a target last came or went.
  core::MonotonicTime membersChangedAt;
  /// @brief Whether the targets have been without a change for a while since the start.
  bool settledOnce = false;
};

} // namespace plantainslip::serving
