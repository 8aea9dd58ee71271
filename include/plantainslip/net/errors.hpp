#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the HTTP layer, numbers 200 to 299.
namespace plantainslip::net::errors {

/// @brief An address is not of the form `a.b.c.d:port`. Example: `127.0.0.1` without a port.
inline constexpr core::ErrorDescription kBadAddress{ 201,
                                                     "net.bad_address",
                                                     absl::StatusCode::kInvalidArgument };
/// @brief No connection, so no byte was sent. Example: the port has no listener.
inline constexpr core::ErrorDescription kNotConnected{ 202,
                                                       "net.not_connected",
                                                       absl::StatusCode::kUnavailable };
/// @brief Bytes were sent and no whole answer came. Example: the peer closes in mid-answer.
inline constexpr core::ErrorDescription kNoAnswer{ 203,
                                                   "net.no_answer",
                                                   absl::StatusCode::kDeadlineExceeded };
/// @brief A body is larger than its limit. Example: a prompt of more than the bytes allowed.
inline constexpr core::ErrorDescription kBodyTooLarge{ 204,
                                                       "net.body_too_large",
                                                       absl::StatusCode::kOutOfRange };
/// @brief The body ended before its stated length. Example: a caller that goes in mid-upload.
inline constexpr core::ErrorDescription kBodyTruncated{ 205,
                                                        "net.body_truncated",
                                                        absl::StatusCode::kDataLoss };
/// @brief The server's sockets could not be opened. Example: the port is in use.
inline constexpr core::ErrorDescription kCannotListen{ 206,
                                                       "net.cannot_listen",
                                                       absl::StatusCode::kUnavailable };

} // namespace plantainslip::net::errors
