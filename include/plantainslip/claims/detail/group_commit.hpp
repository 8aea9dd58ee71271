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

/// @brief Result of one operation submitted to a group commit.
struct CommitResult
{
  /// @brief OK, or error 652 (claims.store_unavailable) or 659 (claims.bad_message).
  absl::Status status;
  /// @brief Whether the operation may have taken effect although the status is not OK.
  bool uncertain = false;
  OperationResult result;
};

/// @brief Batches the operations of each bucket, and writes one batch per bucket at a time.
///
/// An operation is written at once if the bucket's last write started at least one interval ago;
/// otherwise the operations that arrive until then are written together. So operations of an idle
/// bucket do not wait, and the write rate of a busy bucket is bounded.
class GroupCommit
{
public:
  /// @param aStore  must outlive this object
  /// @param aClock  must outlive this object
  /// @param aInterval  minimum time between the starts of two writes of a bucket
  GroupCommit(platform::Store& aStore,
              const core::Clock& aClock,
              SegmentLayout aLayout,
              std::chrono::milliseconds aInterval);

  /// @brief Writes an operation in a batch of its bucket, and waits for the result. Blocks on the
  ///        store.
  CommitResult Submit(ClaimOperation aOperation);

  /// @brief Keeps the outcome of a call in memory, to be written with the bucket's next batch.
  /// @note Beyond a limit of 4096 per bucket the oldest outcome is dropped; its key stays claimed.
  void Defer(ClaimOperation aOperation);

  /// @brief Writes the deferred outcomes. Blocks on the store.
  void Flush();

private:
  struct Pending
  {
    ClaimOperation operation;
    CommitResult result;
    bool done = false;
  };
  using Batch = std::vector<std::shared_ptr<Pending>>;

  struct BucketQueue
  {
    std::mutex mutex;
    std::condition_variable batchWritten;
    Batch waiting;
    std::deque<ClaimOperation> deferred;
    core::MonotonicTime lastWrite;
    bool writing = false;
  };

  BucketQueue& QueueOf(const ClaimKey& aKey);
  void WriteBatch(BucketQueue& aQueue, std::unique_lock<std::mutex>& aLock);
  void WaitForInterval(BucketQueue& aQueue, std::unique_lock<std::mutex>& aLock);
  void WriteSegment(const SegmentId& aSegmentId, const Batch& aBatch);
  void RequeueFailed(BucketQueue& aQueue, const Batch& aDeferred);

  const core::Clock& clock;
  SegmentLayout layout;
  std::chrono::milliseconds interval;
  SegmentWriter writer;
  std::vector<std::unique_ptr<BucketQueue>> queues;
};

} // namespace plantainslip::claims::detail
