#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the peer layer, numbers 900 to 949.
namespace plantainslip::peers::errors {

/// @brief No byte of the message reached the peer. Example: the peer's process is gone.
inline constexpr core::ErrorDescription kUnreachable{ 901,
                                                      "peers.unreachable",
                                                      absl::StatusCode::kUnavailable };
/// @brief The message was sent but no complete answer arrived. Example: the peer was killed.
inline constexpr core::ErrorDescription kLost{ 902, "peers.lost", absl::StatusCode::kUnknown };
/// @brief The peer refused the message. Example: it has no handler for the kind.
inline constexpr core::ErrorDescription kRefused{ 903,
                                                  "peers.refused",
                                                  absl::StatusCode::kFailedPrecondition };
/// @brief The shared key between peers is wrong or missing.
inline constexpr core::ErrorDescription kNotAuthorized{ 904,
                                                        "peers.not_authorized",
                                                        absl::StatusCode::kUnauthenticated };
/// @brief A message cannot be read. Example: truncated CBOR.
inline constexpr core::ErrorDescription kBadMessage{ 905,
                                                     "peers.bad_message",
                                                     absl::StatusCode::kInvalidArgument };
/// @brief The port for peers could not be opened.
inline constexpr core::ErrorDescription kCannotListen{ 906,
                                                       "peers.cannot_listen",
                                                       absl::StatusCode::kUnavailable };

} // namespace plantainslip::peers::errors
