#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <plantainslip/authority/drain_marks.hpp>
#include <plantainslip/peers/peer_client.hpp>
#include <plantainslip/platform/instance_list.hpp>

namespace plantainslip::authority {

/// @brief Sends the zone's drain marks to its entry instances and tracks their confirmations.
/// @note Not thread-safe.
class DrainCoordinator
{
public:
  /// @param aPeers  has to outlive the coordinator
  /// @param aTimeout  timeout of one request to an entry instance
  /// @param aThreads  max number of concurrent requests
  DrainCoordinator(peers::PeerClient& aPeers,
                   std::chrono::milliseconds aTimeout,
                   std::size_t aThreads);

  /// @brief Discards all confirmations. Called at the start of a lease term.
  void Reset();

  /// @brief Sends every entry instance the marks of draining targets, and the lifted marks that it
  ///        has not confirmed yet. Skips entry instances for which there are none.
  /// @param aEntryInstances  listed entry instances of the zone
  /// @param aMarks  marks of the whole zone
  void Sync(const std::vector<platform::ListedInstance>& aEntryInstances,
            const std::vector<DrainMark>& aMarks);

  /// @brief Returns whether every entry instance confirmed in the last Sync() that the target is
  ///        draining and that it has no attempts in flight there.
  bool IsDrained(const core::TargetId& aTarget) const;

private:
  struct DrainRequest
  {
    const platform::ListedInstance* entry = nullptr;
    std::vector<DrainMark> marks;
    std::vector<DrainReply> replies;
  };

  std::vector<DrainMark> MarksToSend(const std::string& aEntry,
                                     const std::vector<DrainMark>& aMarks) const;
  void SendRequest(DrainRequest& aRequest);
  void RecordReplies(const DrainRequest& aRequest);

  peers::PeerClient& peers;
  std::chrono::milliseconds timeout;
  std::size_t threads;
  std::map<std::string, std::map<core::TargetId, core::Revision>> confirmedRevisions;
  std::size_t entryCount = 0;
  std::map<core::TargetId, std::size_t> drainedCounts;
};

} // namespace plantainslip::authority
