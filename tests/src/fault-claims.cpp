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

// Counts the runs at the service. The checker compares these counts with the callers' results.
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
      // A duplicated packet does not run the call twice: TCP delivers the bytes of a connection
      // once.
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

// Passes messages to another instance's claim book. A crashed or paused process is unreachable.
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

// Grants every claim, to check that the test finds the violations that claims prevent.
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

struct CallResult
{
  std::string call;
  core::Outcome outcome = core::Outcome::kUnknown;
  bool appliesToThisCallOnly = false;
  std::string body;
};

// Sends one key to two instances. The calls of the first instance go through the fault injector.
class TwoInstances
{
public:
  TwoInstances(core::ManualClock& aClock,
               harness::FaultInjector& aInjector,
               Owner aOwner,
               bool aClaimsEnabled)
    : clock(aClock)
    , injector(aInjector)
    , owner(aOwner)
    , claimsEnabled(aClaimsEnabled)
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
                                              bool aPeerOwnsBucket)
  {
    if (!this->claimsEnabled) {
      return std::make_unique<NoClaims>();
    }
    claims::ClaimBookOptions options;
    options.commitInterval = std::chrono::milliseconds(0);
    options.flushInterval = std::chrono::milliseconds(0);
    const auto findOwner = [aPeerOwnsBucket](std::uint64_t /*aBucket*/) {
      return aPeerOwnsBucket ? std::optional(net::Address{ "127.0.0.1", 1 }) : std::nullopt;
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
    // The first instance may crash while it handles a message from the second, which goes on
    // running.
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
    const bool thisCallOnly =
      core::IsError(result.reply.status(), claims::errors::kStoreUnavailable);
    this->results.push_back(
      { aCall, result.outcome, thisCallOnly, result.reply.ok() ? result.reply->body : "" });
  }

  std::vector<std::string> Check()
  {
    std::vector<std::string> violations;
    const int runCount = this->runs.byKey[this->key.Text()];
    if (runCount > 1) {
      violations.push_back("the key ran " + std::to_string(runCount) + " times");
    }
    for (const CallResult& result : this->results) {
      const int relevantRuns =
        result.appliesToThisCallOnly ? this->runs.byCall[result.call] : runCount;
      if (result.outcome == core::Outcome::kNotRun && relevantRuns != 0) {
        violations.push_back(result.call + " got outcome not_run, but it ran");
      }
      if (result.outcome == core::Outcome::kRan && runCount != 1) {
        violations.push_back(result.call + " got outcome ran, but it did not run exactly once");
      }
      if (!result.body.empty() && result.body != this->results.back().body) {
        violations.push_back(result.call + " got a different answer than the last call");
      }
    }
    return violations;
  }

  core::ManualClock& clock;
  harness::FaultInjector& injector;
  Owner owner;
  bool claimsEnabled;
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
  std::vector<CallResult> results;
};

harness::Scenario
SameKeyOnTwoInstances(Owner aOwner, bool aClaimsEnabled = true)
{
  return [aOwner, aClaimsEnabled](core::ManualClock& aClock, harness::FaultInjector& aInjector) {
    return TwoInstances(aClock, aInjector, aOwner, aClaimsEnabled).Run();
  };
}

} // namespace

TEST_CASE(
  "a key runs at most once, and every reported outcome is correct, under every fault at every step")
{
  SUBCASE("the first instance owns the bucket")
  {
    CHECK(harness::RunFaultMatrix("claim by the owner", SameKeyOnTwoInstances(Owner::kFirst))
            .red.empty());
    CHECK(harness::RunFaultPairs("claim by the owner", 1, 500, SameKeyOnTwoInstances(Owner::kFirst))
            .red.empty());
  }

  SUBCASE("the first instance sends its claim to the owner")
  {
    CHECK(harness::RunFaultMatrix("claim through a peer", SameKeyOnTwoInstances(Owner::kSecond))
            .red.empty());
    CHECK(
      harness::RunFaultPairs("claim through a peer", 2, 500, SameKeyOnTwoInstances(Owner::kSecond))
        .red.empty());
  }
}

TEST_CASE("the fault test finds violations when claims are disabled")
{
  CHECK_FALSE(harness::RunFaultPairs("no claims", 1, 0, SameKeyOnTwoInstances(Owner::kFirst, false))
                .red.empty());
}
