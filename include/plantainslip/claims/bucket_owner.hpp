#pragma once

#include <optional>
#include <vector>

#include <plantainslip/control/fleet_view.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/net/address.hpp>

namespace plantainslip::claims {

/// @brief Selects the instance that writes the claims of a bucket, by rendezvous hashing over the
///        listed instances that are alive, not leaving and reachable by peers. Instances with
///        different lists may select different owners; this costs extra writes to the store, but
///        every key is still granted at most once.
/// @param aBucket  the bucket
/// @param aSelf  this instance
/// @param aEntries  all known entry instances
/// @return the owner's address for peers, or nothing if this instance is the owner; linear in the
///         number of instances
std::optional<net::Address>
FindBucketOwner(std::uint64_t aBucket,
                const core::InstanceId& aSelf,
                const std::vector<control::EntryView>& aEntries);

} // namespace plantainslip::claims
