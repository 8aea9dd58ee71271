#pragma once

#include <map>
#include <mutex>
#include <vector>

#include <absl/status/status.h>

#include <plantainslip/claims/segment.hpp>
#include <plantainslip/platform/store.hpp>

namespace plantainslip::claims::detail {

/// @brief Result of one write of a segment.
struct WriteResult
{
  /// @brief OK, or error 652 (claims.store_unavailable) or 659 (claims.bad_message).
  absl::Status status;
  /// @brief Whether the operations may have taken effect although the status is not OK.
  bool uncertain = false;
  /// @brief If the status is OK: one result per operation, in the same order.
  std::vector<OperationResult> results;
};

/// @brief Applies operations to segments of the store by compare-and-swap.
/// @note Safe from any thread, but concurrent writers of one segment make each other retry.
class SegmentWriter
{
public:
  /// @param aStore  must outlive the writer
  SegmentWriter(platform::Store& aStore, SegmentLayout aLayout);

  /// @brief Applies operations to one segment, and writes the segment once if any of them
  ///        changes it.
  WriteResult Write(const SegmentId& aSegmentId, const std::vector<ClaimOperation>& aOperations);

private:
  struct StoredSegment
  {
    core::Revision revision;
    Segment segment;
  };

  absl::StatusOr<StoredSegment> Read(const SegmentId& aSegmentId);
  std::optional<StoredSegment> FindCached(const SegmentId& aSegmentId) const;
  void AddToCache(const SegmentId& aSegmentId, StoredSegment aStored);
  void RemoveFromCache(const SegmentId& aSegmentId);

  platform::Store& store;
  SegmentLayout layout;
  mutable std::mutex mutex;
  std::map<SegmentId, StoredSegment> cache;
};

} // namespace plantainslip::claims::detail
