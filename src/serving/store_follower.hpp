#pragma once

#include <functional>
#include <memory>
#include <string>

#include <plantainslip/core/random.hpp>
#include <plantainslip/serving/replica.hpp>
#include <plantainslip/serving/watch_duty.hpp>

#include "async_store.hpp"
#include "http_listener.hpp"
#include "simple_call.hpp"

namespace plantainslip::serving {

/// @brief Source from which store changes were received.
enum class ChangeOrigin
{
  kStore,
  kPeer,
};

/// @brief Changes that a follower passes to its owner.
struct FollowedChanges
{
  const StoreItems& items;
  /// @brief Whether the items are a full list, so that missing keys were removed.
  bool isSnapshot = false;
  ChangeOrigin origin = ChangeOrigin::kStore;
  /// @brief Whether the followed prefix has changed, as peers see it.
  bool isNews = false;
};

/// @brief Follows one prefix of the store: by watches if the instance is a watcher, else by
///        fetching changes from peers that know a newer revision. Used on the control thread.
class StoreFollower
{
public:
  using OnChanges = std::function<void(const FollowedChanges&)>;

  /// @param aBatchDelay  delay after changes, so that further ones are read in one call
  StoreFollower(asio::io_context& aContext,
                AsyncStore& aStore,
                ConnectionPool& aPool,
                const core::Clock& aClock,
                std::string aPrefix,
                milliseconds aBatchDelay,
                OnChanges aOnChanges);

  /// @brief Follows the prefix until the process ends.
  Task<void> Run();

  /// @brief Sets whether the instance watches the store itself: at once if it did not, and after
  ///        the present call if it did.
  void SetDuty(const WatchDuty& aDuty);

  /// @brief Handles the state that a peer reports; fetches missing changes from the peer unless
  /// they
  ///        arrive by this instance's own watch.
  /// @param aSameZone  whether the peer is in this instance's availability zone
  void OnPeerState(const ReplicaState& aPeerState, const net::Address& aPeer, bool aSameZone);

  /// @brief Returns what this instance knows of the prefix.
  ReplicaState State() const { return this->replica.State(); }

  /// @brief Returns whether this instance watches the store, and its watch is neither failing nor
  ///        overdue.
  bool IsWatchHealthy() const;

  /// @brief Returns whether a full list has been read.
  bool IsInitialized() const { return this->replica.UpTo() != StorePosition{}; }

  /// @brief Returns the changes that a peer is missing.
  /// @param aAfter  position up to which the peer is complete
  ReplicaChanges ChangesAfter(StorePosition aAfter) const;

  /// @brief Returns the followed prefix.
  const std::string& Prefix() const { return this->prefix; }

private:
  Task<bool> ReadStore();
  Task<void> CatchUp(ReplicaState aPeerState, net::Address aPeer, milliseconds aDelay);
  Task<bool> FetchFromPeer(net::Address aPeer);
  bool ApplyChanges(StoreItems aItems, bool aIsSnapshot, ChangeOrigin aOrigin);
  void RecordOutage(const absl::Status& aStatus);
  milliseconds NextWatchTimeout();

  asio::io_context& context;
  AsyncStore& store;
  ConnectionPool& pool;
  const core::Clock& clock;
  std::string prefix;
  milliseconds batchDelay;
  OnChanges onChanges;
  core::RandomSource random;
  WatchDuty duty;
  /// @brief Waits until the instance becomes a watcher.
  asio::steady_timer dutyTimer;
  Replica replica;
  bool needsFullList = true;
  bool storeReachable = false;
  bool outageLogged = false;
  /// @brief Whether CatchUp() is running.
  bool catchingUp = false;
  /// @brief Time by which the current store call should have ended.
  core::MonotonicTime watchDeadline;
};

/// @brief Serves store changes to peers.
/// @param aFollowers  followers whose prefixes are served; must outlive the server
/// @return the server, or error 1506 (serving.cannot_listen)
absl::StatusOr<std::unique_ptr<HttpListener>>
ServeChanges(asio::io_context& aContext,
             const net::Address& aAddress,
             const core::Clock& aClock,
             std::vector<const StoreFollower*> aFollowers);

} // namespace plantainslip::serving
