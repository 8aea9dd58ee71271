#include <doctest/doctest.h>

#include <map>
#include <memory>

#include <fakes/memory_store.hpp>
#include <harness/fault_matrix.hpp>
#include <harness/faulty_store.hpp>

#include <plantainslip/claims/claim_book.hpp>
#include <plantainslip/claims/claim_key.hpp>
#include <plantainslip/claims/errors.hpp>
#include <plantainslip/peers/errors.hpp>
#include <plantainslip/requests/at_most_once.hpp>
#include <plantainslip/targets/errors.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

namespace {

const core::ServiceName kPayments("payments");

// Counts what ran; the only thing that the checker believes beside what callers were told.
struct RunCounts
{
  std::map<std::string, int> byKey;
  std::map<std::string, int> byCall;
};

class CountingService final : public targets::ServiceClient
{
public:
  CountingService(RunCounts& aRuns, harness::FaultInjector* aInjector)
    : runs(aRuns)
    , injector(aInjector)
  {
  }

  absl::StatusOr<targets::ServiceReply> Call(const net::Address& /*aService*/,
                                             const targets::ServiceCall& aCall) override
  {
    using Result = absl::StatusOr<targets::ServiceReply>;
    bool delivered = false;
    const auto run = [&]() -> Result {
      // One connection delivers its bytes once, whatever the network does with packets.
      if (!delivered) {
        delivered = true;
        ++this->runs.byKey[aCall.key.Text()];
        ++this->runs.byCall[aCall.request.Text()];
      }
      return targets::ServiceReply{ 200, "paid by " + aCall.request.Text() };
    };
    const auto lost = [&]() -> Result {
      return core::MakeError(delivered ? targets::errors::kLost : targets::errors::kUnreachable,
                             "lost");
    };
    return this->injector == nullptr ? run()
                                     : this->injector->Pass<Result>("service.call", run, lost);
  }

private:
  RunCounts& runs;
  harness::FaultInjector* injector;
};

// Hands messages to another instance's book. A process that is dead or stands still is not reached.
class DirectPeers final : public peers::PeerClient
{
public:
  explicit DirectPeers(harness::FaultInjector* aInjector)
    : injector(aInjector)
  {
  }

  absl::StatusOr<std::string> Call(const net::Address& /*aPeer*/,
                                   const std::string& aKind,
                                   const std::string& aBody,
                                   std::chrono::milliseconds /*aTimeout*/) override
  {
    using Result = absl::StatusOr<std::string>;
    if (this->peer == nullptr) {
      return core::MakeError(peers::errors::kUnreachable, "the peer does not answer");
    }
    const auto call = [&]() -> Result { return this->peer->HandleCommit(aBody); };
    const auto lost = []() -> Result { return core::MakeError(peers::errors::kLost, "lost"); };
    return this->injector == nullptr ? call()
                                     : this->injector->Pass<Result>("peer." + aKind, call, lost);
  }

  absl::StatusOr<std::unique_ptr<peers::PeerStream>> OpenStream(
    const net::Address& /*aPeer*/,
    const std::string& /*aKind*/,
    const std::string& /*aBody*/,
    std::chrono::milliseconds /*aTimeout*/) override
  {
    return core::MakeError(peers::errors::kRefused, "no streams");
  }

  void Connect(claims::ClaimBook* aPeer) { this->peer = aPeer; }

private:
  harness::FaultInjector* injector;
  claims::ClaimBook* peer = nullptr;
};

// Grants every claim, as if there were none.
class NoClaims final : public claims::ClaimBook
{
public:
  absl::StatusOr<claims::ClaimResult> Claim(const core::IdempotencyKey& /*aKey*/,
                                            const core::RequestId& /*aAttempt*/,
                                            const std::string& /*aFingerprint*/) override
  {
    return claims::ClaimResult{ true, std::nullopt };
  }

  absl::Status Record(const core::IdempotencyKey& /*aKey*/,
                      const core::RequestId& /*aAttempt*/,
                      const std::string& /*aFingerprint*/,
                      const claims::RecordedOutcome& /*aOutcome*/) override
  {
    return absl::OkStatus();
  }

  absl::StatusOr<std::string> HandleCommit(const std::string& aBody) override { return aBody; }
  void Flush() override {}
};

enum class Owner
{
  kFirst,
  kSecond,
};

struct Told
{
  std::string call;
  core::Outcome outcome = core::Outcome::kUnknown;
  bool saysThisCallAlone = false;
  std::string body;
};

// One key, sent to two instances; the first one's calls go through the fault injector.
class TwoInstances
{
public:
  TwoInstances(core::ManualClock& aClock,
               harness::FaultInjector& aInjector,
               Owner aOwner,
               bool aClaims)
    : clock(aClock)
    , injector(aInjector)
    , owner(aOwner)
    , withClaims(aClaims)
    , store(aClock)
    , faultyStore(store, aInjector)
    , firstService(runs, &aInjector)
    , secondService(runs, nullptr)
    , firstPeers(&aInjector)
    , secondPeers(nullptr)
    , key(claims::FormatClaimKey(aClock.WallNow(), 1, 2))
  {
    this->StartFirst();
    this->second = this->MakeBook(this->store, this->secondPeers, this->owner == Owner::kFirst);
    this->firstPeers.Connect(this->second.get());
  }

  std::vector<std::string> Run()
  {
    this->injector.OnPause([this] {
      this->secondPeers.Connect(nullptr);
      this->CallSecond("second, during the pause");
      this->secondPeers.Connect(this->first.get());
    });
    try {
      this->CallFirst("first");
    } catch (const harness::SimulatedCrash&) {
      this->secondPeers.Connect(nullptr);
      this->CallSecond("second, after the crash");
      this->StartFirst();
    }
    this->CallSecond("second");
    this->injector.Finish();
    this->first->Flush();
    this->CallSecond("second, again");
    this->CallFirst("first, again");
    return this->Check();
  }

private:
  std::unique_ptr<claims::ClaimBook> MakeBook(platform::Store& aStore,
                                              DirectPeers& aPeers,
                                              bool aHandsOver)
  {
    if (!this->withClaims) {
      return std::make_unique<NoClaims>();
    }
    claims::ClaimBookOptions options;
    options.commitInterval = std::chrono::milliseconds(0);
    options.flushInterval = std::chrono::milliseconds(0);
    const auto findOwner = [aHandsOver](std::uint64_t /*aBucket*/) {
      return aHandsOver ? std::optional(net::Address{ "127.0.0.1", 1 }) : std::nullopt;
    };
    return claims::MakeSegmentClaimBook(options, { aStore, this->clock, &aPeers, findOwner });
  }

  void StartFirst()
  {
    this->first =
      this->MakeBook(this->faultyStore, this->firstPeers, this->owner == Owner::kSecond);
    this->secondPeers.Connect(this->first.get());
  }

  void CallFirst(const std::string& aCall) { this->Call(*this->first, this->firstService, aCall); }
  void CallSecond(const std::string& aCall)
  {
    // A crash of the first instance while it answers the second is no crash of the second.
    try {
      this->Call(*this->second, this->secondService, aCall);
    } catch (const harness::SimulatedCrash&) {
      this->StartFirst();
    }
  }

  void Call(claims::ClaimBook& aBook, targets::ServiceClient& aService, const std::string& aCall)
  {
    targets::ServiceCall call;
    call.request = core::RequestId(aCall);
    call.key = this->key;
    const auto result =
      requests::CallAtMostOnce({ aBook, aService, this->clock }, {}, kPayments, call);
    const bool alone = core::IsError(result.reply.status(), claims::errors::kStoreUnavailable);
    this->told.push_back(
      { aCall, result.outcome, alone, result.reply.ok() ? result.reply->body : "" });
  }

  std::vector<std::string> Check()
  {
    std::vector<std::string> violations;
    const int total = this->runs.byKey[this->key.Text()];
    if (total > 1) {
      violations.push_back("the key ran " + std::to_string(total) + " times");
    }
    for (const Told& line : this->told) {
      const int runsOfIt = line.saysThisCallAlone ? this->runs.byCall[line.call] : total;
      if (line.outcome == core::Outcome::kNotRun && runsOfIt != 0) {
        violations.push_back(line.call + " was told not_run, but it ran");
      }
      if (line.outcome == core::Outcome::kRan && total != 1) {
        violations.push_back(line.call + " was told that it ran, but it did not");
      }
      if (!line.body.empty() && line.body != this->told.back().body) {
        violations.push_back(line.call + " got an answer that later calls do not get");
      }
    }
    return violations;
  }

  core::ManualClock& clock;
  harness::FaultInjector& injector;
  Owner owner;
  bool withClaims;
  fakes::MemoryStore store;
  harness::FaultyStore faultyStore;
  RunCounts runs;
  CountingService firstService;
  CountingService secondService;
  DirectPeers firstPeers;
  DirectPeers secondPeers;
  core::IdempotencyKey key;
  std::unique_ptr<claims::ClaimBook> first;
  std::unique_ptr<claims::ClaimBook> second;
  std::vector<Told> told;
};

harness::Scenario
SameKeyTwice(Owner aOwner, bool aClaims = true)
{
  return [aOwner, aClaims](core::ManualClock& aClock, harness::FaultInjector& aInjector) {
    return TwoInstances(aClock, aInjector, aOwner, aClaims).Run();
  };
}

} // namespace

TEST_CASE("a key runs at most once, and not_run is true, under every fault at every step")
{
  SUBCASE("where the first instance owns the bucket")
  {
    CHECK(harness::RunFaultMatrix("claim by the owner", SameKeyTwice(Owner::kFirst)).red.empty());
    CHECK(harness::RunFaultPairs("claim by the owner", 1, 500, SameKeyTwice(Owner::kFirst))
            .red.empty());
  }

  SUBCASE("where the first instance hands its claim to the owner")
  {
    CHECK(
      harness::RunFaultMatrix("claim through a peer", SameKeyTwice(Owner::kSecond)).red.empty());
    CHECK(harness::RunFaultPairs("claim through a peer", 2, 500, SameKeyTwice(Owner::kSecond))
            .red.empty());
  }
}

TEST_CASE("the check of runs goes red when claims are switched off")
{
  CHECK_FALSE(
    harness::RunFaultPairs("no claims", 1, 0, SameKeyTwice(Owner::kFirst, false)).red.empty());
}
