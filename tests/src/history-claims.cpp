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

TEST_CASE("of instances that claim the same keys at the same moment, one is granted each key")
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
    // All take themselves for the owner of every bucket.
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
  int twice = 0;
  int total = 0;
  for (const std::atomic<int>& count : granted) {
    twice += count > 1 ? 1 : 0;
    total += count;
  }
  CHECK(twice == 0);
  // A caller that loses eight races in a row is refused, and its key is then granted to nobody.
  CHECK(total > 0);
}
