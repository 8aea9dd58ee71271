#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <plantainslip/serving/request_digest.hpp>
#include <plantainslip/serving/target_protocol.hpp>

namespace plantainslip::serving {

/// @brief Something that requests have in common: a part of their prompts, or that they are
///        attempts of one request.
class Trait
{
public:
  /// @brief Returns the trait of prompts with a part.
  static constexpr Trait OfPart(std::uint64_t aPartId) { return Trait(aPartId & ~kRequestBit); }

  /// @brief Returns the trait of the attempts of one request.
  static constexpr Trait OfRequest(RequestDigest aDigest)
  {
    return Trait(aDigest.Number() | kRequestBit);
  }

  /// @brief Returns the trait with a number, as peers send it.
  static constexpr Trait FromNumber(std::uint64_t aNumber) { return Trait(aNumber); }

  constexpr std::uint64_t Number() const { return this->number; }

  /// @brief Returns whether only the attempts of one request have the trait.
  constexpr bool IsOfRequest() const { return (this->number & kRequestBit) != 0; }

  constexpr auto operator<=>(const Trait&) const = default;

private:
  static constexpr std::uint64_t kRequestBit = std::uint64_t{ 1 } << 63U;

  constexpr explicit Trait(std::uint64_t aNumber)
    : number(aNumber)
  {
  }

  std::uint64_t number;
};

/// @brief Traits, sorted, without duplicates.
using TraitSet = std::vector<Trait>;

/// @brief Returns the traits of a request: its digest, and the parts of its prompt but for the last
///        one, which belongs to the request itself. Log-linear in the number of parts.
TraitSet
TraitsOf(RequestDigest aDigest, const std::optional<PromptInfo>& aPrompt);

/// @brief Formats traits for the log, as hexadecimal numbers.
std::string
FormatTraits(const TraitSet& aTraits);

} // namespace plantainslip::serving
