#include <plantainslip/config/record.hpp>

#include <core/bounded_json.hpp>

#include <plantainslip/config/errors.hpp>

namespace plantainslip::config {

namespace {

using nlohmann::json;

// Deeper than the limit of a configuration document: a change is nested deeper in the record than
// in the patch, and every accepted patch must stay readable.
constexpr core::JsonBounds kRecordBounds{ 64, 1'000'000 };

HistoryEntry
ParseEntry(const json& aObject)
{
  HistoryEntry entry;
  entry.version = core::ConfigVersion(aObject.at("version").get<std::uint64_t>());
  entry.patch = core::PatchId(aObject.at("patch").get<std::string>());
  entry.author = aObject.at("author").get<std::string>();
  entry.acceptedAtMs = aObject.at("accepted_at_ms").get<std::int64_t>();
  entry.change = aObject.at("change").dump();
  return entry;
}

} // namespace

absl::StatusOr<ConfigurationRecord>
ParseRecord(const std::string& aText)
{
  const auto parsed = core::ParseBoundedJson(aText, kRecordBounds);
  if (!parsed.ok()) {
    return core::MakeError(errors::kInvalid,
                           "the record " + std::string(parsed.status().message()));
  }
  try {
    const json& root = *parsed;
    ConfigurationRecord record;
    record.version = core::ConfigVersion(root.at("version").get<std::uint64_t>());
    record.document = root.at("document").dump();
    for (const json& object : root.at("history")) {
      record.history.push_back(ParseEntry(object));
    }
    return record;
  } catch (const json::exception& problem) {
    return core::MakeError(errors::kInvalid, problem.what());
  }
}

std::string
FormatRecord(const ConfigurationRecord& aRecord)
{
  json history = json::array();
  for (const HistoryEntry& entry : aRecord.history) {
    history.push_back({ { "version", entry.version.Number() },
                        { "patch", entry.patch.Text() },
                        { "author", entry.author },
                        { "accepted_at_ms", entry.acceptedAtMs },
                        { "change", json::parse(entry.change, nullptr, false) } });
  }
  const json root = { { "version", aRecord.version.Number() },
                      { "document", json::parse(aRecord.document, nullptr, false) },
                      { "history", std::move(history) } };
  return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace plantainslip::config
