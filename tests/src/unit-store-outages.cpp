#include <doctest/doctest.h>

#include "harness/directory_changes.hpp"

using namespace plantainslip;          // NOLINT(google-build-using-namespace)
using namespace plantainslip::serving; // NOLINT(google-build-using-namespace)
using harness::At;
using harness::Entry;
using harness::kHeartbeat;
using harness::Removal;
using namespace std::chrono_literals;

// Guards against losing all targets after an outage in which their leases expired.
TEST_CASE("entries that were removed in a store outage are kept for a grace period")
{
  Directory directory(kHeartbeat);
  core::MonotonicTime now = core::MonotonicTime{} + 60s;
  const core::TargetId target("t");
  directory.RecordContact(now, At(5));
  directory.Apply(Entry("t", 5), now);
  directory.Apply(Entry("u", 6), now);
  directory.RecordUnansweredCall(now + 1s);
  now += Directory::kOutageHeartbeats * kHeartbeat;
  const core::MonotonicTime graceEnd = now + Directory::kLapseGracePeriod;
  directory.RecordContact(now, At(8));
  CHECK_FALSE(directory.Apply(Removal("t", 7), now));
  CHECK(directory.Targets().contains(target));
  SUBCASE("an entry that is written again stays")
  {
    directory.Apply(Entry("t", 9), now + 1s);
    CHECK_FALSE(directory.ApplyDeadlines(now + 10s));
    CHECK(directory.Targets().contains(target));
  }
  SUBCASE("an entry that is not written again is removed at the end of the grace period")
  {
    CHECK_FALSE(directory.ApplyDeadlines(graceEnd - 1ms));
    CHECK(directory.ApplyDeadlines(graceEnd));
    CHECK_FALSE(directory.Targets().contains(target));
  }
  SUBCASE("the grace period counts from the store's return, not from the news of a removal")
  {
    CHECK_FALSE(directory.Apply(Removal("u", 8), graceEnd - 1ms));
    CHECK(directory.ApplyDeadlines(graceEnd));
    CHECK(directory.Targets().empty());
  }
  SUBCASE("a removal that is read after the grace period is applied immediately")
  {
    CHECK(directory.Apply(Removal("u", 8), graceEnd));
  }
  SUBCASE("a removal that the store made after its return is applied immediately")
  {
    CHECK(directory.Apply(Removal("u", 9), now));
  }
  SUBCASE("a contact of a peer shows that the store was not away")
  {
    directory.RecordContact(now - kHeartbeat);
    CHECK(directory.ApplyDeadlines(now));
    CHECK_FALSE(directory.Targets().contains(target));
    CHECK(directory.Apply(Removal("u", 8), now));
  }
}

TEST_CASE("the grace period after a store outage counts from a peer's first contact")
{
  Directory directory(kHeartbeat);
  core::MonotonicTime now = core::MonotonicTime{} + 60s;
  directory.RecordContact(now, At(5));
  directory.Apply(Entry("t", 5), now);
  directory.RecordUnansweredCall(now + 1s);
  now += Directory::kOutageHeartbeats * kHeartbeat;
  const core::MonotonicTime graceEnd = now + Directory::kLapseGracePeriod;
  directory.RecordContact(now);
  now += 500ms;
  directory.RecordContact(now, At(8));
  CHECK_FALSE(directory.Apply(Removal("t", 7), now));
  CHECK_FALSE(directory.ApplyDeadlines(graceEnd - 1ms));
  CHECK(directory.ApplyDeadlines(graceEnd));
}

// Guards against requests to targets that have left, after an outage of one instance or zone.
TEST_CASE("a removal is applied immediately while any instance reaches the store")
{
  Directory directory(kHeartbeat);
  core::MonotonicTime now = core::MonotonicTime{} + 60s;
  directory.RecordContact(now, At(5));
  directory.Apply(Entry("t", 5), now);
  SUBCASE("after a time without contact in which no lease can expire")
  {
    directory.RecordUnansweredCall(now + 1s);
    now += Directory::kOutageHeartbeats * kHeartbeat - 1ms;
  }
  SUBCASE("after a long time in which only peers reached it")
  {
    for (int beat = 0; beat < 10; ++beat) {
      now += kHeartbeat;
      directory.RecordUnansweredCall(now - 1ms);
      directory.RecordContact(now);
    }
  }
  directory.RecordContact(now, At(6));
  CHECK(directory.Apply(Removal("t", 6), now));
}

// Guards against requests to targets that have left, after the peers have ended that followed the
// store for an instance.
TEST_CASE("a time without contact is an outage only if the store was asked in vain")
{
  Directory directory(kHeartbeat);
  const core::MonotonicTime lastContact = core::MonotonicTime{} + 60s;
  const core::MonotonicTime returned = lastContact + Directory::kOutageHeartbeats * kHeartbeat;
  directory.RecordUnansweredCall(lastContact - 1ms);
  directory.RecordContact(lastContact, At(5));
  directory.Apply(Entry("t", 5), lastContact);
  SUBCASE("and not if nobody asked it")
  {
    directory.RecordContact(returned, At(6));
    CHECK(directory.Apply(Removal("t", 6), returned));
  }
  SUBCASE("and not if only later calls go unanswered")
  {
    directory.RecordContact(returned, At(6));
    directory.RecordUnansweredCall(returned);
    CHECK(directory.Apply(Removal("t", 6), returned));
  }
  SUBCASE("and not if the calls went unanswered before a contact that is learnt late")
  {
    directory.RecordUnansweredCall(lastContact + 1s);
    directory.RecordContact(returned + 2s, At(6));
    CHECK_FALSE(directory.Apply(Removal("t", 6), returned + 2s));
    directory.RecordContact(lastContact + 1'001ms);
    CHECK(directory.ApplyDeadlines(returned + 2s));
    CHECK(directory.Targets().empty());
  }
  SUBCASE("also if that is known only after the store's return")
  {
    directory.RecordContact(returned, At(6));
    directory.RecordUnansweredCall(returned - 1ms);
    CHECK_FALSE(directory.Apply(Removal("t", 6), returned));
  }
}
