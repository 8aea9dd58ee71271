#include <doctest/doctest.h>

#include <cstdlib>
#include <set>

#include <rapidcheck.h>

#include <fakes/memory_store.hpp>

#include <plantainslip/claims/bucket_owner.hpp>
#include <plantainslip/claims/claim_book.hpp>
#include <plantainslip/claims/claim_key.hpp>
#include <plantainslip/claims/detail/commit_messages.hpp>
#include <plantainslip/claims/errors.hpp>
#include <plantainslip/claims/segment.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

namespace {

// A fixed seed, so that every run checks the same cases, unless RC_PARAMS is set.
const int kSetSeedResult = setenv("RC_PARAMS", "seed=1", 0);

core::IdempotencyKey
KeyOf(core::WallTime aTime, std::uint64_t aNumber = 1)
{
  return claims::FormatClaimKey(aTime, 0, aNumber);
}

claims::ClaimOperation
Operation(const core::IdempotencyKey& aKey, const std::string& aAttempt)
{
  return { *claims::ParseClaimKey(aKey), core::RequestId(aAttempt), "fee", std::nullopt };
}

std::unique_ptr<claims::ClaimBook>
MakeBook(platform::Store& aStore, const core::Clock& aClock)
{
  claims::ClaimBookOptions options;
  options.commitInterval = std::chrono::milliseconds(0);
  options.flushInterval = std::chrono::milliseconds(0);
  return claims::MakeSegmentClaimBook(options, { aStore, aClock, nullptr, {} });
}

} // namespace

TEST_CASE("a version 7 UUID is parsed with its creation time")
{
  REQUIRE(kSetSeedResult == 0);
  CHECK(rc::check("round trip", [] {
    const auto time = *rc::gen::inRange<std::int64_t>(0, 4'000'000'000'000);
    const auto high = *rc::gen::arbitrary<std::uint64_t>();
    const auto low = *rc::gen::arbitrary<std::uint64_t>();
    const core::WallTime createdAt{ std::chrono::milliseconds(time) };
    const auto key = claims::ParseClaimKey(claims::FormatClaimKey(createdAt, high, low));
    RC_ASSERT(key.ok());
    RC_ASSERT(key->createdAt == createdAt);
  }));
}

TEST_CASE("text that is not a version 7 UUID is rejected")
{
  CHECK(rc::check("arbitrary text", [] {
    const auto text = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(core::IsError(claims::ParseClaimKey(core::IdempotencyKey(text)).status(),
                            claims::errors::kBadKey));
  }));
  CHECK(rc::check("one character replaced", [] {
    const core::IdempotencyKey key = KeyOf(core::WallTime(std::chrono::hours(1)));
    std::string text = key.Text();
    text[*rc::gen::inRange<std::size_t>(0, text.size())] =
      *rc::gen::suchThat<char>([](char aCharacter) {
        return !std::isxdigit(static_cast<unsigned char>(aCharacter)) && aCharacter != '-';
      });
    RC_ASSERT(!claims::ParseClaimKey(core::IdempotencyKey(text)).ok());
  }));
  const std::string version4 = "0189c2f4-0000-4000-8000-000000000000";
  CHECK_FALSE(claims::ParseClaimKey(core::IdempotencyKey(version4)).ok());
  const std::string latest = "ffffffff-ffff-7fff-bfff-ffffffffffff";
  CHECK(claims::ParseClaimKey(core::IdempotencyKey(latest)).ok());
}

TEST_CASE("upper and lower case spellings of a key are the same key")
{
  core::ManualClock clock;
  fakes::MemoryStore store(clock);
  const auto book = MakeBook(store, clock);
  std::string upper = KeyOf(clock.WallNow(), 0xabcdef).Text();
  for (char& character : upper) {
    character = static_cast<char>(std::toupper(character));
  }
  CHECK(book->Claim(KeyOf(clock.WallNow(), 0xabcdef), core::RequestId("a"), "fee")->granted);
  CHECK(
    core::IsError(book->Claim(core::IdempotencyKey(upper), core::RequestId("b"), "fee").status(),
                  claims::errors::kClaimedBefore));
}

TEST_CASE("a key that is too old, from the future or malformed is refused without a store call")
{
  core::ManualClock clock;
  fakes::MemoryStore store(clock);
  const auto book = MakeBook(store, clock);
  const auto claim = [&](core::WallTime aTime) {
    return book->Claim(KeyOf(aTime), core::RequestId("a"), "fee").status();
  };
  const auto old = claim(clock.WallNow() - std::chrono::hours(25));
  CHECK(core::IsError(old, claims::errors::kKeyTooOld));
  CHECK(claims::OutcomeOfRefusal(old) == core::Outcome::kUnknown);
  const auto future = claim(clock.WallNow() + std::chrono::hours(1));
  CHECK(core::IsError(future, claims::errors::kKeyFromFuture));
  const auto malformed =
    book->Claim(core::IdempotencyKey("key-1"), core::RequestId("a"), "fee").status();
  CHECK(core::IsError(malformed, claims::errors::kBadKey));
  CHECK(store.Calls() == 0);
}

TEST_CASE("with the store down, a new key is refused as not run and an older one as unknown")
{
  core::ManualClock clock;
  fakes::MemoryStore store(clock);
  const auto book = MakeBook(store, clock);
  const core::IdempotencyKey key = KeyOf(clock.WallNow());
  store.SetDown(true);
  const auto first = book->Claim(key, core::RequestId("a"), "fee").status();
  CHECK(core::IsError(first, claims::errors::kStoreUnavailable));
  CHECK(claims::OutcomeOfRefusal(first) == core::Outcome::kNotRun);
  clock.Advance(std::chrono::minutes(1));
  const auto later = book->Claim(key, core::RequestId("b"), "fee").status();
  CHECK(claims::OutcomeOfRefusal(later) == core::Outcome::kUnknown);
  store.SetDown(false);
  CHECK(book->Claim(key, core::RequestId("c"), "fee")->granted);
}

TEST_CASE("an outcome is written by a later flush if the store was down when it was recorded")
{
  core::ManualClock clock;
  fakes::MemoryStore store(clock);
  const auto book = MakeBook(store, clock);
  const core::IdempotencyKey key = KeyOf(clock.WallNow());
  REQUIRE(book->Claim(key, core::RequestId("a"), "fee")->granted);
  const claims::RecordedOutcome paid{ core::Outcome::kRan, 200, "paid", true };
  store.SetDown(true);
  CHECK_FALSE(book->Record(key, core::RequestId("a"), "fee", paid).ok());
  book->Flush();
  store.SetDown(false);
  book->Flush();
  CHECK(MakeBook(store, clock)->Claim(key, core::RequestId("b"), "fee")->recorded == paid);
}

TEST_CASE(
  "a key is refused for a different request, and an answer too large to record is reported as run")
{
  core::ManualClock clock;
  fakes::MemoryStore store(clock);
  const auto book = MakeBook(store, clock);
  const core::IdempotencyKey key = KeyOf(clock.WallNow());
  REQUIRE(book->Claim(key, core::RequestId("a"), "fee 1")->granted);
  CHECK(core::IsError(book->Claim(key, core::RequestId("b"), "fee 2").status(),
                      claims::errors::kKeyReused));
  const claims::RecordedOutcome large{ core::Outcome::kRan, 200, std::string(5000, 'x'), true };
  REQUIRE(book->Record(key, core::RequestId("a"), "fee 1", large).ok());
  const auto again = book->Claim(key, core::RequestId("c"), "fee 1").status();
  CHECK(core::IsError(again, claims::errors::kAnswerNotKept));
  CHECK(claims::OutcomeOfRefusal(again) == core::Outcome::kRan);
}

TEST_CASE("a full segment refuses further claims and stays below the store's maximum value size")
{
  claims::Segment segment(0);
  std::uint64_t granted = 0;
  // The largest answer in JSON that is recorded: every byte of it is escaped.
  const claims::RecordedOutcome outcome{ core::Outcome::kRan, 200, std::string(80, '\1'), true };
  for (std::uint64_t number = 0; number < 3000; ++number) {
    const std::string attempt =
      "01234567-89ab-cdef-0123-" + std::to_string(100'000'000'000 + number);
    claims::ClaimOperation operation = Operation(KeyOf({}, number), attempt);
    operation.fingerprint = std::to_string(~std::uint64_t{ 0 });
    const auto result = segment.Apply(operation);
    if (result.verdict != claims::Verdict::kGranted) {
      CHECK(result.verdict == claims::Verdict::kFull);
      continue;
    }
    ++granted;
    operation.outcome = outcome;
    CHECK(segment.Apply(operation).verdict == claims::Verdict::kRecorded);
  }
  CHECK(granted > 1000);
  CHECK(granted < 3000);
  const std::string text = segment.Format();
  CHECK(text.size() < platform::kLargestValueBytes);
  CHECK(claims::Segment::Parse(text)->Format() == text);
}

TEST_CASE("a slot is reused by a later slice, and a key of the overwritten slice is refused")
{
  core::ManualClock clock;
  fakes::MemoryStore store(clock);
  const claims::SegmentLayout layout;
  const auto book = MakeBook(store, clock);
  const core::IdempotencyKey old = KeyOf(clock.WallNow());
  REQUIRE(book->Claim(old, core::RequestId("a"), "fee")->granted);
  clock.Advance(layout.slice * layout.slots);
  const auto bucketOf = [&](const core::IdempotencyKey& aKey) {
    return claims::SegmentIdOf(*claims::ParseClaimKey(aKey), layout).bucket;
  };
  std::uint64_t number = 1;
  while (bucketOf(KeyOf(clock.WallNow(), number)) != bucketOf(old)) {
    ++number;
  }
  REQUIRE(book->Claim(KeyOf(clock.WallNow(), number), core::RequestId("b"), "fee")->granted);
  // To an instance whose clock is a day behind, the old key is still within the retention.
  core::ManualClock lagging;
  CHECK(core::IsError(MakeBook(store, lagging)->Claim(old, core::RequestId("c"), "fee").status(),
                      claims::errors::kKeyTooOld));
}

TEST_CASE("an operation survives encoding and decoding, and truncated messages are rejected")
{
  claims::ClaimOperation operation = Operation(KeyOf({}), "attempt");
  operation.outcome = claims::RecordedOutcome{ core::Outcome::kRan, 201, "body", true };
  const std::string text = claims::detail::EncodeOperation(operation);
  const auto read = claims::detail::DecodeOperation(text);
  REQUIRE(read.ok());
  CHECK(read->key == operation.key);
  CHECK(read->outcome == operation.outcome);
  CHECK(rc::check("truncated", [&] {
    const auto length = *rc::gen::inRange<std::size_t>(0, text.size());
    RC_ASSERT(!claims::detail::DecodeOperation(text.substr(0, length)).ok());
  }));
}

TEST_CASE(
  "all instances select the same owner of a bucket, and buckets are spread over the instances")
{
  std::vector<control::EntryView> entries;
  for (std::uint16_t number = 1; number <= 9; ++number) {
    control::EntryView entry;
    entry.instance = core::InstanceId("entry-" + std::to_string(number));
    entry.peerAddress = { "127.0.0.1", number };
    entries.push_back(entry);
  }
  std::map<std::string, int> owned;
  for (std::uint64_t bucket = 0; bucket < 64; ++bucket) {
    std::set<net::Address> owners;
    for (const control::EntryView& entry : entries) {
      owners.insert(
        claims::FindBucketOwner(bucket, entry.instance, entries).value_or(entry.peerAddress));
    }
    REQUIRE(owners.size() == 1);
    ++owned[owners.begin()->Text()];
  }
  CHECK(owned.size() >= 8);
}
