#pragma once

#include <map>
#include <mutex>
#include <vector>

#include <absl/status/status.h>

#include <plantainslip/claims/segment.hpp>
#include <plantainslip/platform/store.hpp>

namespace plantainslip::claims::detail {

/// @brief What came of one write of a segment.
struct WriteResult
{
  /// @brief OK, or error 652 (claims.store_unavailable) or 659 (claims.bad_message).
  absl::Status status;
  /// @brief Whether the operations may have taken effect although the status is not OK.
  bool uncertain = false;
  /// @brief If OK: one for each operation.
  std::vector<OperationResult> results;
};

/// @brief Applies operations to segments of the store by compare-and-swap.
/// @note Safe from any thread, though two writers of one segment cost each other tries.
class SegmentWriter
{
public:
  /// @param aStore  has to outlive the writer
  SegmentWriter(platform::Store& aStore, SegmentLayout aLayout);

  /// @brief Applies operations to one segment with one write, if any of them changes it.
  WriteResult Write(const SegmentPlace& aPlace, const std::vector<ClaimOperation>& aOperations);

private:
  struct Held
  {
    core::Revision revision;
    Segment segment;
  };

  absl::StatusOr<Held> Read(const SegmentPlace& aPlace);
  std::optional<Held> Remembered(const SegmentPlace& aPlace) const;
  void Remember(const SegmentPlace& aPlace, Held aHeld);
  void Forget(const SegmentPlace& aPlace);

  platform::Store& store;
  SegmentLayout layout;
  mutable std::mutex mutex;
  std::map<SegmentPlace, Held> remembered;
};

} // namespace plantainslip::claims::detail
