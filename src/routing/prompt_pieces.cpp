#include <plantainslip/routing/prompt_pieces.hpp>

#include <xxhash.h>

namespace plantainslip::routing {

std::vector<std::uint64_t>
HashPieces(const CacheScope& aScope, const std::string& aPrompt)
{
  // Names contain no newlines, so different scopes cannot produce the same text.
  const std::string scope = aScope.model + "\n" + aScope.version + "\n" + aScope.adapter;
  std::uint64_t hash = XXH64(scope.data(), scope.size(), 0);
  std::vector<std::uint64_t> hashes;
  hashes.reserve(aPrompt.size() / kPieceBytes);
  for (std::size_t begin = 0; begin + kPieceBytes <= aPrompt.size(); begin += kPieceBytes) {
    hash = XXH64(aPrompt.data() + begin, kPieceBytes, hash);
    hashes.push_back(hash);
  }
  return hashes;
}

core::TokenCount
EstimateTokens(const std::string& aPrompt)
{
  return core::TokenCount((aPrompt.size() + kBytesPerToken - 1) / kBytesPerToken);
}

} // namespace plantainslip::routing
