#include <plantainslip/serving/key_check.hpp>

#include <absl/strings/ascii.h>

namespace plantainslip::serving {

namespace {

constexpr std::string_view kAuthorization = "Authorization";
constexpr std::string_view kScheme = "Bearer";

/// @brief Key of a request, or why it has none.
struct PresentedKey
{
  std::string_view key;
  std::string_view problem;
};

std::string_view
StripBlanks(std::string_view aText)
{
  const absl::string_view stripped =
    absl::StripAsciiWhitespace(absl::string_view(aText.data(), aText.size()));
  return { stripped.data(), stripped.size() };
}

PresentedKey
ReadKey(const HeaderList& aHeaders)
{
  const std::string* credentials = nullptr;
  for (const Header& header : aHeaders) {
    if (!EqualIgnoringCase(header.name, kAuthorization)) {
      continue;
    }
    if (credentials != nullptr && *credentials != header.value) {
      return { {}, "key_malformed" };
    }
    credentials = &header.value;
  }
  if (credentials == nullptr) {
    return { {}, "key_missing" };
  }
  const std::string_view text = StripBlanks(*credentials);
  const std::size_t schemeEnd = text.find(' ');
  if (schemeEnd == std::string_view::npos ||
      !EqualIgnoringCase(text.substr(0, schemeEnd), kScheme)) {
    return { {}, "key_malformed" };
  }
  return { StripBlanks(text.substr(schemeEnd)), {} };
}

} // namespace

KeyDecision
CheckKey(const ServingConfig& aConfig,
         const Route& aRoute,
         const HeaderList& aHeaders,
         milliseconds aConfirmationAge,
         std::optional<milliseconds> aRevocationBound)
{
  if (aConfig.workspaces == nullptr) {
    return {};
  }
  if (aRoute.isPublic) {
    return { KeyOutcome::kPublicRoute };
  }
  if (aRevocationBound.has_value() && aConfirmationAge >= *aRevocationBound) {
    return { KeyOutcome::kUnconfirmed, nullptr, "revocation_unconfirmed" };
  }
  const PresentedKey presented = ReadKey(aHeaders);
  const workspaces::Workspace* const workspace =
    presented.problem.empty() ? aConfig.workspaces->Find(presented.key) : nullptr;
  if (workspace != nullptr) {
    return { KeyOutcome::kWorkspace, workspace };
  }
  if (aConfirmationAge > kConfirmationLifetime) {
    return { KeyOutcome::kUnconfirmed, nullptr, "key_unconfirmed" };
  }
  return { KeyOutcome::kUnauthorized,
           nullptr,
           presented.problem.empty() ? "key_unknown" : presented.problem };
}

} // namespace plantainslip::serving
