#include <plantainslip/claims/bucket_owner.hpp>

#include <string>

#include <xxhash.h>

namespace plantainslip::claims {

namespace {

std::uint64_t
WeightOf(std::uint64_t aBucket, const core::InstanceId& aInstance)
{
  return XXH64(aInstance.Text().data(), aInstance.Text().size(), aBucket);
}

} // namespace

std::optional<net::Address>
FindBucketOwner(std::uint64_t aBucket,
                const core::InstanceId& aSelf,
                const std::vector<control::EntryView>& aEntries)
{
  std::optional<net::Address> owner;
  std::uint64_t highest = WeightOf(aBucket, aSelf);
  for (const control::EntryView& entry : aEntries) {
    const bool eligible = entry.alive && !entry.leaving && entry.peerAddress.port != 0;
    if (!eligible || entry.instance == aSelf) {
      continue;
    }
    const std::uint64_t weight = WeightOf(aBucket, entry.instance);
    if (weight > highest) {
      highest = weight;
      owner = entry.peerAddress;
    }
  }
  return owner;
}

} // namespace plantainslip::claims
