#pragma once

#include <cstdint>
#include <string>

#include <xxhash.h>

namespace plantainslip::fakes {

/// @brief Gives the token that every fake engine produces at a position.
/// @param aModel  model and version
/// @param aPrompt  the whole prompt
/// @param aOffset  position in the answer
/// @return a short word; the same wherever and whenever it is asked for
inline std::string
ExpectedToken(const std::string& aModel, const std::string& aPrompt, std::uint64_t aOffset)
{
  constexpr std::uint64_t kWords = 100'000;
  const std::uint64_t seed = XXH64(aModel.data(), aModel.size(), aOffset);
  const std::uint64_t word = XXH64(aPrompt.data(), aPrompt.size(), seed) % kWords;
  return "w" + std::to_string(word) + " ";
}

/// @brief Gives the whole answer that fake engines produce.
inline std::string
ExpectedAnswer(const std::string& aModel, const std::string& aPrompt, std::uint64_t aTokens)
{
  std::string answer;
  for (std::uint64_t offset = 0; offset < aTokens; ++offset) {
    answer += ExpectedToken(aModel, aPrompt, offset);
  }
  return answer;
}

} // namespace plantainslip::fakes
