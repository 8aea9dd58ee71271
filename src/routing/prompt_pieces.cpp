#include <plantainslip/routing/prompt_pieces.hpp>

#include <xxhash.h>

namespace plantainslip::routing {

std::vector<std::uint64_t>
HashPieces(const PromptSource& aSource, const std::string& aPrompt)
{
  // Names hold no line ends, so different sources cannot give the same text.
  const std::string source = aSource.model + "\n" + aSource.version + "\n" + aSource.adapter;
  std::uint64_t chained = XXH64(source.data(), source.size(), 0);
  std::vector<std::uint64_t> hashes;
  hashes.reserve(aPrompt.size() / kPieceBytes);
  for (std::size_t begin = 0; begin + kPieceBytes <= aPrompt.size(); begin += kPieceBytes) {
    chained = XXH64(aPrompt.data() + begin, kPieceBytes, chained);
    hashes.push_back(chained);
  }
  return hashes;
}

core::TokenCount
EstimateTokens(const std::string& aPrompt)
{
  return core::TokenCount((aPrompt.size() + kBytesPerToken - 1) / kBytesPerToken);
}

} // namespace plantainslip::routing
