#include <plantainslip/claims/segment.hpp>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <plantainslip/claims/errors.hpp>
#include <plantainslip/platform/store.hpp>

namespace plantainslip::claims {

namespace {

using nlohmann::json;

// Size of one claim with the largest recorded answer. It is reserved when the key is claimed,
// before the answer is known.
constexpr std::size_t kMaxEntryBytes = 256 + kMaxRecordedBodyBytes;
constexpr std::size_t kMaxEntries = platform::kLargestValueBytes / kMaxEntryBytes - 1;
// Reserved for outcomes of calls whose claim is not in the segment.
constexpr std::size_t kReservedEntries = 100;

std::string
Dump(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

// A body that is not valid UTF-8 cannot be represented exactly in JSON.
bool
CanRecordBody(const std::string& aBody)
{
  if (aBody.size() > kMaxRecordedBodyBytes) {
    return false;
  }
  try {
    return json(aBody).dump().size() <= kMaxRecordedBodyBytes;
  } catch (const json::exception&) {
    return false;
  }
}

RecordedOutcome
DropUnrecordableBody(RecordedOutcome aOutcome)
{
  if (!CanRecordBody(aOutcome.body)) {
    aOutcome.body.clear();
    aOutcome.bodyKept = false;
  }
  return aOutcome;
}

} // namespace

SegmentId
SegmentIdOf(const ClaimKey& aKey, const SegmentLayout& aLayout)
{
  const auto sinceEpoch =
    std::chrono::duration_cast<std::chrono::seconds>(aKey.createdAt.time_since_epoch());
  return { XXH64(aKey.text.data(), aKey.text.size(), 0) % aLayout.buckets,
           static_cast<std::uint64_t>(sinceEpoch / aLayout.slice) };
}

std::string
StoreKeyOf(const SegmentId& aSegmentId, const SegmentLayout& aLayout)
{
  return "claims/" + std::to_string(aSegmentId.bucket) + "/" +
         std::to_string(aSegmentId.slice % aLayout.slots);
}

Segment::Segment(std::uint64_t aSlice)
  : slice(aSlice)
{
}

absl::StatusOr<Segment>
Segment::Parse(const std::string& aText)
{
  try {
    const json value = json::parse(aText);
    Segment segment(value.at("slice").get<std::uint64_t>());
    for (const auto& [key, claim] : value.at("claims").items()) {
      Entry entry{ claim.at("attempt"), claim.at("for"), std::nullopt };
      if (claim.contains("ran")) {
        const core::Outcome outcome =
          claim.at("ran").get<bool>() ? core::Outcome::kRan : core::Outcome::kNotRun;
        entry.outcome = RecordedOutcome{
          outcome, claim.value("status", 0), claim.value("body", ""), claim.contains("body")
        };
      }
      segment.entries.emplace(key, std::move(entry));
    }
    return segment;
  } catch (const json::exception& problem) {
    return core::MakeError(errors::kBadMessage, problem.what());
  }
}

std::string
Segment::Format() const
{
  json claims = json::object();
  for (const auto& [key, entry] : this->entries) {
    json claim = { { "attempt", entry.attempt }, { "for", entry.fingerprint } };
    if (entry.outcome.has_value()) {
      claim["ran"] = entry.outcome->outcome == core::Outcome::kRan;
      claim["status"] = entry.outcome->status;
      if (entry.outcome->bodyKept) {
        claim["body"] = entry.outcome->body;
      }
    }
    claims[key] = std::move(claim);
  }
  return Dump({ { "slice", this->slice }, { "claims", std::move(claims) } });
}

OperationResult
Segment::Apply(const ClaimOperation& aOperation)
{
  return aOperation.outcome.has_value() ? this->ApplyOutcome(aOperation)
                                        : this->ApplyClaim(aOperation);
}

OperationResult
Segment::ApplyClaim(const ClaimOperation& aOperation)
{
  const auto found = this->entries.find(aOperation.key.text);
  if (found == this->entries.end()) {
    if (this->entries.size() >= kMaxEntries - kReservedEntries) {
      return { Verdict::kFull, {}, false };
    }
    this->entries[aOperation.key.text] = { aOperation.attempt.Text(),
                                           aOperation.fingerprint,
                                           std::nullopt };
    return { Verdict::kGranted, {}, true };
  }
  const Entry& entry = found->second;
  if (entry.fingerprint != aOperation.fingerprint) {
    return { Verdict::kReused, {}, false };
  }
  if (entry.outcome.has_value()) {
    return { Verdict::kAlreadyCompleted, *entry.outcome, false };
  }
  // The attempt finds its own claim if it wrote it earlier, but the store's response was lost.
  const bool sameAttempt = entry.attempt == aOperation.attempt.Text();
  return { sameAttempt ? Verdict::kGranted : Verdict::kAlreadyClaimed, {}, false };
}

OperationResult
Segment::ApplyOutcome(const ClaimOperation& aOperation)
{
  const auto found = this->entries.find(aOperation.key.text);
  if (found == this->entries.end()) {
    if (this->entries.size() >= kMaxEntries) {
      return { Verdict::kFull, {}, false };
    }
    // The write of the claim may still be in flight; it must then find the key already used.
    this->entries[aOperation.key.text] = { aOperation.attempt.Text(),
                                           aOperation.fingerprint,
                                           DropUnrecordableBody(*aOperation.outcome) };
    return { Verdict::kRecorded, {}, true };
  }
  Entry& entry = found->second;
  if (entry.attempt != aOperation.attempt.Text()) {
    return { Verdict::kAlreadyClaimed, {}, false };
  }
  if (entry.outcome.has_value()) {
    return { Verdict::kRecorded, {}, false };
  }
  entry.outcome = DropUnrecordableBody(*aOperation.outcome);
  return { Verdict::kRecorded, {}, true };
}

} // namespace plantainslip::claims
