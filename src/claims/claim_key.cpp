#include <plantainslip/claims/claim_key.hpp>

#include <array>
#include <cctype>
#include <cstdio>

#include <plantainslip/claims/errors.hpp>

namespace plantainslip::claims {

namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kVersionPosition = 14;
constexpr std::size_t kVariantPosition = 19;
// The first 48 bits are milliseconds since 1970: twelve hexadecimal digits and one hyphen.
constexpr std::size_t kTimeLength = 13;
constexpr int kHexBase = 16;

bool
IsHyphenPosition(std::size_t aPosition)
{
  return aPosition == 8 || aPosition == 13 || aPosition == 18 || aPosition == 23;
}

bool
IsUuid(const std::string& aText)
{
  if (aText.size() != kUuidLength) {
    return false;
  }
  for (std::size_t position = 0; position < kUuidLength; ++position) {
    const bool isValid = IsHyphenPosition(position)
                           ? aText[position] == '-'
                           : std::isxdigit(static_cast<unsigned char>(aText[position])) != 0;
    if (!isValid) {
      return false;
    }
  }
  return true;
}

std::string
ToLower(std::string aText)
{
  for (char& character : aText) {
    character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  }
  return aText;
}

core::WallTime
ParseCreationTime(const std::string& aText)
{
  std::string digits = aText.substr(0, kTimeLength);
  std::erase(digits, '-');
  const std::chrono::milliseconds sinceEpoch(std::stoll(digits, nullptr, kHexBase));
  // 48 bits can hold a time beyond the range of the clock's type.
  constexpr auto kMaxTime =
    std::chrono::duration_cast<std::chrono::milliseconds>(core::WallTime::duration::max());
  return core::WallTime(std::min(sinceEpoch, kMaxTime));
}

} // namespace

absl::StatusOr<ClaimKey>
ParseClaimKey(const core::IdempotencyKey& aKey)
{
  const std::string text = ToLower(aKey.Text());
  if (!IsUuid(text)) {
    return core::MakeError(errors::kBadKey, "the key is not a UUID");
  }
  const std::string_view variants = "89ab";
  if (text[kVersionPosition] != '7' ||
      variants.find(text[kVariantPosition]) == std::string_view::npos) {
    return core::MakeError(errors::kBadKey, "the key is not a version 7 UUID");
  }
  return ClaimKey{ text, ParseCreationTime(text) };
}

absl::Status
CheckAge(const ClaimKey& aKey, const KeyWindow& aWindow, core::WallTime aNow)
{
  if (aKey.createdAt < aNow - aWindow.retention) {
    return core::MakeError(errors::kKeyTooOld, aKey.text);
  }
  if (aKey.createdAt > aNow + aWindow.maxClockSkew) {
    return core::MakeError(errors::kKeyFromFuture, aKey.text);
  }
  return absl::OkStatus();
}

core::IdempotencyKey
FormatClaimKey(core::WallTime aCreatedAt, std::uint64_t aRandomHigh, std::uint64_t aRandomLow)
{
  constexpr std::uint64_t kVariant = 0x8000;
  const auto time = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aCreatedAt.time_since_epoch()).count());
  std::array<char, kUuidLength + 1> text{};
  std::snprintf(text.data(),
                text.size(),
                "%08llx-%04llx-7%03llx-%04llx-%012llx",
                static_cast<unsigned long long>((time >> 16) & 0xffffffff),
                static_cast<unsigned long long>(time & 0xffff),
                static_cast<unsigned long long>(aRandomHigh & 0xfff),
                static_cast<unsigned long long>(kVariant | ((aRandomLow >> 48) & 0x3fff)),
                static_cast<unsigned long long>(aRandomLow & 0xffffffffffff));
  return core::IdempotencyKey(text.data());
}

} // namespace plantainslip::claims
