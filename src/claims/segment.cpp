#include <plantainslip/claims/segment.hpp>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <plantainslip/claims/errors.hpp>
#include <plantainslip/platform/store.hpp>

namespace plantainslip::claims {

namespace {

using nlohmann::json;

// Room for one claim with the largest answer that is kept, counted before the answer is known.
constexpr std::size_t kEntryBytes = 256 + kLargestKeptBytes;
constexpr std::size_t kMostEntries = platform::kLargestValueBytes / kEntryBytes - 1;
// Kept free for calls that ended without their claim having been seen.
constexpr std::size_t kSpareEntries = 100;

std::string
Dump(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

// A body that is no UTF-8 cannot be kept exactly in JSON.
bool
CanKeep(const std::string& aBody)
{
  if (aBody.size() > kLargestKeptBytes) {
    return false;
  }
  try {
    return json(aBody).dump().size() <= kLargestKeptBytes;
  } catch (const json::exception&) {
    return false;
  }
}

RecordedOutcome
Shorten(RecordedOutcome aOutcome)
{
  if (!CanKeep(aOutcome.body)) {
    aOutcome.body.clear();
    aOutcome.bodyKept = false;
  }
  return aOutcome;
}

} // namespace

SegmentPlace
PlaceOf(const ClaimKey& aKey, const SegmentLayout& aLayout)
{
  const auto age =
    std::chrono::duration_cast<std::chrono::seconds>(aKey.createdAt.time_since_epoch());
  return { XXH64(aKey.text.data(), aKey.text.size(), 0) % aLayout.buckets,
           static_cast<std::uint64_t>(age / aLayout.slice) };
}

std::string
StoreKeyOf(const SegmentPlace& aPlace, const SegmentLayout& aLayout)
{
  return "claims/" + std::to_string(aPlace.bucket) + "/" +
         std::to_string(aPlace.slice % aLayout.slots);
}

Segment::Segment(std::uint64_t aSlice)
  : slice(aSlice)
{
}

absl::StatusOr<Segment>
Segment::Parse(const std::string& aText)
{
  try {
    const json text = json::parse(aText);
    Segment segment(text.at("slice").get<std::uint64_t>());
    for (const auto& [key, line] : text.at("claims").items()) {
      Entry entry{ line.at("attempt"), line.at("for"), std::nullopt };
      if (line.contains("ran")) {
        const core::Outcome outcome =
          line.at("ran").get<bool>() ? core::Outcome::kRan : core::Outcome::kNotRun;
        entry.outcome = RecordedOutcome{
          outcome, line.value("status", 0), line.value("body", ""), line.contains("body")
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
    json line = { { "attempt", entry.attempt }, { "for", entry.fingerprint } };
    if (entry.outcome.has_value()) {
      line["ran"] = entry.outcome->outcome == core::Outcome::kRan;
      line["status"] = entry.outcome->status;
      if (entry.outcome->bodyKept) {
        line["body"] = entry.outcome->body;
      }
    }
    claims[key] = std::move(line);
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
    if (this->entries.size() >= kMostEntries - kSpareEntries) {
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
    return { Verdict::kSettled, *entry.outcome, false };
  }
  // An attempt that finds itself wrote the claim before and lost the answer.
  const bool own = entry.attempt == aOperation.attempt.Text();
  return { own ? Verdict::kGranted : Verdict::kOpen, {}, false };
}

OperationResult
Segment::ApplyOutcome(const ClaimOperation& aOperation)
{
  const auto found = this->entries.find(aOperation.key.text);
  if (found == this->entries.end()) {
    if (this->entries.size() >= kMostEntries) {
      return { Verdict::kFull, {}, false };
    }
    // The claim's write may still be under way; it has to find the key spent.
    this->entries[aOperation.key.text] = { aOperation.attempt.Text(),
                                           aOperation.fingerprint,
                                           Shorten(*aOperation.outcome) };
    return { Verdict::kRecorded, {}, true };
  }
  Entry& entry = found->second;
  if (entry.attempt != aOperation.attempt.Text()) {
    return { Verdict::kOpen, {}, false };
  }
  if (entry.outcome.has_value()) {
    return { Verdict::kRecorded, {}, false };
  }
  entry.outcome = Shorten(*aOperation.outcome);
  return { Verdict::kRecorded, {}, true };
}

} // namespace plantainslip::claims
