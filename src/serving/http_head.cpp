#include "http_head.hpp"

#include <algorithm>
#include <array>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <boost/beast/http/status.hpp>

namespace plantainslip::serving {

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return absl::EqualsIgnoreCase(absl::string_view(aLeft.data(), aLeft.size()),
                                absl::string_view(aRight.data(), aRight.size()));
}

const std::string*
FindHeader(const HeaderList& aHeaders, std::string_view aName)
{
  const auto found = std::find_if(aHeaders.begin(), aHeaders.end(), [&](const Header& aHeader) {
    return EqualIgnoringCase(aHeader.name, aName);
  });
  return found == aHeaders.end() ? nullptr : &found->value;
}

bool
IsHopByHop(const HeaderList& aHeaders, std::string_view aName)
{
  constexpr std::array<std::string_view, 10> kNames = { "Connection",
                                                        "Keep-Alive",
                                                        "Proxy-Authenticate",
                                                        "Proxy-Authorization",
                                                        "TE",
                                                        "Trailer",
                                                        "Transfer-Encoding",
                                                        "Upgrade",
                                                        "Proxy-Connection",
                                                        "Expect" };
  const auto equals = [&](std::string_view aOther) { return EqualIgnoringCase(aName, aOther); };
  if (std::any_of(kNames.begin(), kNames.end(), equals)) {
    return true;
  }
  return std::any_of(aHeaders.begin(), aHeaders.end(), [&](const Header& aHeader) {
    if (!EqualIgnoringCase(aHeader.name, "Connection")) {
      return false;
    }
    for (const absl::string_view option : absl::StrSplit(aHeader.value, ',')) {
      const absl::string_view name = absl::StripAsciiWhitespace(option);
      if (equals(std::string_view(name.data(), name.size()))) {
        return true;
      }
    }
    return false;
  });
}

namespace {

void
AppendHeaders(std::string& aText, const HeaderList& aHeaders)
{
  for (const Header& header : aHeaders) {
    aText.append(header.name).append(": ").append(header.value).append("\r\n");
  }
}

} // namespace

std::string
FormatRequestHead(std::string_view aMethod,
                  std::string_view aTarget,
                  const HeaderList& aHeaders,
                  std::size_t aBodyBytes)
{
  std::string head;
  head.append(aMethod).append(" ").append(aTarget).append(" HTTP/1.1\r\n");
  AppendHeaders(head, aHeaders);
  const bool mayOmitBody = aMethod == "GET" || aMethod == "HEAD" || aMethod == "DELETE";
  if (aBodyBytes > 0 || !mayOmitBody) {
    head.append("Content-Length: ").append(std::to_string(aBodyBytes)).append("\r\n");
  }
  head.append("\r\n");
  return head;
}

std::string
FormatResponseHead(int aStatus, const HeaderList& aHeaders)
{
  const auto status = boost::beast::http::int_to_status(static_cast<unsigned>(aStatus));
  const auto reason = boost::beast::http::obsolete_reason(status);
  std::string head = "HTTP/1.1 " + std::to_string(aStatus) + " ";
  head.append(reason.data(), reason.size()).append("\r\n");
  AppendHeaders(head, aHeaders);
  head.append("\r\n");
  return head;
}

} // namespace plantainslip::serving
