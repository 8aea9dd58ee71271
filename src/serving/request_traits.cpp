#include <plantainslip/serving/request_traits.hpp>

#include <algorithm>

#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

namespace plantainslip::serving {

TraitSet
TraitsOf(RequestDigest aDigest, const std::optional<PromptInfo>& aPrompt)
{
  TraitSet traits = { Trait::OfRequest(aDigest) };
  if (aPrompt.has_value()) {
    for (std::size_t index = 0; index + 1 < aPrompt->parts.size(); ++index) {
      traits.push_back(Trait::OfPart(aPrompt->parts[index].id));
    }
  }
  std::sort(traits.begin(), traits.end());
  traits.erase(std::unique(traits.begin(), traits.end()), traits.end());
  return traits;
}

std::string
FormatTraits(const TraitSet& aTraits)
{
  return absl::StrJoin(aTraits, ",", [](std::string* aText, const Trait& aTrait) {
    absl::StrAppendFormat(aText, "%s%x", aTrait.IsOfRequest() ? "request:" : "", aTrait.Number());
  });
}

} // namespace plantainslip::serving
