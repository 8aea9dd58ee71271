#include <plantainslip/serving/target_protocol.hpp>

#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

namespace plantainslip::serving {

std::string
FormatPartIds(const std::vector<std::uint64_t>& aParts)
{
  return absl::StrJoin(aParts, ",", [](std::string* aText, std::uint64_t aPart) {
    absl::StrAppendFormat(aText, "%x", aPart);
  });
}

std::string
FormatParts(const std::optional<PromptInfo>& aPrompt)
{
  std::vector<std::uint64_t> ids;
  if (aPrompt.has_value()) {
    for (const PromptPart& part : aPrompt->parts) {
      ids.push_back(part.id);
    }
  }
  return FormatPartIds(ids);
}

} // namespace plantainslip::serving
