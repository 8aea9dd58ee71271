#include <plantainslip/claims/detail/segment_writer.hpp>

#include <algorithm>

#include <plantainslip/claims/errors.hpp>
#include <plantainslip/platform/errors.hpp>

namespace plantainslip::claims::detail {

namespace {

constexpr int kMostTries = 8;
// Newest segments of each bucket; older ones are read again.
constexpr std::size_t kRememberedSegments = 64;

struct Applied
{
  std::vector<OperationResult> results;
  bool changed = false;
  bool granted = true;
};

Applied
ApplyAll(Segment& aSegment, std::uint64_t aSlice, const std::vector<ClaimOperation>& aOperations)
{
  Applied applied;
  for (const ClaimOperation& operation : aOperations) {
    const OperationResult result = aSegment.Slice() == aSlice
                                     ? aSegment.Apply(operation)
                                     : OperationResult{ Verdict::kTooOld, {}, false };
    applied.changed = applied.changed || result.changed;
    applied.granted = applied.granted &&
                      (result.verdict == Verdict::kGranted || result.verdict == Verdict::kRecorded);
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

std::optional<SegmentWriter::Held>
SegmentWriter::Remembered(const SegmentPlace& aPlace) const
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->remembered.find(aPlace);
  return found == this->remembered.end() ? std::nullopt : std::optional<Held>(found->second);
}

void
SegmentWriter::Remember(const SegmentPlace& aPlace, Held aHeld)
{
  const std::scoped_lock lock(this->mutex);
  this->remembered.insert_or_assign(aPlace, std::move(aHeld));
  if (this->remembered.size() > kRememberedSegments) {
    const auto oldest = std::min_element(
      this->remembered.begin(), this->remembered.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.first.slice < aRight.first.slice;
      });
    this->remembered.erase(oldest);
  }
}

void
SegmentWriter::Forget(const SegmentPlace& aPlace)
{
  const std::scoped_lock lock(this->mutex);
  this->remembered.erase(aPlace);
}

absl::StatusOr<SegmentWriter::Held>
SegmentWriter::Read(const SegmentPlace& aPlace)
{
  const auto stored = this->store.Get(StoreKeyOf(aPlace, this->layout));
  if (!stored.ok()) {
    return core::MakeError(errors::kStoreUnavailable, stored.status().message());
  }
  if (!stored->has_value()) {
    return Held{ core::Revision(), Segment(aPlace.slice) };
  }
  auto segment = Segment::Parse((*stored)->value);
  if (!segment.ok()) {
    return segment.status();
  }
  // The slot's former slice lies beyond the retention.
  const bool expired = segment->Slice() < aPlace.slice;
  return Held{ (*stored)->revision, expired ? Segment(aPlace.slice) : *std::move(segment) };
}

WriteResult
SegmentWriter::Write(const SegmentPlace& aPlace, const std::vector<ClaimOperation>& aOperations)
{
  WriteResult result;
  std::optional<Held> held = this->Remembered(aPlace);
  for (int attempt = 0; attempt < kMostTries; ++attempt) {
    const bool fresh = !held.has_value();
    if (fresh) {
      auto read = this->Read(aPlace);
      if (!read.ok()) {
        result.status = read.status();
        return result;
      }
      held = *std::move(read);
    }
    const core::Revision expected = held->revision;
    Applied applied = ApplyAll(held->segment, aPlace.slice, aOperations);
    if (!applied.changed && !fresh && !applied.granted) {
      // Another writer may have recorded more than this instance remembers.
      held.reset();
      continue;
    }
    if (!applied.changed) {
      result.status = absl::OkStatus();
      result.results = std::move(applied.results);
      return result;
    }
    const auto written = this->store.CompareAndSwap(
      StoreKeyOf(aPlace, this->layout), expected, held->segment.Format());
    if (written.ok()) {
      held->revision = *written;
      this->Remember(aPlace, *std::move(held));
      result.status = absl::OkStatus();
      result.results = std::move(applied.results);
      return result;
    }
    // The next try reads the segment and finds what this one may have written.
    const bool notWritten = core::IsError(written.status(), platform::errors::kRevisionConflict) ||
                            core::IsError(written.status(), platform::errors::kUnavailable);
    result.uncertain = result.uncertain || !notWritten;
    result.status = core::MakeError(errors::kStoreUnavailable, written.status().message());
    this->Forget(aPlace);
    held.reset();
  }
  return result;
}

} // namespace plantainslip::claims::detail
