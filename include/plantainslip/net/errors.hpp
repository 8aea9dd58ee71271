#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the HTTP layer, numbers 200 to 299.
namespace plantainslip::net::errors {

/// @brief An address is not of the form `a.b.c.d:port`. Example: `127.0.0.1` without a port.
inline constexpr core::ErrorDescription kBadAddress{ 201,
                                                     "net.bad_address",
                                                     absl::StatusCode::kInvalidArgument };
/// @brief The connection failed, so no byte was sent. Example: the port has no listener.
inline constexpr core::ErrorDescription kNotConnected{ 202,
                                                       "net.not_connected",
                                                       absl::StatusCode::kUnavailable };
/// @brief Bytes were sent, but no complete answer arrived. Example: the peer closed early.
inline constexpr core::ErrorDescription kNoAnswer{ 203,
                                                   "net.no_answer",
                                                   absl::StatusCode::kDeadlineExceeded };
/// @brief A body exceeds its size limit. Example: a prompt that is too long.
inline constexpr core::ErrorDescription kBodyTooLarge{ 204,
                                                       "net.body_too_large",
                                                       absl::StatusCode::kOutOfRange };
/// @brief The body ended early or timed out. Example: a caller disconnected during upload.
inline constexpr core::ErrorDescription kBodyTruncated{ 205,
                                                        "net.body_truncated",
                                                        absl::StatusCode::kDataLoss };
/// @brief The server's sockets could not be opened. Example: the port is in use.
inline constexpr core::ErrorDescription kCannotListen{ 206,
                                                       "net.cannot_listen",
                                                       absl::StatusCode::kUnavailable };

} // namespace plantainslip::net::errors
