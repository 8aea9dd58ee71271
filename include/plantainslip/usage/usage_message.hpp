#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/usage/window.hpp>

namespace plantainslip::usage {

/// @brief One process of an instance; a restarted instance is another one.
struct Process
{
  core::InstanceId instance;
  /// @brief Time of day at its start in Unix milliseconds; only tells processes apart.
  std::uint64_t startedAt = 0;

  auto operator<=>(const Process&) const = default;
};

/// @brief Counts of one process, in one datagram or in a part of several.
struct CountsMessage
{
  /// @brief Process whose counts these are, and the instance that sends them.
  Process process;
  core::InstanceId sender;
  /// @brief What the sender's clock shows, and for how long the process has been running.
  core::WallTime wallNow;
  milliseconds uptime{ 0 };
  /// @brief First window whose counts may still change.
  Window completeBefore;
  /// @brief Sum of the process's counts by window, over all parts.
  std::map<Window, std::uint64_t> totals;
  /// @brief Totals since the window's beginning; a part of the workspaces.
  WindowCounts counts;
};

/// @brief What the lease holder and the standby collectors tell the instances in return.
struct ProgressMessage
{
  core::InstanceId sender;
  FleetTime now{ 0 };
  /// @brief First window that is neither reported nor given up.
  Window doneBefore;
  /// @brief First window without a written report, and the store's era of the last report.
  Window writtenBefore;
  std::uint64_t era = 0;
};

/// @brief Encodes the counts of a process. Linear in their number.
/// @param aMessage  all counts of the process
/// @return as many datagrams as needed, each below the size of a network packet
std::vector<std::string>
EncodeCounts(const CountsMessage& aMessage);

std::string
EncodeProgress(const ProgressMessage& aMessage);

/// @brief Returns whether a datagram is one of these messages; peer messages are not.
bool
IsUsageMessage(std::string_view aBytes);

/// @brief Decoded datagram: one of the two.
struct UsageMessage
{
  std::optional<CountsMessage> counts;
  std::optional<ProgressMessage> progress;
};

/// @brief Decodes a datagram. Linear in its size.
/// @return the message, or error 1503 (serving.bad_answer)
absl::StatusOr<UsageMessage>
DecodeUsageMessage(std::string_view aBytes);

} // namespace plantainslip::usage
