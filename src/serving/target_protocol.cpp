#include <plantainslip/serving/target_protocol.hpp>

#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

namespace plantainslip::serving {

std::string
FormatParts(const std::optional<PromptInfo>& aPrompt)
{
  if (!aPrompt.has_value()) {
    return "";
  }
  return absl::StrJoin(aPrompt->parts, ",", [](std::string* aText, const PromptPart& aPart) {
    absl::StrAppendFormat(aText, "%x", aPart.id);
  });
}

} // namespace plantainslip::serving
