#pragma once

#include <optional>
#include <vector>

#include <plantainslip/control/fleet_view.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/net/address.hpp>

namespace plantainslip::claims {

/// @brief Finds the instance that writes the claims of a bucket, by rendezvous hashing over the
///        listed instances that stay. Two instances with different lists may differ, which costs
///        writes but no promise.
/// @param aBucket  the bucket
/// @param aSelf  this instance
/// @param aEntries  all entry instances that are known
/// @return the owner's address for peers, or nothing if this instance is to write; linear in the
///         number of instances
std::optional<net::Address>
FindBucketOwner(std::uint64_t aBucket,
                const core::InstanceId& aSelf,
                const std::vector<control::EntryView>& aEntries);

} // namespace plantainslip::claims
