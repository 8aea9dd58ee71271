#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <plantainslip/serving/directory.hpp>

#include <plantainslip/core/random.hpp>

#include "async_store.hpp"
#include "directory_codec.hpp"

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
};

/// @brief Who the instance is and how it is reached by its peers.
struct ControlOptions
{
  PeerInstance self;
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

  /// @brief Starts all loops.
  void Start();

  /// @brief Learns that a peer has seen newer revisions; reads them if they do not come soon.
  void NoteRevisions(core::Revision aConfig, core::Revision aTargets);

  /// @brief Learns how many peers are alive, which spreads the cost of watching over all.
  void NotePeers(std::size_t aCount) { this->livePeers = aCount; }

private:
  using ApplyItems = std::function<void(const StoreItems&, bool)>;

  /// @brief Progress of following one prefix of the store.
  struct Following
  {
    std::string prefix;
    ApplyItems apply;
    core::Revision upTo;
    bool needsAll = true;
    bool healthy = false;
    /// @brief Whether the present outage has been logged.
    bool lossLogged = false;
    /// @brief Whether changes that a peer has seen are being waited for.
    bool catchingUp = false;
    /// @brief Pause after changes, in which further ones gather for one call.
    milliseconds gather{ 0 };
    core::MonotonicTime due;
  };

  Task<void> Follow(Following& aFollowing);
  Task<bool> FollowOnce(Following& aFollowing);
  Task<void> CatchUp(Following& aFollowing, core::Revision aSeen);
  Task<void> KeepEntry();
  Task<bool> EnsureEntry();
  Task<void> ReadPeers();
  Task<void> ExpireLapsed();
  Task<void> Lead();
  Task<void> TakeLease();
  Task<void> HoldLease();
  Task<void> GiveOrders();
  Task<void> GiveOrder(StageChange aChange);
  void ForgetEndedOrders();
  FleetSnapshot ExpectedFleet() const;
  void StandDown(const std::string& aReason);
  bool LeaseIsSafe() const;
  void ApplyConfig(const StoreItems& aItems, bool aAll);
  void ApplyTargets(const StoreItems& aItems, bool aAll);
  void PublishNews();
  Task<void> Sleep(milliseconds aTime);
  milliseconds WatchTime();

  asio::io_context& context;
  AsyncStore& store;
  const DirectoryCodec& codec;
  ConnectionPool& pool;
  const core::Clock& clock;
  ControlOptions options;
  Publish publish;
  core::RandomSource random;

  Following configFollowing;
  Following targetFollowing;
  Directory directory;
  std::shared_ptr<const ServingConfig> config;
  core::Revision configRevision;
  core::Revision targetsRevision;
  core::MonotonicTime confirmedAt;
  std::vector<PeerInstance> peers;
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
};

} // namespace plantainslip::serving
