#include <doctest/doctest.h>

#include <random>

#include <plantainslip/serving/request_quarantine.hpp>

using namespace plantainslip;          // NOLINT(google-build-using-namespace)
using namespace plantainslip::serving; // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kFirst = 1;
constexpr std::uint64_t kSubject = 20;
constexpr std::uint64_t kFatal = 666;

using PartIds = std::vector<std::uint64_t>;

// Returns the traits of a request with a digest, whose prompt has the given shared parts and a last
// part of its own.
TraitSet
Request(std::uint64_t aDigest, const PartIds& aShared)
{
  PromptInfo prompt;
  for (const std::uint64_t id : aShared) {
    prompt.parts.push_back({ id, 100 });
  }
  prompt.parts.push_back({ 1'000'000 + aDigest, 100 });
  return TraitsOf(RequestDigest(aDigest), prompt);
}

// Returns the traits of a request that is like no other, whose prompt has the given shared parts.
TraitSet
Prompt(const PartIds& aShared)
{
  static std::uint64_t last = 1'000'000;
  return Request(++last, aShared);
}

// Returns the traits of prompts with parts, whatever the request.
TraitSet
PartTraits(const PartIds& aParts)
{
  TraitSet traits;
  for (const std::uint64_t part : aParts) {
    traits.push_back(Trait::OfPart(part));
  }
  return traits;
}

/// One instance and a clock; each crash is of another target.
struct Instance
{
  RequestQuarantine quarantine;
  core::MonotonicTime now{ 1h };
  int crashes = 0;

  void Pass(milliseconds aTime) { this->now += aTime; }

  void Answer(const std::vector<std::uint64_t>& aShared)
  {
    this->Pass(100ms);
    this->quarantine.RecordAnswer(Prompt(aShared), this->now);
    this->Pass(100ms);
  }

  core::TargetId Crash(const std::vector<std::uint64_t>& aShared, bool aIsRepeat = false)
  {
    const core::TargetId target("t" + std::to_string(++this->crashes));
    this->CrashAt(target, aShared, aIsRepeat);
    return target;
  }

  void CrashAt(const core::TargetId& aTarget,
               const std::vector<std::uint64_t>& aShared,
               bool aIsRepeat = false)
  {
    this->quarantine.RecordCrash({ aTarget, this->now, aIsRepeat }, Prompt(aShared), this->now);
  }

  bool IsKeptBack(const std::vector<std::uint64_t>& aShared)
  {
    return this->quarantine.TimeLeft(Prompt(aShared), this->now).has_value();
  }
};

} // namespace

TEST_CASE("a prompt part that was only seen at ended targets is quarantined")
{
  Instance one;
  one.Crash({ kFirst, kSubject, kFatal });
  one.Answer({ kFirst, 21 });
  one.Crash({ kFirst, kSubject, kFatal });
  one.Answer({ kFirst, 22 });
  CHECK_FALSE(one.IsKeptBack({ kFirst, kSubject, kFatal }));
  one.Crash({ kFirst, kSubject, kFatal });
  CHECK(one.IsKeptBack({ kFirst, kSubject, kFatal }));
  SUBCASE("and prompts that share its other parts are not")
  {
    CHECK_FALSE(one.IsKeptBack({ kFirst, kSubject }));
    CHECK_FALSE(one.IsKeptBack({ kFirst, 21 }));
    CHECK_FALSE(one.IsKeptBack({ kSubject }));
  }
  SUBCASE("and a further crash without one of the common parts widens the quarantine")
  {
    one.Answer({ kFirst, 21 });
    CHECK_FALSE(one.IsKeptBack({ 2, 23, kFatal }));
    one.Crash({ 2, 23, kFatal });
    CHECK(one.IsKeptBack({ 2, 24, kFatal }));
    CHECK(one.IsKeptBack({ kFatal }));
    CHECK_FALSE(one.IsKeptBack({ kFirst, kSubject }));
    CHECK(one.quarantine.QuarantinedTraits() == std::vector<TraitSet>{ PartTraits({ kFatal }) });
  }
  SUBCASE("until an answer to a prompt with it begins")
  {
    one.Answer({ kFirst, kSubject, kFatal });
    CHECK_FALSE(one.IsKeptBack({ kFirst, kSubject, kFatal }));
  }
  SUBCASE("for as long as requests with it come, and its lifetime after the last one")
  {
    const milliseconds lifetime = QuarantineOptions{}.lifetime;
    for (int request = 0; request < 5; ++request) {
      one.Pass(lifetime - 1s);
      CHECK(one.IsKeptBack({ kFirst, kSubject, kFatal }));
    }
    one.Pass(lifetime + 2s);
    CHECK_FALSE(one.IsKeptBack({ kFirst, kSubject, kFatal }));
  }
  SUBCASE("and each change is reported once")
  {
    const auto changes = one.quarantine.TakeChanges();
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].quarantined);
    CHECK(changes[0].crashes == 3);
    CHECK(one.quarantine.TakeChanges().empty());
  }
}

TEST_CASE("a fatal part is found in any position but the last")
{
  Instance one;
  for (int crash = 0; crash < 3; ++crash) {
    one.Answer({ kFirst, kSubject });
    SUBCASE("as the first part")
    {
      one.Crash({ kFatal, 30U + static_cast<unsigned>(crash) });
    }
    SUBCASE("as the only shared part")
    {
      one.Crash({ kFatal });
    }
    SUBCASE("as a part in the middle")
    {
      one.Crash({ kFirst, kFatal, 30U + static_cast<unsigned>(crash) });
    }
  }
  CHECK(one.IsKeptBack({ kFatal, 99 }));
  CHECK_FALSE(one.IsKeptBack({ kFirst, 99 }));
  CHECK_FALSE(one.IsKeptBack({ 30, 99 }));
}

TEST_CASE("targets that end without an answer in between count as one outage")
{
  Instance one;
  one.Answer({ kFirst, kSubject });
  for (int target = 0; target < 20; ++target) {
    one.Pass(20ms);
    one.Crash({ kFirst, kSubject });
  }
  CHECK_FALSE(one.IsKeptBack({ kFirst, kSubject }));
  SUBCASE("but not those that end one after another during one request")
  {
    one.Answer({ kFirst, 21 });
    one.Crash({ kFirst, kFatal });
    one.Crash({ kFirst, kFatal }, true);
    one.Pass(100ms);
    one.Answer({ kFirst, 22 });
    one.Crash({ kFirst, kFatal });
    CHECK(one.IsKeptBack({ kFirst, kFatal }));
  }
}

TEST_CASE("bystanders of a crash are not quarantined")
{
  Instance one;
  for (int crash = 0; crash < 6; ++crash) {
    one.Answer({ 2, 77 });
    const core::TargetId target = one.Crash({ kFirst, kSubject, kFatal });
    one.Pass(1ms);
    // The same bystander every time, and another one whose part is otherwise answered.
    one.CrashAt(target, { 3, 33 });
    one.CrashAt(target, { 2, 44 });
  }
  CHECK(one.IsKeptBack({ kFirst, kSubject, kFatal }));
  CHECK_FALSE(one.IsKeptBack({ 3, 33 }));
  CHECK_FALSE(one.IsKeptBack({ 2, 44 }));
  CHECK(one.quarantine.QuarantinedTraits().size() == 1);
}

TEST_CASE("a part that is answered between crashes is never quarantined")
{
  Instance one;
  for (int crash = 0; crash < 30; ++crash) {
    one.Crash({ kFirst, kSubject });
    one.Answer({ kFirst, kSubject });
  }
  CHECK_FALSE(one.IsKeptBack({ kFirst, kSubject }));
  CHECK(one.quarantine.QuarantinedTraits().empty());
}

TEST_CASE("two fatal parts that come in turn are both found")
{
  Instance one;
  for (int crash = 0; crash < 8; ++crash) {
    one.Answer({ kFirst, 77 });
    one.Crash({ kFirst, crash % 2 == 0 ? kFatal : 777 });
  }
  CHECK(one.IsKeptBack({ kFirst, kFatal }));
  CHECK(one.IsKeptBack({ kFirst, 777 }));
  CHECK_FALSE(one.IsKeptBack({ kFirst, 44 }));
}

TEST_CASE("a request that ended a target each time it came is quarantined")
{
  constexpr std::uint64_t kDeadly = 5;
  const auto crash = [](Instance& aOne, const PartIds& aParts) {
    const core::TargetId target("t" + std::to_string(++aOne.crashes));
    aOne.quarantine.RecordCrash({ target, aOne.now }, Request(kDeadly, aParts), aOne.now);
    return target;
  };
  const auto isKeptBack = [](Instance& aOne, const PartIds& aParts) {
    return aOne.quarantine.TimeLeft(Request(kDeadly, aParts), aOne.now).has_value();
  };
  Instance one;
  SUBCASE("even if its prompt's parts are answered in other requests")
  {
    for (int number = 0; number < 3; ++number) {
      CHECK_FALSE(isKeptBack(one, { kFirst, kSubject }));
      crash(one, { kFirst, kSubject });
      one.Answer({ kFirst, kSubject });
    }
    CHECK(isKeptBack(one, { kFirst, kSubject }));
    CHECK_FALSE(one.IsKeptBack({ kFirst, kSubject }));
  }
  SUBCASE("without a prompt, and with no other request in between")
  {
    for (int number = 0; number < 3; ++number) {
      CHECK_FALSE(isKeptBack(one, {}));
      crash(one, {});
      one.Pass(400ms);
    }
    CHECK(isKeptBack(one, {}));
    CHECK_FALSE(one.IsKeptBack({}));
  }
  SUBCASE("and bystanders whose prompts share its parts are not, even at each of the crashes")
  {
    for (int number = 0; number < 8; ++number) {
      const core::TargetId target = crash(one, { kFirst, kSubject });
      one.CrashAt(target, { kFirst, kSubject });
      one.Answer({ 2, 77 });
    }
    CHECK(isKeptBack(one, { kFirst, kSubject }));
    CHECK_FALSE(one.IsKeptBack({ kFirst, kSubject }));
  }
  SUBCASE("but not if the targets ended at the same time")
  {
    for (int number = 0; number < 20; ++number) {
      crash(one, {});
      one.Pass(2ms);
    }
    CHECK_FALSE(isKeptBack(one, {}));
  }
  SUBCASE("but not if it was answered in between")
  {
    for (int number = 0; number < 20; ++number) {
      crash(one, {});
      one.Pass(400ms);
      one.quarantine.RecordAnswer(Request(kDeadly, {}), one.now);
      one.Pass(400ms);
    }
    CHECK_FALSE(isKeptBack(one, {}));
  }
  SUBCASE("also between many bystanders that do not come again")
  {
    for (int number = 0; number < 3; ++number) {
      const core::TargetId target = crash(one, { kFirst, kSubject });
      one.Answer({ kFirst, kSubject });
      for (int bystander = 0; bystander < 300; ++bystander) {
        one.CrashAt(core::TargetId("other"), { kFirst });
      }
      one.Answer({ kFirst, kSubject });
    }
    CHECK(isKeptBack(one, { kFirst, kSubject }));
  }
}

TEST_CASE("a fatal part is found although the first requests with it were attempts of the same one")
{
  Instance one;
  const PartIds fatal = { kFirst, kSubject, kFatal };
  for (int number = 0; number < 3; ++number) {
    one.Answer({ kFirst, 21 });
    const core::TargetId target("s" + std::to_string(number));
    one.quarantine.RecordCrash({ target, one.now }, Request(5, fatal), one.now);
  }
  for (int number = 0; number < 2; ++number) {
    one.Answer({ kFirst, 21 });
    CHECK_FALSE(one.IsKeptBack(fatal));
    one.Crash(fatal);
  }
  CHECK(one.IsKeptBack(fatal));
  CHECK_FALSE(one.IsKeptBack({ kFirst, 21 }));
}

TEST_CASE("an instance that starts later learns of all quarantines")
{
  Instance one;
  for (int crash = 0; crash < 3; ++crash) {
    one.Answer({ kFirst, 21 });
    one.Crash({ kFirst, kFatal });
  }
  Instance adopting;
  adopting.now = one.now;
  adopting.quarantine.Merge(one.quarantine.Report(one.now), one.now);
  one.Pass(60s);
  adopting.Pass(60s);
  CHECK(one.quarantine.Report(one.now).quarantined.empty());
  for (Instance* teller : { &one, &adopting }) {
    teller->quarantine.ReportAllQuarantines(teller->now);
    Instance late;
    late.now = teller->now;
    late.quarantine.Merge(teller->quarantine.Report(teller->now), late.now);
    CHECK(late.IsKeptBack({ kFirst, kFatal }));
    CHECK_FALSE(late.IsKeptBack({ kFirst, 21 }));
  }
}

TEST_CASE("instances that each see one crash find the part by each other's reports")
{
  std::vector<Instance> instances(3);
  for (std::size_t turn = 0; turn < instances.size(); ++turn) {
    for (Instance& each : instances) {
      each.now = instances[0].now + 300ms;
      each.crashes = static_cast<int>(turn);
    }
    instances[0].now += 300ms;
    for (Instance& each : instances) {
      each.quarantine.RecordAnswer(Prompt({ kFirst, kSubject }), each.now);
      each.Pass(100ms);
    }
    instances[turn].Crash({ kFirst, kFatal });
    for (const Instance& sender : instances) {
      const CrashReport report = sender.quarantine.Report(sender.now);
      for (Instance& receiver : instances) {
        // A datagram may arrive twice.
        receiver.quarantine.Merge(report, receiver.now);
        receiver.quarantine.Merge(report, receiver.now);
      }
    }
  }
  for (Instance& each : instances) {
    CHECK(each.IsKeptBack({ kFirst, kFatal }));
    CHECK_FALSE(each.IsKeptBack({ kFirst, kSubject }));
    CHECK(each.quarantine.TakeChanges().size() == 1);
  }
}

TEST_CASE("an answer at another instance clears a part")
{
  Instance one;
  Instance other;
  for (int crash = 0; crash < 10; ++crash) {
    one.now = other.now = one.now + 500ms;
    other.quarantine.Merge(one.quarantine.Report(one.now), other.now);
    other.Answer({ kFirst, kSubject });
    one.now = other.now;
    one.Answer({ 2, 77 });
    one.quarantine.Merge(other.quarantine.Report(one.now), one.now);
    one.Crash({ kFirst, kSubject });
  }
  CHECK_FALSE(one.IsKeptBack({ kFirst, kSubject }));
}

namespace {

/// Plays a load on several instances that exchange reports by datagrams, some of which are lost.
/// Every crash has bystanders, and now and then an engine ends for a reason of its own.
struct CrashingLoad
{
  std::mt19937 random;
  std::size_t instanceCount = 2 + this->Below(40);
  std::vector<Instance> instances = std::vector<Instance>(this->instanceCount);
  std::uint64_t fatalPercent = 2 + this->Below(20);
  PartIds fatalParts = this->Below(2) == 0 ? PartIds{ 1, 10, kFatal } : PartIds{ 1, kFatal };
  core::MonotonicTime now{ 1h };
  std::size_t fatalCrashes = 0;
  core::MonotonicTime fifthCrashAt = core::MonotonicTime::max();
  /// Those later than three seconds after the fifth.
  std::size_t lateFatalCrashes = 0;
  /// Requests that share the first part of the fatal ones.
  std::size_t soundRequests = 0;
  std::size_t soundKeptBack = 0;

  explicit CrashingLoad(unsigned aSeed)
    : random(aSeed)
  {
  }

  std::uint64_t Below(std::uint64_t aBound) { return this->random() % aBound; }
  Instance& AnyInstance() { return this->instances[this->Below(this->instanceCount)]; }
  PartIds SoundParts() { return { 1 + this->Below(4), 10 + this->Below(200) }; }

  void CountCrash(bool aIsFatal)
  {
    constexpr std::size_t kAcceptedCrashes = 5;
    if (aIsFatal && ++this->fatalCrashes == kAcceptedCrashes) {
      this->fifthCrashAt = this->now;
    }
    if (aIsFatal && this->fatalCrashes > kAcceptedCrashes && this->now > this->fifthCrashAt + 3s) {
      ++this->lateFatalCrashes;
    }
  }

  void Crash(Instance& aInstance, const PartIds& aParts, int aStep)
  {
    const core::TargetId target("s" + std::to_string(aStep));
    aInstance.quarantine.RecordCrash({ target, this->now }, Prompt(aParts), this->now);
    const std::uint64_t bystanders = this->Below(6);
    for (std::uint64_t other = 0; other < bystanders; ++other) {
      this->AnyInstance().quarantine.RecordCrash(
        { target, this->now }, Prompt(this->SoundParts()), this->now);
    }
  }

  void Exchange()
  {
    for (const Instance& sender : this->instances) {
      const CrashReport report = sender.quarantine.Report(this->now);
      for (Instance& receiver : this->instances) {
        constexpr std::uint64_t kLostDatagrams = 50;
        if (&receiver != &sender && !report.Empty() && this->Below(kLostDatagrams) != 0) {
          receiver.quarantine.Merge(report, this->now);
        }
      }
    }
  }

  void Play(int aSteps, int aFirstFatalStep)
  {
    for (int step = 0; step < aSteps; ++step) {
      this->now += 10ms;
      Instance& instance = this->AnyInstance();
      const bool isFatal = step >= aFirstFatalStep && this->Below(100) < this->fatalPercent;
      const PartIds parts = isFatal ? this->fatalParts : this->SoundParts();
      const bool isKeptBack = instance.quarantine.TimeLeft(Prompt(parts), this->now).has_value();
      const bool endsByItself = this->Below(200) == 0;
      const bool isRelated = !isFatal && parts.front() == this->fatalParts.front();
      this->soundRequests += isRelated ? 1 : 0;
      this->soundKeptBack += isRelated && isKeptBack ? 1 : 0;
      if (!isKeptBack && (isFatal || endsByItself)) {
        this->CountCrash(isFatal);
        this->Crash(instance, parts, step);
      } else if (!isKeptBack) {
        instance.quarantine.RecordAnswer(Prompt(parts), this->now);
      }
      constexpr int kStepsPerMessage = 10;
      if (step % kStepsPerMessage == 0) {
        this->Exchange();
      }
    }
  }
};

} // namespace

TEST_CASE("few engines are lost to a fatal part under load while sound prompts are served")
{
  constexpr int kSteps = 2'500;
  int firstFatalStep = 0;
  SUBCASE("when it comes as soon as the instances have started") {}
  SUBCASE("when it comes after some time")
  {
    firstFatalStep = 1'000;
  }
  for (unsigned seed = 1; seed <= 15; ++seed) {
    CAPTURE(seed);
    CrashingLoad load(seed);
    load.Play(kSteps, firstFatalStep);
    CHECK(load.lateFatalCrashes <= 3);
    CHECK(load.soundKeptBack <= load.soundRequests / 2);
    for (Instance& instance : load.instances) {
      instance.now = load.now;
      CHECK(instance.IsKeptBack(load.fatalParts));
    }
  }
}
