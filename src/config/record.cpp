#include <plantainslip/config/record.hpp>

#include <core/bounded_json.hpp>

#include <plantainslip/config/errors.hpp>

namespace plantainslip::config {

namespace {

using nlohmann::json;

// A change lies deeper in the record than in its submission; what was accepted must be readable.
constexpr core::JsonBounds kRecordBounds{ 64, 1'000'000 };

HistoryEntry
ParseEntry(const json& aLine)
{
  HistoryEntry entry;
  entry.version = core::ConfigVersion(aLine.at("version").get<std::uint64_t>());
  entry.patch = core::PatchId(aLine.at("patch").get<std::string>());
  entry.author = aLine.at("author").get<std::string>();
  entry.acceptedAtMs = aLine.at("accepted_at_ms").get<std::int64_t>();
  entry.change = aLine.at("change").dump();
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
    const json& text = *parsed;
    ConfigurationRecord record;
    record.version = core::ConfigVersion(text.at("version").get<std::uint64_t>());
    record.document = text.at("document").dump();
    for (const json& line : text.at("history")) {
      record.history.push_back(ParseEntry(line));
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
  const json text = { { "version", aRecord.version.Number() },
                      { "document", json::parse(aRecord.document, nullptr, false) },
                      { "history", std::move(history) } };
  return text.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace plantainslip::config
