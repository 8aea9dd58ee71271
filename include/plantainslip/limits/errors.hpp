#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the limits layer, numbers 850 to 899.
namespace plantainslip::limits::errors {

/// @brief A message from a peer cannot be decoded. Example: truncated CBOR.
inline constexpr core::ErrorDescription kBadMessage{ 851,
                                                     "limits.bad_message",
                                                     absl::StatusCode::kInvalidArgument };
/// @brief The workspace's rate limit is exceeded. Example: the second request within a second at a
///        limit of one request per second.
inline constexpr core::ErrorDescription kLimited{ 852,
                                                  "limits.limited",
                                                  absl::StatusCode::kResourceExhausted };

} // namespace plantainslip::limits::errors
