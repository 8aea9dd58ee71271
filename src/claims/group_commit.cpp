#include <plantainslip/claims/detail/group_commit.hpp>

#include <map>

namespace plantainslip::claims::detail {

namespace {

constexpr std::size_t kMaxDeferredPerBucket = 4096;

} // namespace

GroupCommit::GroupCommit(platform::Store& aStore,
                         const core::Clock& aClock,
                         SegmentLayout aLayout,
                         std::chrono::milliseconds aInterval)
  : clock(aClock)
  , layout(aLayout)
  , interval(aInterval)
  , writer(aStore, aLayout)
{
  for (std::uint64_t bucket = 0; bucket < aLayout.buckets; ++bucket) {
    this->queues.push_back(std::make_unique<BucketQueue>());
    this->queues.back()->lastWrite = aClock.Now() - aInterval;
  }
}

GroupCommit::BucketQueue&
GroupCommit::QueueOf(const ClaimKey& aKey)
{
  return *this->queues[SegmentIdOf(aKey, this->layout).bucket];
}

CommitResult
GroupCommit::Submit(ClaimOperation aOperation)
{
  BucketQueue& queue = this->QueueOf(aOperation.key);
  const auto pending = std::make_shared<Pending>();
  pending->operation = std::move(aOperation);
  std::unique_lock lock(queue.mutex);
  queue.waiting.push_back(pending);
  while (!pending->done) {
    if (queue.writing) {
      queue.batchWritten.wait(lock);
    } else {
      this->WriteBatch(queue, lock);
    }
  }
  return pending->result;
}

void
GroupCommit::Defer(ClaimOperation aOperation)
{
  BucketQueue& queue = this->QueueOf(aOperation.key);
  const std::scoped_lock lock(queue.mutex);
  queue.deferred.push_back(std::move(aOperation));
  if (queue.deferred.size() > kMaxDeferredPerBucket) {
    queue.deferred.pop_front();
  }
}

void
GroupCommit::Flush()
{
  for (const auto& queue : this->queues) {
    std::unique_lock lock(queue->mutex);
    if (!queue->deferred.empty() && !queue->writing) {
      this->WriteBatch(*queue, lock);
    }
  }
}

void
GroupCommit::WaitForInterval(BucketQueue& aQueue, std::unique_lock<std::mutex>& aLock)
{
  const core::MonotonicTime nextWriteAt = aQueue.lastWrite + this->interval;
  for (auto now = this->clock.Now(); now < nextWriteAt; now = this->clock.Now()) {
    aQueue.batchWritten.wait_for(aLock, nextWriteAt - now);
  }
}

// Called by the first thread that finds no write in progress. It writes the operations of all
// waiting threads; the others wait until it is done.
void
GroupCommit::WriteBatch(BucketQueue& aQueue, std::unique_lock<std::mutex>& aLock)
{
  aQueue.writing = true;
  this->WaitForInterval(aQueue, aLock);
  Batch batch = std::move(aQueue.waiting);
  aQueue.waiting.clear();
  Batch deferred;
  for (ClaimOperation& operation : aQueue.deferred) {
    deferred.push_back(std::make_shared<Pending>());
    deferred.back()->operation = std::move(operation);
  }
  aQueue.deferred.clear();
  aQueue.lastWrite = this->clock.Now();
  aLock.unlock();

  std::map<SegmentId, Batch> bySegment;
  for (const Batch* part : { &batch, &deferred }) {
    for (const auto& pending : *part) {
      bySegment[SegmentIdOf(pending->operation.key, this->layout)].push_back(pending);
    }
  }
  for (const auto& [segmentId, part] : bySegment) {
    this->WriteSegment(segmentId, part);
  }

  aLock.lock();
  for (const auto& pending : batch) {
    pending->done = true;
  }
  this->RequeueFailed(aQueue, deferred);
  aQueue.writing = false;
  aQueue.batchWritten.notify_all();
}

void
GroupCommit::WriteSegment(const SegmentId& aSegmentId, const Batch& aBatch)
{
  std::vector<ClaimOperation> operations;
  for (const auto& pending : aBatch) {
    operations.push_back(pending->operation);
  }
  const WriteResult written = this->writer.Write(aSegmentId, operations);
  for (std::size_t index = 0; index < aBatch.size(); ++index) {
    CommitResult& result = aBatch[index]->result;
    result.status = written.status;
    result.uncertain = written.uncertain;
    if (written.status.ok()) {
      result.result = written.results[index];
    }
  }
}

void
GroupCommit::RequeueFailed(BucketQueue& aQueue, const Batch& aDeferred)
{
  for (const auto& pending : aDeferred) {
    if (!pending->result.status.ok() && aQueue.deferred.size() < kMaxDeferredPerBucket) {
      aQueue.deferred.push_back(std::move(pending->operation));
    }
  }
}

} // namespace plantainslip::claims::detail
