#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::control {

/// @brief Compact form of one engine's load, exchanged between the instances of a zone.
struct LoadRecord
{
  /// @brief Hash of the engine's name, see HashTarget().
  std::uint32_t target = 0;
  /// @brief Hash of the properties that only an order changes, see HashIdentity(); 0 if the engine
  ///        is unreachable.
  std::uint16_t identity = 0;
  /// @brief Age of the engine's report, in steps of 100 ms; saturates at 25.5 s on the wire.
  std::chrono::milliseconds age{ 0 };
  std::uint16_t running = 0;
  std::uint16_t queued = 0;
  /// @brief Prompt tokens queued for prefill; saturates at 2^24 - 1 on the wire.
  std::uint32_t queuedPrefill = 0;
};

/// @brief Size of one record on the wire.
inline constexpr std::size_t kLoadRecordBytes = 14;

/// @brief Returns the hash that identifies an engine. Linear in the name's length; no errors.
std::uint32_t
HashTarget(const core::TargetId& aTarget);

/// @brief Returns the hash of a report's role, model, version, adapters, last order, highest
///        fencing token and change state. Linear in the length of the strings; no errors.
/// @return the hash; never 0
std::uint16_t
HashIdentity(const targets::EngineReport& aReport);

/// @brief Serializes records. Linear in their number; no errors.
/// @return #kLoadRecordBytes bytes per record
std::string
FormatLoadRecords(const std::vector<LoadRecord>& aRecords);

/// @brief Parses serialized records. Linear in their number.
/// @return the records, or error 1101 (control.bad_message) if the length is not a multiple of
///         #kLoadRecordBytes
absl::StatusOr<std::vector<LoadRecord>>
ParseLoadRecords(const std::string& aBody);

} // namespace plantainslip::control
