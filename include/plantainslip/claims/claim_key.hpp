#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>

namespace plantainslip::claims {

/// @brief A parsed `Idempotency-Key`: a version 7 UUID, which contains its creation time.
struct ClaimKey
{
  /// @brief The UUID in lower case, so that upper and lower case spellings are the same key.
  std::string text;
  core::WallTime createdAt;

  /// @brief Compares all fields.
  bool operator==(const ClaimKey&) const = default;
};

/// @brief Range of creation times for which keys are accepted.
struct KeyWindow
{
  /// @brief Maximum age of a key; claims of older keys may already be overwritten in the store.
  std::chrono::seconds retention = std::chrono::hours(24);
  /// @brief Maximum time by which a caller's clock may be ahead.
  std::chrono::seconds maxClockSkew = std::chrono::seconds(60);
};

/// @brief Parses a key.
/// @return the key, or error 653 (claims.bad_key); constant time
absl::StatusOr<ClaimKey>
ParseClaimKey(const core::IdempotencyKey& aKey);

/// @brief Checks that a key's creation time lies within the window.
/// @return OK, or error 654 (claims.key_too_old) or 655 (claims.key_from_future); constant time
absl::Status
CheckAge(const ClaimKey& aKey, const KeyWindow& aWindow, core::WallTime aNow);

/// @brief Formats a key in the way callers do.
/// @param aCreatedAt  creation time, truncated to milliseconds
/// @param aRandomHigh  12 random bits
/// @param aRandomLow  62 random bits
/// @return a version 7 UUID in lower case; constant time
core::IdempotencyKey
FormatClaimKey(core::WallTime aCreatedAt, std::uint64_t aRandomHigh, std::uint64_t aRandomLow);

} // namespace plantainslip::claims
