#pragma once

#include <cstdint>

#include <plantainslip/core/ids.hpp>

namespace plantainslip::routing {

/// @brief Returns the rendezvous hashing weight of a target for a key. A key belongs to the target
///        with the greatest weight.
///
/// When a target is removed, its keys are distributed over all other targets; other keys stay.
/// @return a weight that is the same in every process; linear in the length of the target's name
std::uint64_t
RendezvousWeight(const core::TargetId& aTarget, std::uint64_t aKey);

} // namespace plantainslip::routing
