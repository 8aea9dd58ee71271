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
    lines += "- " + path + " " + value + "\n";
    if (found != after.end()) {
      lines += "+ " + path + " " + found->second + "\n";
      after.erase(found);
    }
  }
  for (const auto& [path, value] : after) {
    lines += "+ " + path + " " + value + "\n";
  }
  return lines;
}

} // namespace plantainslip::ctl
