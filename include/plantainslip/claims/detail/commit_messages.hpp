#pragma once

#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/claims/detail/group_commit.hpp>

namespace plantainslip::claims::detail {

/// @brief Encodes an operation as CBOR. Linear in its size.
std::string
EncodeOperation(const ClaimOperation& aOperation);

/// @brief Decodes an operation.
/// @return the operation, or error 653 (claims.bad_key) or 659 (claims.bad_message)
absl::StatusOr<ClaimOperation>
DecodeOperation(const std::string& aBody);

/// @brief Encodes the result of an operation as CBOR. Linear in its size.
std::string
EncodeResult(const CommitResult& aResult);

/// @brief Decodes the result of an operation.
/// @return the result, or error 659 (claims.bad_message)
absl::StatusOr<CommitResult>
DecodeResult(const std::string& aBody);

} // namespace plantainslip::claims::detail
