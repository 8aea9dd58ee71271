#include <plantainslip/claims/detail/segment_writer.hpp>

#include <algorithm>

#include <plantainslip/claims/errors.hpp>
#include <plantainslip/platform/errors.hpp>

namespace plantainslip::claims::detail {

namespace {

constexpr int kMaxAttempts = 8;
// The cache holds the segments with the newest time slices; others are read from the store again.
constexpr std::size_t kMaxCachedSegments = 64;

struct BatchResult
{
  std::vector<OperationResult> results;
  bool changed = false;
  bool allAccepted = true;
};

BatchResult
ApplyAll(Segment& aSegment, std::uint64_t aSlice, const std::vector<ClaimOperation>& aOperations)
{
  BatchResult applied;
  for (const ClaimOperation& operation : aOperations) {
    const OperationResult result = aSegment.Slice() == aSlice
                                     ? aSegment.Apply(operation)
                                     : OperationResult{ Verdict::kTooOld, {}, false };
    applied.changed = applied.changed || result.changed;
    applied.allAccepted = applied.allAccepted && (result.verdict == Verdict::kGranted ||
                                                  result.verdict == Verdict::kRecorded);
    applied.results.push_back(result);
  }
  return applied;
}

} // namespace

SegmentWriter::SegmentWriter(platform::Store& aStore, SegmentLayout aLayout)
  : store(aStore)
  , layout(aLayout)
{
}

std::optional<SegmentWriter::StoredSegment>
SegmentWriter::FindCached(const SegmentId& aSegmentId) const
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->cache.find(aSegmentId);
  return found == this->cache.end() ? std::nullopt : std::optional<StoredSegment>(found->second);
}

void
SegmentWriter::AddToCache(const SegmentId& aSegmentId, StoredSegment aStored)
{
  const std::scoped_lock lock(this->mutex);
  this->cache.insert_or_assign(aSegmentId, std::move(aStored));
  if (this->cache.size() > kMaxCachedSegments) {
    const auto oldest = std::min_element(
      this->cache.begin(), this->cache.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.first.slice < aRight.first.slice;
      });
    this->cache.erase(oldest);
  }
}

void
SegmentWriter::RemoveFromCache(const SegmentId& aSegmentId)
{
  const std::scoped_lock lock(this->mutex);
  this->cache.erase(aSegmentId);
}

absl::StatusOr<SegmentWriter::StoredSegment>
SegmentWriter::Read(const SegmentId& aSegmentId)
{
  const auto stored = this->store.Get(StoreKeyOf(aSegmentId, this->layout));
  if (!stored.ok()) {
    return core::MakeError(errors::kStoreUnavailable, stored.status().message());
  }
  if (!stored->has_value()) {
    return StoredSegment{ core::Revision(), Segment(aSegmentId.slice) };
  }
  auto segment = Segment::Parse((*stored)->value);
  if (!segment.ok()) {
    return segment.status();
  }
  // The slot still holds an earlier slice, whose keys are older than the retention.
  const bool expired = segment->Slice() < aSegmentId.slice;
  return StoredSegment{ (*stored)->revision,
                        expired ? Segment(aSegmentId.slice) : *std::move(segment) };
}

WriteResult
SegmentWriter::Write(const SegmentId& aSegmentId, const std::vector<ClaimOperation>& aOperations)
{
  WriteResult result;
  std::optional<StoredSegment> current = this->FindCached(aSegmentId);
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const bool readFromStore = !current.has_value();
    if (readFromStore) {
      auto read = this->Read(aSegmentId);
      if (!read.ok()) {
        result.status = read.status();
        return result;
      }
      current = *std::move(read);
    }
    const core::Revision expected = current->revision;
    BatchResult applied = ApplyAll(current->segment, aSegmentId.slice, aOperations);
    if (!applied.changed && !readFromStore && !applied.allAccepted) {
      // Another writer may have changed the segment since it was cached.
      current.reset();
      continue;
    }
    if (!applied.changed) {
      result.status = absl::OkStatus();
      result.results = std::move(applied.results);
      return result;
    }
    const auto written = this->store.CompareAndSwap(
      StoreKeyOf(aSegmentId, this->layout), expected, current->segment.Format());
    if (written.ok()) {
      current->revision = *written;
      this->AddToCache(aSegmentId, *std::move(current));
      result.status = absl::OkStatus();
      result.results = std::move(applied.results);
      return result;
    }
    // The next attempt reads the segment again, including what this write may have changed.
    const bool notWritten = core::IsError(written.status(), platform::errors::kRevisionConflict) ||
                            core::IsError(written.status(), platform::errors::kUnavailable);
    result.uncertain = result.uncertain || !notWritten;
    result.status = core::MakeError(errors::kStoreUnavailable, written.status().message());
    this->RemoveFromCache(aSegmentId);
    current.reset();
  }
  return result;
}

} // namespace plantainslip::claims::detail
