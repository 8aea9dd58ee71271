#include "document_diff.hpp"

#include <map>

namespace plantainslip::ctl {

namespace {

using nlohmann::json;

std::map<std::string, std::string>
Values(const json& aDocument)
{
  std::map<std::string, std::string> values;
  const json flat = aDocument.flatten();
  for (const auto& [path, value] : flat.items()) {
    values[path] = value.dump(-1, ' ', false, json::error_handler_t::replace);
  }
  return values;
}

void
AddLine(std::string& aLines, const char* aSign, const std::string& aPath, const std::string& aValue)
{
  aLines.append(aSign).append(aPath).append(" ").append(aValue).append("\n");
}

} // namespace

std::string
DescribeChange(const json& aDocument, const json& aChange)
{
  json changed = aDocument;
  changed.merge_patch(aChange);
  const auto before = Values(aDocument);
  auto after = Values(changed);
  std::string lines;
  for (const auto& [path, value] : before) {
    const auto found = after.find(path);
    if (found != after.end() && found->second == value) {
      after.erase(found);
      continue;
    }
    AddLine(lines, "- ", path, value);
    if (found != after.end()) {
      AddLine(lines, "+ ", path, found->second);
      after.erase(found);
    }
  }
  for (const auto& [path, value] : after) {
    AddLine(lines, "+ ", path, value);
  }
  return lines;
}

} // namespace plantainslip::ctl
