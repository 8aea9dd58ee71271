#pragma once

#include <cstddef>
#include <cstdint>

#include <absl/status/statusor.h>

namespace plantainslip::serving {

/// @brief Parts of a machine's memory and descriptors; zero for no limit.
struct MachineShares
{
  /// @brief Bytes held for callers and targets, and for peers and the store.
  std::uint64_t trafficBytes = 0;
  std::uint64_t controlBytes = 0;
  /// @brief Max connections of callers, and connections to targets from which idle ones are closed.
  std::size_t callers = 0;
  std::size_t targets = 0;
  /// @brief Max connections to each of the readiness, metrics and peers' addresses.
  std::size_t internal = 0;
};

/// @brief Divides a machine's memory and descriptors. Pure.
/// @param aMemoryBytes  memory of the process; zero if unknown
/// @param aMaxDescriptors  descriptors of the process; zero if unknown
/// @return the shares, or error 1604 (wire.bad_settings) if there is too little to serve with
absl::StatusOr<MachineShares>
DivideMachine(std::uint64_t aMemoryBytes, std::uint64_t aMaxDescriptors);

} // namespace plantainslip::serving
