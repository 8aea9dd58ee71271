#pragma once

#include <cstdint>

#include <plantainslip/core/ids.hpp>

namespace plantainslip::routing {

/// @brief Gives a target's weight for a key by rendezvous hashing; the greatest weight wins.
///
/// When a target goes, its keys spread over all the others, and no other key moves.
/// @return the same weight in every process; linear in the length of the target's name
std::uint64_t
RendezvousWeight(const core::TargetId& aTarget, std::uint64_t aKey);

} // namespace plantainslip::routing
