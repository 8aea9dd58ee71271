#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <vector>

#include <plantainslip/claims/detail/segment_writer.hpp>
#include <plantainslip/core/clock.hpp>

namespace plantainslip::claims::detail {

/// @brief What came of one operation that was handed to a group commit.
struct CommitResult
{
  /// @brief OK, or error 652 (claims.store_unavailable) or 659 (claims.bad_message).
  absl::Status status;
  /// @brief Whether the operation may have taken effect although the status is not OK.
  bool uncertain = false;
  OperationResult result;
};

/// @brief Gathers the operations of each bucket into one write at a time.
///
/// A bucket is written at once if its last write is an interval ago; otherwise what comes meanwhile
/// goes out together. So a quiet bucket costs no waiting, and a busy one a bounded number of
/// writes.
class GroupCommit
{
public:
  /// @param aStore  has to outlive this object
  /// @param aClock  has to outlive this object
  /// @param aInterval  least time between the beginnings of two writes of a bucket
  GroupCommit(platform::Store& aStore,
              const core::Clock& aClock,
              SegmentLayout aLayout,
              std::chrono::milliseconds aInterval);

  /// @brief Writes an operation with others of its bucket, and waits for it. Blocks on the store.
  CommitResult Submit(ClaimOperation aOperation);

  /// @brief Keeps the end of a call to be written with the bucket's next write.
  /// @note Drops the oldest beyond some thousands for each bucket; a key whose end was dropped
  ///       stays claimed.
  void Defer(ClaimOperation aOperation);

  /// @brief Writes what was deferred. Blocks on the store.
  void Flush();

private:
  struct Pending
  {
    ClaimOperation operation;
    CommitResult result;
    bool done = false;
  };
  using Batch = std::vector<std::shared_ptr<Pending>>;

  struct Lane
  {
    std::mutex mutex;
    std::condition_variable changed;
    Batch waiting;
    std::deque<ClaimOperation> deferred;
    core::MonotonicTime lastWrite;
    bool writing = false;
  };

  Lane& LaneOf(const ClaimKey& aKey);
  void WriteBatch(Lane& aLane, std::unique_lock<std::mutex>& aLock);
  void AwaitTurn(Lane& aLane, std::unique_lock<std::mutex>& aLock);
  void WriteSegment(const SegmentPlace& aPlace, const Batch& aBatch);
  void KeepFailed(Lane& aLane, const Batch& aDeferred);

  const core::Clock& clock;
  SegmentLayout layout;
  std::chrono::milliseconds interval;
  SegmentWriter writer;
  std::vector<std::unique_ptr<Lane>> lanes;
};

} // namespace plantainslip::claims::detail
