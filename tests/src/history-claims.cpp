#include <doctest/doctest.h>

#include <atomic>
#include <thread>

#include <fakes/memory_store.hpp>

#include <plantainslip/claims/claim_book.hpp>
#include <plantainslip/claims/claim_key.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

namespace {

constexpr std::uint64_t kKeys = 200;
constexpr std::size_t kInstances = 4;

} // namespace

TEST_CASE(
  "each key is granted at most once when several instances claim the same keys concurrently")
{
  const core::SystemClock clock;
  fakes::MemoryStore store(clock);
  const core::WallTime now = clock.WallNow();
  std::vector<std::atomic<int>> granted(kKeys);
  std::vector<std::unique_ptr<claims::ClaimBook>> books;
  claims::ClaimBookOptions options;
  options.layout.buckets = 2;
  options.commitInterval = std::chrono::milliseconds(0);
  options.flushInterval = std::chrono::milliseconds(0);
  for (std::size_t instance = 0; instance < kInstances; ++instance) {
    // Without peers, every instance treats itself as the owner of every bucket.
    books.push_back(claims::MakeSegmentClaimBook(options, { store, clock, nullptr, {} }));
  }
  std::vector<std::jthread> callers;
  for (std::size_t caller = 0; caller < 2 * kInstances; ++caller) {
    callers.emplace_back([&, caller] {
      for (std::uint64_t number = 0; number < kKeys; ++number) {
        const core::RequestId attempt(std::to_string(caller) + "/" + std::to_string(number));
        const auto claim =
          books[caller % kInstances]->Claim(claims::FormatClaimKey(now, 0, number), attempt, "fee");
        granted[number] += claim.ok() && claim->granted ? 1 : 0;
      }
    });
  }
  callers.clear();
  int grantedTwice = 0;
  int totalGranted = 0;
  for (const std::atomic<int>& count : granted) {
    grantedTwice += count > 1 ? 1 : 0;
    totalGranted += count;
  }
  CHECK(grantedTwice == 0);
  // A caller whose write conflicts eight times in a row is refused, and that key may then be
  // granted to no caller.
  CHECK(totalGranted > 0);
}
