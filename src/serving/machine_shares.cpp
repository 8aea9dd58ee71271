#include <plantainslip/serving/machine_shares.hpp>

#include <algorithm>

#include <plantainslip/serving/errors.hpp>

namespace plantainslip::serving {

namespace {

/// Share of the memory for callers and targets. The rest is for the process itself, the directory
/// and the load of the fleet, copies while a body grows, and the allocator's losses.
constexpr double kTrafficShare = 0.4;
constexpr double kControlShare = 0.1;
/// Enough for one answer of the store of the largest size in the smallest share.
constexpr std::uint64_t kMinMemoryBytes = 64'000'000;
/// An idle connection with its coroutines, and the part of the budget that all of them may take.
constexpr std::uint64_t kConnectionBytes = 16'384;
constexpr std::uint64_t kConnectionsPart = 4;

/// Descriptors that the platform reserves for files, and those for listening, peers and the store.
constexpr std::uint64_t kFileDescriptors = 200;
constexpr std::uint64_t kOwnDescriptors = 32;
constexpr std::uint64_t kMinConnections = 32;
/// Each request in service needs a connection of its caller and one to a target.
constexpr double kCallersShare = 0.42;
constexpr double kInternalShare = 0.05;

std::uint64_t
Share(std::uint64_t aTotal, double aShare)
{
  return static_cast<std::uint64_t>(static_cast<double>(aTotal) * aShare);
}

} // namespace

absl::StatusOr<MachineShares>
DivideMachine(std::uint64_t aMemoryBytes, std::uint64_t aMaxDescriptors)
{
  MachineShares shares;
  if (aMemoryBytes > 0) {
    if (aMemoryBytes < kMinMemoryBytes) {
      return core::MakeError(errors::kBadSettings, "field /limits/memoryMb is less than 64");
    }
    shares.trafficBytes = Share(aMemoryBytes, kTrafficShare);
    shares.controlBytes = Share(aMemoryBytes, kControlShare);
    shares.callers = shares.trafficBytes / kConnectionsPart / kConnectionBytes;
  }
  if (aMaxDescriptors > 0) {
    if (aMaxDescriptors < kFileDescriptors + kOwnDescriptors + kMinConnections) {
      return core::MakeError(errors::kBadSettings, "field /limits/maxFds is less than 264");
    }
    const std::uint64_t connections = aMaxDescriptors - kFileDescriptors - kOwnDescriptors;
    shares.targets = Share(connections, kCallersShare);
    shares.callers =
      shares.callers == 0 ? shares.targets : std::min(shares.callers, shares.targets);
    constexpr std::uint64_t kMinInternal = 2;
    shares.internal = std::max(kMinInternal, Share(connections, kInternalShare));
  }
  return shares;
}

} // namespace plantainslip::serving
