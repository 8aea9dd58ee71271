#include <doctest/doctest.h>

#include <rapidcheck.h>

#include <plantainslip/membership/errors.hpp>
#include <plantainslip/membership/membership.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using membership::LeavingMark;

namespace {

std::vector<platform::ListedInstance>
ListWith(bool aLeaving)
{
  platform::ListedInstance listed;
  listed.name = "engine-1";
  listed.kind = platform::ListedKind::kEngine;
  listed.leaving = aLeaving;
  return { listed };
}

} // namespace

TEST_CASE("a leaving mark")
{
  membership::LeavingMarks marks;
  core::ManualClock clock;
  REQUIRE(marks.Observe(ListWith(true), clock.Now()).size() == 1);

  SUBCASE("is not undone by a late message")
  {
    REQUIRE(marks.Adopt({ "engine-1", 5, true }));
    CHECK_FALSE(marks.Adopt({ "engine-1", 4, false }));
    CHECK_FALSE(marks.Adopt({ "engine-1", 5, false }));
    CHECK(marks.IsLeaving("engine-1"));
  }

  SUBCASE("is not undone by a reading of the list that lags")
  {
    for (int second = 0; second < 59; ++second) {
      clock.Advance(std::chrono::seconds(1));
      CHECK(marks.Observe(ListWith(false), clock.Now()).empty());
    }
    CHECK(marks.Observe(ListWith(true), clock.Now()).empty());
    clock.Advance(std::chrono::seconds(2));
    CHECK(marks.Observe(ListWith(false), clock.Now()).empty());
    CHECK(marks.IsLeaving("engine-1"));
  }

  SUBCASE("is lifted by a newer version once the list has contradicted it for long")
  {
    marks.Observe(ListWith(false), clock.Now());
    clock.Advance(membership::kLiftMarkAfter);
    const auto made = marks.Observe(ListWith(false), clock.Now());
    REQUIRE(made.size() == 1);
    CHECK(made[0].version == 2);
    CHECK_FALSE(marks.IsLeaving("engine-1"));
  }
}

TEST_CASE("marks end up the same in whatever order they arrive")
{
  CHECK(rc::check([](std::vector<std::pair<std::uint8_t, bool>> aWords) {
    membership::LeavingMarks forward;
    membership::LeavingMarks backward;
    for (const auto& [version, leaving] : aWords) {
      forward.Adopt({ "engine-1", version, leaving });
    }
    std::reverse(aWords.begin(), aWords.end());
    for (const auto& [version, leaving] : aWords) {
      backward.Adopt({ "engine-1", version, leaving });
    }
    RC_ASSERT(forward.All() == backward.All());
  }));
}

TEST_CASE("a datagram")
{
  membership::Message message;
  message.kind = membership::MessageKind::kPingRequest;
  message.sequence = 17;
  message.sender = { core::InstanceId("entry-1"),
                     core::ZoneId("a"),
                     { "127.0.0.1", 7100 },
                     membership::Incarnation(3),
                     membership::MemberState::kSuspect };
  message.updates = { message.sender };
  message.marks = { { "engine-1", 4, true } };
  const std::string bytes = membership::FormatMessage(message, "key");

  SUBCASE("is read as it was written")
  {
    const auto read = membership::ParseMessage(bytes, "key");
    REQUIRE(read.ok());
    CHECK(read->sender == message.sender);
    CHECK(read->updates == message.updates);
    CHECK(read->marks == message.marks);
    CHECK(read->sequence == 17);
  }

  SUBCASE("that was signed with another key is dropped")
  {
    const auto read = membership::ParseMessage(bytes, "other");
    CHECK(core::IsError(read.status(), membership::errors::kBadDatagram));
  }

  SUBCASE("that was cut or changed is dropped")
  {
    for (std::size_t at = 0; at < bytes.size(); ++at) {
      std::string changed = bytes;
      changed[at] = static_cast<char>(changed[at] ^ 1);
      CHECK_FALSE(membership::ParseMessage(changed, "key").ok());
      CHECK_FALSE(membership::ParseMessage(bytes.substr(0, at), "key").ok());
    }
  }
}

TEST_CASE("members pick the same watchers from the same members")
{
  const std::vector<core::InstanceId> members = { core::InstanceId("x"),
                                                  core::InstanceId("y"),
                                                  core::InstanceId("z") };
  const std::vector<core::InstanceId> turned = { members[2], members[0], members[1] };
  CHECK(membership::PickByRendezvous(members, "watch", 2) ==
        membership::PickByRendezvous(turned, "watch", 2));
  CHECK(membership::PickByRendezvous(members, "watch", 5).size() == 3);
}
