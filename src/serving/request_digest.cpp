#include <plantainslip/serving/request_digest.hpp>

#include <absl/strings/ascii.h>
#include <xxhash.h>

namespace plantainslip::serving {

namespace {

// Hashes the length too, so that the border between two texts counts.
std::uint64_t
AddText(std::string_view aText, std::uint64_t aHash)
{
  const std::uint64_t length = aText.size();
  return XXH64(aText.data(), aText.size(), XXH64(&length, sizeof(length), aHash));
}

} // namespace

RequestDigest
DigestRequest(std::string_view aMethod,
              std::string_view aTarget,
              const HeaderList& aHeaders,
              std::string_view aCaller,
              std::string_view aBody)
{
  const std::string* const host = FindHeader(aHeaders, "Host");
  std::uint64_t hash = AddText(aMethod, 0);
  hash = AddText(aTarget, hash);
  hash = AddText(host == nullptr ? std::string() : absl::AsciiStrToLower(*host), hash);
  hash = AddText(aCaller, hash);
  return RequestDigest(AddText(aBody, hash));
}

} // namespace plantainslip::serving
