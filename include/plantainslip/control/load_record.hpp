#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::control {

/// @brief One engine's load, as small as instances of a zone tell it to each other.
struct LoadRecord
{
  /// @brief Hash of the engine's name.
  std::uint32_t target = 0;
  /// @brief Hash of all that changes only by an order; 0 says that the engine cannot be reached.
  std::uint16_t identity = 0;
  /// @brief Time since the engine gave the report; steps of 100 ms, at most 25.5 s.
  std::chrono::milliseconds age{ 0 };
  std::uint16_t running = 0;
  std::uint16_t queued = 0;
  /// @brief Prompt tokens that wait for prefill; saturates at 2^24 - 1.
  std::uint32_t queuedPrefill = 0;
};

/// @brief Bytes of one record on the wire.
inline constexpr std::size_t kLoadRecordBytes = 14;

/// @brief Gives the hash that stands for an engine. Linear in the name's length; no errors.
std::uint32_t
HashTarget(const core::TargetId& aTarget);

/// @brief Gives the hash of a report's role, model, version, adapters, orders and change.
/// @return never 0. Linear in the texts' length; no errors.
std::uint16_t
HashIdentity(const targets::EngineReport& aReport);

/// @brief Writes records. Linear in their number; no errors.
/// @return #kLoadRecordBytes for each
std::string
FormatLoadRecords(const std::vector<LoadRecord>& aRecords);

/// @brief Reads records. Linear in their number.
/// @return the records, or error 1101 (control.bad_message) if the length fits no number of them
absl::StatusOr<std::vector<LoadRecord>>
ParseLoadRecords(const std::string& aBody);

} // namespace plantainslip::control
