#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/claims/claim_key.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/core/outcome.hpp>

namespace plantainslip::claims {

/// @brief Maximum size of an answer that is recorded with its claim, in bytes of JSON.
inline constexpr std::size_t kMaxRecordedBodyBytes = 512;

/// @brief Recorded outcome of a claimed call.
struct RecordedOutcome
{
  /// @brief `kRan` with an answer, or `kNotRun`.
  core::Outcome outcome = core::Outcome::kRan;
  int status = 0;
  std::string body;
  /// @brief False if the answer was larger than #kMaxRecordedBodyBytes or not valid UTF-8.
  bool bodyKept = true;

  /// @brief Compares all fields.
  bool operator==(const RecordedOutcome&) const = default;
};

/// @brief One change of a segment. Applying it is idempotent.
struct ClaimOperation
{
  ClaimKey key;
  /// @brief Id of the claiming call; unique.
  core::RequestId attempt;
  /// @brief Hash of the request's content.
  std::string fingerprint;
  /// @brief Empty to claim the key; otherwise the outcome to record.
  std::optional<RecordedOutcome> outcome;
};

/// @brief Decision on an operation.
enum class Verdict
{
  /// @brief The attempt holds the key, and its call may run.
  kGranted,
  /// @brief An earlier call holds the key, and its outcome is recorded.
  kAlreadyCompleted,
  /// @brief Another call holds the key; for a claim, no outcome is recorded.
  kAlreadyClaimed,
  /// @brief The key was used for a different request.
  kReused,
  /// @brief The segment is full.
  kFull,
  /// @brief The store's slot already holds a later time slice.
  kTooOld,
  /// @brief The outcome of the call is recorded.
  kRecorded,
};

/// @brief Verdict on an operation, with its details.
struct OperationResult
{
  Verdict verdict = Verdict::kAlreadyClaimed;
  /// @brief For `kAlreadyCompleted`: the earlier call's outcome.
  RecordedOutcome recorded;
  /// @brief Whether the segment must be written to the store before the verdict is valid.
  bool changed = false;
};

/// @brief Identifies a segment: the bucket of its keys and the time slice of their creation.
struct SegmentId
{
  std::uint64_t bucket = 0;
  std::uint64_t slice = 0;

  /// @brief Orders by bucket, then slice.
  auto operator<=>(const SegmentId&) const = default;
};

/// @brief How keys are distributed over segments.
struct SegmentLayout
{
  std::uint64_t buckets = 16;
  std::chrono::seconds slice = std::chrono::seconds(5);
  /// @brief Number of store values per bucket. A slice overwrites the slice that is this many
  ///        slices older, so old claims are removed without extra writes.
  std::uint64_t slots = 17'400;
};

/// @brief Returns the segment that a key belongs to. Constant time.
SegmentId
SegmentIdOf(const ClaimKey& aKey, const SegmentLayout& aLayout);

/// @brief Returns the store's key of a segment: `claims/BUCKET/SLOT`. Constant time.
std::string
StoreKeyOf(const SegmentId& aSegmentId, const SegmentLayout& aLayout);

/// @brief Claims of one bucket and time slice. Does no I/O; not thread-safe.
class Segment
{
public:
  /// @brief Creates an empty segment.
  /// @param aSlice  time slice of its keys
  explicit Segment(std::uint64_t aSlice);

  /// @brief Parses a segment's stored value.
  /// @return the segment, or error 659 (claims.bad_message); linear in the text's length
  static absl::StatusOr<Segment> Parse(const std::string& aText);

  /// @brief Formats the segment as the value to store. Linear in the number of claims.
  std::string Format() const;

  /// @brief Returns the time slice.
  std::uint64_t Slice() const { return this->slice; }

  /// @brief Applies an operation. Logarithmic in the number of claims.
  OperationResult Apply(const ClaimOperation& aOperation);

private:
  struct Entry
  {
    std::string attempt;
    std::string fingerprint;
    std::optional<RecordedOutcome> outcome;
  };

  OperationResult ApplyClaim(const ClaimOperation& aOperation);
  OperationResult ApplyOutcome(const ClaimOperation& aOperation);

  std::uint64_t slice;
  std::map<std::string, Entry> entries;
};

} // namespace plantainslip::claims
