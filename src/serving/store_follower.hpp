#pragma once

#include <functional>
#include <memory>
#include <string>

#include <plantainslip/core/random.hpp>
#include <plantainslip/serving/replica.hpp>
#include <plantainslip/serving/watch_duty.hpp>

#include "async_store.hpp"
#include "front_door.hpp"
#include "simple_call.hpp"

namespace plantainslip::serving {

/// @brief Where changes of the store were learnt.
enum class ChangeOrigin
{
  kStore,
  kPeer,
};

/// @brief What a follower hands to its owner.
struct FollowedChanges
{
  const StoreItems& items;
  /// @brief Whether the items are all that exist.
  bool whole = false;
  ChangeOrigin origin = ChangeOrigin::kStore;
  /// @brief When the sender last failed to reach the store, if it did.
  std::optional<core::MonotonicTime> outageAt;
};

/// @brief Follows one prefix of the store: by watches if that is the instance's duty, else by
/// asking
///        peers that say that they know more. Used on the control thread.
class StoreFollower
{
public:
  using Apply = std::function<void(const FollowedChanges&)>;

  /// @param aGather  pause after changes, in which further ones gather for one call
  StoreFollower(asio::io_context& aContext,
                AsyncStore& aStore,
                ConnectionPool& aPool,
                const core::Clock& aClock,
                std::string aPrefix,
                milliseconds aGather,
                Apply aApply);

  /// @brief Follows for as long as the process runs.
  Task<void> Run();

  /// @brief Sets whether the instance follows the store itself; from the next call on.
  void SetDuty(const WatchDuty& aDuty) { this->duty = aDuty; }

  /// @brief Learns that a peer has seen a revision; asks it for what is lacked unless that comes
  ///        by the own watch.
  /// @param aNear  whether the peer is in the own availability zone
  void NoteSeen(core::Revision aSeen, const net::Address& aPeer, bool aNear);

  /// @brief Tells whether the own watch is neither failing nor overdue.
  bool InTouch() const;

  /// @brief Tells whether the prefix has been read once.
  bool Started() const { return !this->needsAll; }

  /// @brief Gives what a peer lacks.
  ReplicaChanges ChangesAfter(core::Revision aAfter) const;

  /// @brief Gives the prefix that is followed.
  const std::string& Prefix() const { return this->prefix; }

private:
  Task<bool> CallStore();
  Task<void> CatchUp(core::Revision aSeen, net::Address aPeer, milliseconds aPatience);
  Task<bool> AskPeer(net::Address aPeer);
  void Take(const StoreItems& aItems,
            bool aWhole,
            ChangeOrigin aOrigin,
            std::optional<core::MonotonicTime> aOutageAt);
  void NoteOutage(const absl::Status& aStatus);
  milliseconds WatchTime();
  Task<void> Sleep(milliseconds aTime);

  asio::io_context& context;
  AsyncStore& store;
  ConnectionPool& pool;
  const core::Clock& clock;
  std::string prefix;
  milliseconds gather;
  Apply apply;
  core::RandomSource random;
  WatchDuty duty;
  Replica replica;
  /// @brief Highest revision of a change that was taken in.
  core::Revision newestChange;
  bool needsAll = true;
  bool healthy = false;
  bool lossLogged = false;
  /// @brief Whether changes that a peer has seen are being waited for.
  bool catchingUp = false;
  /// @brief When the present watch should have ended.
  core::MonotonicTime due;
  std::optional<core::MonotonicTime> outageAt;
};

/// @brief Hands on changes of the store to peers, over the port for peers.
/// @param aFollowers  what may be asked for; must outlive the door
/// @return the door, or error 1506 (serving.cannot_listen)
absl::StatusOr<std::unique_ptr<FrontDoor>>
OpenChangesDoor(asio::io_context& aContext,
                const net::Address& aAddress,
                const core::Clock& aClock,
                std::vector<const StoreFollower*> aFollowers);

} // namespace plantainslip::serving
