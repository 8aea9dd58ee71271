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

/// @brief Largest answer that is kept with its claim, in bytes of JSON.
inline constexpr std::size_t kLargestKeptBytes = 512;

/// @brief How a claimed call ended.
struct RecordedOutcome
{
  /// @brief `kRan` with an answer, or `kNotRun`.
  core::Outcome outcome = core::Outcome::kRan;
  int status = 0;
  std::string body;
  /// @brief False if the answer was larger than #kLargestKeptBytes.
  bool bodyKept = true;

  /// @brief Compares all fields.
  bool operator==(const RecordedOutcome&) const = default;
};

/// @brief One change of a segment. It may be applied again without a second effect.
struct ClaimOperation
{
  ClaimKey key;
  /// @brief The claiming call; unique.
  core::RequestId attempt;
  /// @brief Hash of what the call asks for.
  std::string fingerprint;
  /// @brief Nothing to claim the key; otherwise the end of the call.
  std::optional<RecordedOutcome> outcome;
};

/// @brief What came of an operation.
enum class Verdict
{
  /// @brief The key is the attempt's own, and its call may run.
  kGranted,
  /// @brief An earlier call's end is recorded.
  kSettled,
  /// @brief An earlier call has the key, and its end is not recorded.
  kOpen,
  /// @brief The key belongs to another request.
  kReused,
  /// @brief The segment has no room.
  kFull,
  /// @brief The segment holds keys of a later time.
  kTooOld,
  /// @brief The end of the call is recorded.
  kRecorded,
};

/// @brief A verdict with what it depends on.
struct OperationResult
{
  Verdict verdict = Verdict::kOpen;
  /// @brief For `kSettled`: the earlier call's end.
  RecordedOutcome recorded;
  /// @brief Whether the segment has to be written before the verdict holds.
  bool changed = false;
};

/// @brief Place of a segment: the bucket of its keys and the time slice of their creation.
struct SegmentPlace
{
  std::uint64_t bucket = 0;
  std::uint64_t slice = 0;

  /// @brief Orders by bucket, then slice.
  auto operator<=>(const SegmentPlace&) const = default;
};

/// @brief How keys are spread over segments.
struct SegmentLayout
{
  std::uint64_t buckets = 16;
  std::chrono::seconds slice = std::chrono::seconds(5);
  /// @brief Values of the store for one bucket. A slice overwrites the one that lies this many
  ///        slices before it, so claims are cleaned up without further writes.
  std::uint64_t slots = 17'400;
};

/// @brief Finds the place of a key. Constant time.
SegmentPlace
PlaceOf(const ClaimKey& aKey, const SegmentLayout& aLayout);

/// @brief Gives the store's key of a segment: `claims/BUCKET/SLOT`. Constant time.
std::string
StoreKeyOf(const SegmentPlace& aPlace, const SegmentLayout& aLayout);

/// @brief Claims of one bucket and time slice. A value without I/O; one thread.
class Segment
{
public:
  /// @brief Makes an empty segment.
  /// @param aSlice  time slice of its keys
  explicit Segment(std::uint64_t aSlice);

  /// @brief Reads a segment's value.
  /// @return the segment, or error 659 (claims.bad_message); linear in the text's length
  static absl::StatusOr<Segment> Parse(const std::string& aText);

  /// @brief Writes the segment's value. Linear in the number of claims.
  std::string Format() const;

  /// @brief Gives the time slice.
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
