#include <doctest/doctest.h>

#include <rapidcheck.h>

#include <plantainslip/membership/errors.hpp>
#include <plantainslip/membership/membership.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using membership::LeavingMark;

namespace {

std::vector<platform::ListedInstance>
MakeList(bool aLeaving)
{
  platform::ListedInstance listed;
  listed.name = "engine-1";
  listed.kind = platform::ListedKind::kEngine;
  listed.leaving = aLeaving;
  return { listed };
}

} // namespace

TEST_CASE("leaving marks")
{
  membership::LeavingMarks marks;
  core::ManualClock clock;
  REQUIRE(marks.ApplyList(MakeList(true), clock.Now()).size() == 1);

  SUBCASE("an older mark that arrives late does not clear a mark")
  {
    REQUIRE(marks.Merge({ "engine-1", 5, true }));
    CHECK_FALSE(marks.Merge({ "engine-1", 4, false }));
    CHECK_FALSE(marks.Merge({ "engine-1", 5, false }));
    CHECK(marks.IsLeaving("engine-1"));
  }

  SUBCASE("a list that lags does not clear a mark")
  {
    for (int second = 0; second < 59; ++second) {
      clock.Advance(std::chrono::seconds(1));
      CHECK(marks.ApplyList(MakeList(false), clock.Now()).empty());
    }
    CHECK(marks.ApplyList(MakeList(true), clock.Now()).empty());
    clock.Advance(std::chrono::seconds(2));
    CHECK(marks.ApplyList(MakeList(false), clock.Now()).empty());
    CHECK(marks.IsLeaving("engine-1"));
  }

  SUBCASE("a mark is cleared after the list has contradicted it for kMarkClearDelay")
  {
    marks.ApplyList(MakeList(false), clock.Now());
    clock.Advance(membership::kMarkClearDelay);
    const auto cleared = marks.ApplyList(MakeList(false), clock.Now());
    REQUIRE(cleared.size() == 1);
    CHECK(cleared[0].version == 2);
    CHECK_FALSE(marks.IsLeaving("engine-1"));
  }
}

TEST_CASE("merged marks do not depend on the order of arrival")
{
  CHECK(rc::check([](std::vector<std::pair<std::uint8_t, bool>> aMarks) {
    membership::LeavingMarks forward;
    membership::LeavingMarks backward;
    for (const auto& [version, leaving] : aMarks) {
      forward.Merge({ "engine-1", version, leaving });
    }
    std::reverse(aMarks.begin(), aMarks.end());
    for (const auto& [version, leaving] : aMarks) {
      backward.Merge({ "engine-1", version, leaving });
    }
    RC_ASSERT(forward.All() == backward.All());
  }));
}

TEST_CASE("membership datagram")
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

  SUBCASE("survives a round trip")
  {
    const auto read = membership::ParseMessage(bytes, "key");
    REQUIRE(read.ok());
    CHECK(read->sender == message.sender);
    CHECK(read->updates == message.updates);
    CHECK(read->marks == message.marks);
    CHECK(read->sequence == 17);
  }

  SUBCASE("is rejected if it was signed with another key")
  {
    const auto read = membership::ParseMessage(bytes, "other");
    CHECK(core::IsError(read.status(), membership::errors::kBadDatagram));
  }

  SUBCASE("is rejected if it is truncated or a bit is flipped")
  {
    for (std::size_t at = 0; at < bytes.size(); ++at) {
      std::string changed = bytes;
      changed[at] = static_cast<char>(changed[at] ^ 1);
      CHECK_FALSE(membership::ParseMessage(changed, "key").ok());
      CHECK_FALSE(membership::ParseMessage(bytes.substr(0, at), "key").ok());
    }
  }
}

TEST_CASE("rendezvous hashing picks the same members in whatever order they are given")
{
  const std::vector<core::InstanceId> members = { core::InstanceId("x"),
                                                  core::InstanceId("y"),
                                                  core::InstanceId("z") };
  const std::vector<core::InstanceId> rotated = { members[2], members[0], members[1] };
  CHECK(membership::PickByRendezvous(members, "watch", 2) ==
        membership::PickByRendezvous(rotated, "watch", 2));
  CHECK(membership::PickByRendezvous(members, "watch", 5).size() == 3);
}
