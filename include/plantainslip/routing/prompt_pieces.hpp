#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <plantainslip/core/ids.hpp>

namespace plantainslip::routing {

/// @brief Size of one piece, the unit of an engine's prefix cache, in tokens.
inline constexpr std::uint64_t kPieceTokens = 2000;
/// @brief Assumed mean length of a token in bytes of text.
inline constexpr std::uint64_t kBytesPerToken = 4;
/// @brief Size of one piece in bytes.
inline constexpr std::uint64_t kPieceBytes = kPieceTokens * kBytesPerToken;

/// @brief Scope of cached pieces: those of different models, versions or adapters never match.
struct CacheScope
{
  std::string model;
  std::string version;
  std::string adapter;
};

/// @brief Computes chained hashes of a prompt's pieces: each hash also covers all earlier pieces.
/// @return the hashes in prompt order, equal to those in the engines' cache events; an incomplete
///         last piece is not hashed. Linear in the prompt's length; no errors.
std::vector<std::uint64_t>
HashPieces(const CacheScope& aScope, const std::string& aPrompt);

/// @brief Estimates the length of a prompt in tokens. Constant time; no errors.
core::TokenCount
EstimateTokens(const std::string& aPrompt);

} // namespace plantainslip::routing
