#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the membership layer, numbers 970 to 999.
namespace plantainslip::membership::errors {

/// @brief A datagram cannot be parsed or is not signed with the peers' key. Example: another system
///        sends to the port.
inline constexpr core::ErrorDescription kBadDatagram{ 971,
                                                      "membership.bad_datagram",
                                                      absl::StatusCode::kInvalidArgument };
/// @brief The UDP port cannot be opened. Example: another process uses it.
inline constexpr core::ErrorDescription kCannotListen{ 972,
                                                       "membership.cannot_listen",
                                                       absl::StatusCode::kUnavailable };

} // namespace plantainslip::membership::errors
