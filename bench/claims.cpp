// Store writes a second against payments a second, with and without group commit.
//
// Nine books stand for nine entry instances; each payment claims its key and records its end. The
// store is in memory and takes 3 ms for a call. Seed 1 decides which instance gets a payment.

#include <atomic>
#include <cstdio>
#include <memory>
#include <thread>
#include <vector>

#include <fakes/forwarding_store.hpp>
#include <fakes/memory_store.hpp>

#include <plantainslip/claims/claim_book.hpp>
#include <plantainslip/claims/claim_key.hpp>
#include <plantainslip/claims/errors.hpp>
#include <plantainslip/core/random.hpp>
#include <plantainslip/observe/latency_histogram.hpp>
#include <plantainslip/peers/errors.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

namespace {

constexpr std::uint64_t kSeed = 1;
constexpr std::size_t kInstances = 9;
constexpr std::size_t kWorkers = 480;
constexpr std::chrono::milliseconds kStoreDelay{ 3 };
constexpr std::chrono::milliseconds kServiceDelay{ 20 };
constexpr std::chrono::seconds kDuration{ 5 };

// Adds the platform's answering time, and counts bytes written.
class SlowStore final : public fakes::ForwardingStore
{
public:
  using ForwardingStore::ForwardingStore;

  absl::StatusOr<std::optional<platform::StoredValue>> Get(const std::string& aKey) override
  {
    ++this->reads;
    std::this_thread::sleep_for(kStoreDelay);
    return this->store.Get(aKey);
  }

  absl::StatusOr<core::Revision> CompareAndSwap(const std::string& aKey,
                                                core::Revision aExpected,
                                                const std::string& aValue) override
  {
    ++this->writes;
    this->bytes += aValue.size();
    std::this_thread::sleep_for(kStoreDelay);
    return this->store.CompareAndSwap(aKey, aExpected, aValue);
  }

  std::atomic<std::uint64_t> reads = 0;
  std::atomic<std::uint64_t> writes = 0;
  std::atomic<std::uint64_t> bytes = 0;
};

// Hands messages to the book of the instance whose number is the port.
class LocalPeers final : public peers::PeerClient
{
public:
  absl::StatusOr<std::string> Call(const net::Address& aPeer,
                                   const std::string& /*aKind*/,
                                   const std::string& aBody,
                                   std::chrono::milliseconds /*aTimeout*/) override
  {
    return this->books[aPeer.port]->HandleCommit(aBody);
  }
  absl::StatusOr<std::unique_ptr<peers::PeerStream>> OpenStream(
    const net::Address& /*aPeer*/,
    const std::string& /*aKind*/,
    const std::string& /*aBody*/,
    std::chrono::milliseconds /*aTimeout*/) override
  {
    return core::MakeError(peers::errors::kRefused, "no streams");
  }

  std::vector<std::unique_ptr<claims::ClaimBook>> books;
};

enum class Way
{
  kGroupCommit,
  kOneValueEach,
};

struct Row
{
  std::uint64_t payments = 0;
  std::uint64_t refused = 0;
  std::uint64_t claimUs = 0;
};

// One value of the store for each key: a write for the claim and one for the end.
bool
PayBySingleValue(platform::Store& aStore, const core::IdempotencyKey& aKey)
{
  const auto claimed = aStore.CompareAndSwap("claims/" + aKey.Text(), {}, std::string(120, 'c'));
  std::this_thread::sleep_for(kServiceDelay);
  return claimed.ok() &&
         aStore.CompareAndSwap("claims/" + aKey.Text(), *claimed, std::string(200, 'c')).ok();
}

bool
PayByBook(claims::ClaimBook& aBook,
          const core::IdempotencyKey& aKey,
          std::atomic<std::uint64_t>& aClaimUs)
{
  const core::RequestId attempt(core::MakeUniqueName());
  const auto begun = std::chrono::steady_clock::now();
  const auto claim = aBook.Claim(aKey, attempt, "1234567890123456789");
  aClaimUs += static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - begun)
      .count());
  if (!claim.ok() || !claim->granted) {
    return false;
  }
  std::this_thread::sleep_for(kServiceDelay);
  const claims::RecordedOutcome paid{ core::Outcome::kRan, 200, std::string(100, 'p'), true };
  return aBook.Record(aKey, attempt, "1234567890123456789", paid).ok();
}

Row
Drive(Way aWay, std::uint64_t aRate, SlowStore& aStore, LocalPeers& aPeers)
{
  const core::SystemClock clock;
  std::atomic<std::uint64_t> next = 0;
  std::atomic<std::uint64_t> refused = 0;
  std::atomic<std::uint64_t> claimUs = 0;
  const std::uint64_t total = aRate * static_cast<std::uint64_t>(kDuration.count());
  const auto begun = std::chrono::steady_clock::now();
  {
    std::vector<std::jthread> workers;
    for (std::size_t worker = 0; worker < kWorkers; ++worker) {
      workers.emplace_back([&] {
        for (std::uint64_t number = next++; number < total; number = next++) {
          std::this_thread::sleep_until(begun +
                                        std::chrono::microseconds(number * 1'000'000 / aRate));
          core::RandomSource random(kSeed + number);
          const std::size_t instance = random.Below(kInstances);
          const auto key = claims::FormatClaimKey(clock.WallNow(), number, core::MakeSeed());
          const bool paid = aWay == Way::kGroupCommit
                              ? PayByBook(*aPeers.books[instance], key, claimUs)
                              : PayBySingleValue(aStore, key);
          refused += paid ? 0 : 1;
        }
      });
    }
  }
  return { total, refused, claimUs / total };
}

void
RunRow(Way aWay, std::uint64_t aRate)
{
  const core::SystemClock clock;
  fakes::MemoryStore memory(clock);
  SlowStore store(memory);
  LocalPeers peers;
  const claims::ClaimBookOptions options;
  for (std::size_t instance = 0; instance < kInstances; ++instance) {
    const auto findOwner = [instance](std::uint64_t aBucket) {
      const auto owner = static_cast<std::uint16_t>(aBucket % kInstances);
      return owner == instance ? std::nullopt : std::optional(net::Address{ "127.0.0.1", owner });
    };
    peers.books.push_back(
      claims::MakeSegmentClaimBook(options, { store, clock, &peers, findOwner }));
  }
  const Row row = Drive(aWay, aRate, store, peers);
  const double seconds = static_cast<double>(kDuration.count());
  std::printf("%-14s %10llu %12.1f %12.1f %12.1f %10llu %12.1f\n",
              aWay == Way::kGroupCommit ? "group commit" : "one value each",
              static_cast<unsigned long long>(aRate),
              static_cast<double>(store.writes) / seconds,
              static_cast<double>(store.reads) / seconds,
              static_cast<double>(store.bytes) / seconds / 1000.0,
              static_cast<unsigned long long>(row.refused),
              static_cast<double>(row.claimUs) / 1000.0);
  std::fflush(stdout);
}

} // namespace

int
main()
{
  std::printf("seed %llu, %zu instances, store call 3 ms, service call 20 ms, %lld s a row\n",
              static_cast<unsigned long long>(kSeed),
              kInstances,
              static_cast<long long>(kDuration.count()));
  std::printf("%-14s %10s %12s %12s %12s %10s %12s\n",
              "way",
              "payments/s",
              "writes/s",
              "reads/s",
              "kB/s",
              "refused",
              "claim, ms");
  for (const Way way : { Way::kOneValueEach, Way::kGroupCommit }) {
    for (const std::uint64_t rate : { 10U, 30U, 100U, 300U, 1000U }) {
      RunRow(way, rate);
    }
  }
  return 0;
}
