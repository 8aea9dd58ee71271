#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>

namespace plantainslip::claims {

/// @brief An `Idempotency-Key` that was read: a version 7 UUID, which holds its creation time.
struct ClaimKey
{
  /// @brief The UUID in lower case, so that two spellings are one key.
  std::string text;
  core::WallTime createdAt;

  /// @brief Compares all fields.
  bool operator==(const ClaimKey&) const = default;
};

/// @brief Creation times of keys that are taken.
struct KeyWindow
{
  /// @brief Age from which on keys are refused, since their claims may be gone.
  std::chrono::seconds retention = std::chrono::hours(24);
  /// @brief How far a caller's clock may be ahead.
  std::chrono::seconds mostAhead = std::chrono::seconds(60);
};

/// @brief Reads a key.
/// @return the key, or error 653 (claims.bad_key); constant time
absl::StatusOr<ClaimKey>
ParseClaimKey(const core::IdempotencyKey& aKey);

/// @brief Checks that a key's time lies within the window.
/// @return OK, or error 654 (claims.key_too_old) or 655 (claims.key_from_future); constant time
absl::Status
CheckAge(const ClaimKey& aKey, const KeyWindow& aWindow, core::WallTime aNow);

/// @brief Makes the text of a key, as callers do.
/// @param aCreatedAt  creation time, kept to the millisecond
/// @param aRandomHigh  12 random bits
/// @param aRandomLow  62 random bits
/// @return a version 7 UUID in lower case; constant time
core::IdempotencyKey
FormatClaimKey(core::WallTime aCreatedAt, std::uint64_t aRandomHigh, std::uint64_t aRandomLow);

} // namespace plantainslip::claims
