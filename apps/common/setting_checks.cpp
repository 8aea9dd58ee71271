#include "setting_checks.hpp"

#include <algorithm>
#include <cctype>

#include <arpa/inet.h>

namespace plantainslip::apps {

namespace {

constexpr std::size_t kLongestName = 100;

bool
IsNameLetter(char aLetter)
{
  return std::isalnum(static_cast<unsigned char>(aLetter)) != 0 || aLetter == '-' ||
         aLetter == '_' || aLetter == '.';
}

} // namespace

std::string
CheckName(const std::string& aText)
{
  const bool rightLength = !aText.empty() && aText.size() <= kLongestName;
  if (rightLength && std::all_of(aText.begin(), aText.end(), &IsNameLetter)) {
    return {};
  }
  return "'" + aText + "' is not a name of 1 to 100 letters, digits, dots, dashes or underscores";
}

std::string
CheckIpNumber(const std::string& aText)
{
  in_addr number{};
  if (inet_pton(AF_INET, aText.c_str(), &number) == 1) {
    return {};
  }
  return "'" + aText + "' is not an IP number of the form a.b.c.d with parts of 0 to 255";
}

} // namespace plantainslip::apps
