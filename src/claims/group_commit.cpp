#include <plantainslip/claims/detail/group_commit.hpp>

#include <map>

namespace plantainslip::claims::detail {

namespace {

constexpr std::size_t kMostDeferred = 4096;

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
    this->lanes.push_back(std::make_unique<Lane>());
    this->lanes.back()->lastWrite = aClock.Now() - aInterval;
  }
}

GroupCommit::Lane&
GroupCommit::LaneOf(const ClaimKey& aKey)
{
  return *this->lanes[PlaceOf(aKey, this->layout).bucket];
}

CommitResult
GroupCommit::Submit(ClaimOperation aOperation)
{
  Lane& lane = this->LaneOf(aOperation.key);
  const auto mine = std::make_shared<Pending>();
  mine->operation = std::move(aOperation);
  std::unique_lock lock(lane.mutex);
  lane.waiting.push_back(mine);
  while (!mine->done) {
    if (lane.writing) {
      lane.changed.wait(lock);
    } else {
      this->WriteBatch(lane, lock);
    }
  }
  return mine->result;
}

void
GroupCommit::Defer(ClaimOperation aOperation)
{
  Lane& lane = this->LaneOf(aOperation.key);
  const std::scoped_lock lock(lane.mutex);
  lane.deferred.push_back(std::move(aOperation));
  if (lane.deferred.size() > kMostDeferred) {
    lane.deferred.pop_front();
  }
}

void
GroupCommit::Flush()
{
  for (const auto& lane : this->lanes) {
    std::unique_lock lock(lane->mutex);
    if (!lane->deferred.empty() && !lane->writing) {
      this->WriteBatch(*lane, lock);
    }
  }
}

void
GroupCommit::AwaitTurn(Lane& aLane, std::unique_lock<std::mutex>& aLock)
{
  const core::MonotonicTime turn = aLane.lastWrite + this->interval;
  for (auto now = this->clock.Now(); now < turn; now = this->clock.Now()) {
    aLane.changed.wait_for(aLock, turn - now);
  }
}

// The thread that finds the lane idle writes for all that wait; the others wait for it.
void
GroupCommit::WriteBatch(Lane& aLane, std::unique_lock<std::mutex>& aLock)
{
  aLane.writing = true;
  this->AwaitTurn(aLane, aLock);
  Batch batch = std::move(aLane.waiting);
  aLane.waiting.clear();
  Batch deferred;
  for (ClaimOperation& operation : aLane.deferred) {
    deferred.push_back(std::make_shared<Pending>());
    deferred.back()->operation = std::move(operation);
  }
  aLane.deferred.clear();
  aLane.lastWrite = this->clock.Now();
  aLock.unlock();

  std::map<SegmentPlace, Batch> bySegment;
  for (const Batch* part : { &batch, &deferred }) {
    for (const auto& pending : *part) {
      bySegment[PlaceOf(pending->operation.key, this->layout)].push_back(pending);
    }
  }
  for (const auto& [place, part] : bySegment) {
    this->WriteSegment(place, part);
  }

  aLock.lock();
  for (const auto& pending : batch) {
    pending->done = true;
  }
  this->KeepFailed(aLane, deferred);
  aLane.writing = false;
  aLane.changed.notify_all();
}

void
GroupCommit::WriteSegment(const SegmentPlace& aPlace, const Batch& aBatch)
{
  std::vector<ClaimOperation> operations;
  for (const auto& pending : aBatch) {
    operations.push_back(pending->operation);
  }
  const WriteResult written = this->writer.Write(aPlace, operations);
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
GroupCommit::KeepFailed(Lane& aLane, const Batch& aDeferred)
{
  for (const auto& pending : aDeferred) {
    if (!pending->result.status.ok() && aLane.deferred.size() < kMostDeferred) {
      aLane.deferred.push_back(std::move(pending->operation));
    }
  }
}

} // namespace plantainslip::claims::detail
