#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <plantainslip/core/ids.hpp>

namespace plantainslip::routing {

/// @brief Tokens of one piece of an engine's prefix cache.
inline constexpr std::uint64_t kPieceTokens = 2000;
/// @brief Bytes of text that are taken for one token.
inline constexpr std::uint64_t kBytesPerToken = 4;
/// @brief Bytes of one piece.
inline constexpr std::uint64_t kPieceBytes = kPieceTokens * kBytesPerToken;

/// @brief What an engine's cached pieces depend on. Pieces of different models never match.
struct PromptSource
{
  std::string model;
  std::string version;
  std::string adapter;
};

/// @brief Hashes the whole pieces of a prompt; each hash covers all pieces before it as well.
/// @return hashes as engines publish them, first piece first; the rest below one piece has none.
///         Linear in the prompt's length; no errors.
std::vector<std::uint64_t>
HashPieces(const PromptSource& aSource, const std::string& aPrompt);

/// @brief Estimates a prompt's length in tokens. Constant time; no errors.
core::TokenCount
EstimateTokens(const std::string& aPrompt);

} // namespace plantainslip::routing
