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

// The same cases in every run, unless the environment asks for others.
const int kSeeded = setenv("RC_PARAMS", "seed=1", 0);

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

TEST_CASE("every version 7 UUID is read with its creation time")
{
  REQUIRE(kSeeded == 0);
  CHECK(rc::check("read back", [] {
    const auto time = *rc::gen::inRange<std::int64_t>(0, 4'000'000'000'000);
    const auto high = *rc::gen::arbitrary<std::uint64_t>();
    const auto low = *rc::gen::arbitrary<std::uint64_t>();
    const core::WallTime createdAt{ std::chrono::milliseconds(time) };
    const auto key = claims::ParseClaimKey(claims::FormatClaimKey(createdAt, high, low));
    RC_ASSERT(key.ok());
    RC_ASSERT(key->createdAt == createdAt);
  }));
}

TEST_CASE("any other text is refused and never crashes the reader")
{
  CHECK(rc::check("arbitrary text", [] {
    const auto text = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(core::IsError(claims::ParseClaimKey(core::IdempotencyKey(text)).status(),
                            claims::errors::kBadKey));
  }));
  CHECK(rc::check("one letter changed", [] {
    const core::IdempotencyKey key = KeyOf(core::WallTime(std::chrono::hours(1)));
    std::string text = key.Text();
    text[*rc::gen::inRange<std::size_t>(0, text.size())] =
      *rc::gen::suchThat<char>([](char aLetter) {
        return !std::isxdigit(static_cast<unsigned char>(aLetter)) && aLetter != '-';
      });
    RC_ASSERT(!claims::ParseClaimKey(core::IdempotencyKey(text)).ok());
  }));
  const std::string version4 = "0189c2f4-0000-4000-8000-000000000000";
  CHECK_FALSE(claims::ParseClaimKey(core::IdempotencyKey(version4)).ok());
  const std::string furthest = "ffffffff-ffff-7fff-bfff-ffffffffffff";
  CHECK(claims::ParseClaimKey(core::IdempotencyKey(furthest)).ok());
}

TEST_CASE("two spellings of a key are one key")
{
  core::ManualClock clock;
  fakes::MemoryStore store(clock);
  const auto book = MakeBook(store, clock);
  std::string upper = KeyOf(clock.WallNow(), 0xabcdef).Text();
  for (char& letter : upper) {
    letter = static_cast<char>(std::toupper(letter));
  }
  CHECK(book->Claim(KeyOf(clock.WallNow(), 0xabcdef), core::RequestId("a"), "fee")->granted);
  CHECK(
    core::IsError(book->Claim(core::IdempotencyKey(upper), core::RequestId("b"), "fee").status(),
                  claims::errors::kClaimedBefore));
}

TEST_CASE("a key outside the window is refused with its own error and a true outcome")
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
  const auto early = claim(clock.WallNow() + std::chrono::hours(1));
  CHECK(core::IsError(early, claims::errors::kKeyFromFuture));
  const auto bad = book->Claim(core::IdempotencyKey("key-1"), core::RequestId("a"), "fee").status();
  CHECK(core::IsError(bad, claims::errors::kBadKey));
  CHECK(store.Calls() == 0);
}

TEST_CASE(
  "a store that is down refuses claims, and tells an old key's caller no more than is known")
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

TEST_CASE("an end that the store did not take is written later")
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

TEST_CASE("a key serves one request, and an answer too large to keep is told as run")
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

TEST_CASE("a full segment stays below the store's largest value and refuses what has no room")
{
  claims::Segment segment(0);
  std::uint64_t granted = 0;
  // The worst answer that is kept: every byte of it is escaped.
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

TEST_CASE("a slot is used again only by a later slice, and never for an earlier one")
{
  core::ManualClock clock;
  fakes::MemoryStore store(clock);
  const claims::SegmentLayout layout;
  const auto book = MakeBook(store, clock);
  const core::IdempotencyKey old = KeyOf(clock.WallNow());
  REQUIRE(book->Claim(old, core::RequestId("a"), "fee")->granted);
  clock.Advance(layout.slice * layout.slots);
  const auto bucketOf = [&](const core::IdempotencyKey& aKey) {
    return claims::PlaceOf(*claims::ParseClaimKey(aKey), layout).bucket;
  };
  std::uint64_t number = 1;
  while (bucketOf(KeyOf(clock.WallNow(), number)) != bucketOf(old)) {
    ++number;
  }
  REQUIRE(book->Claim(KeyOf(clock.WallNow(), number), core::RequestId("b"), "fee")->granted);
  // An instance whose clock lags by a day still takes the old key for a young one.
  core::ManualClock lagging;
  CHECK(core::IsError(MakeBook(store, lagging)->Claim(old, core::RequestId("c"), "fee").status(),
                      claims::errors::kKeyTooOld));
}

TEST_CASE("messages between peers are read back, and broken ones are refused")
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

TEST_CASE("a bucket's owner is the same from every instance's view, and buckets spread")
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
