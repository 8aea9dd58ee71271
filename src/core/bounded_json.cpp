#include <core/bounded_json.hpp>

namespace plantainslip::core {

absl::StatusOr<nlohmann::json>
ParseBoundedJson(const std::string& aText, JsonBounds aBounds)
{
  using Json = nlohmann::json;
  bool tooDeep = false;
  std::size_t values = 0;
  const Json::parser_callback_t check =
    [&](int aDepth, Json::parse_event_t /*aEvent*/, Json& /*aParsed*/) {
      tooDeep = tooDeep || aDepth > aBounds.depth;
      ++values;
      return !tooDeep && values <= aBounds.values;
    };
  Json parsed = Json::parse(aText, check, false);
  if (tooDeep) {
    return absl::InvalidArgumentError("is nested deeper than " + std::to_string(aBounds.depth));
  }
  if (values > aBounds.values) {
    return absl::InvalidArgumentError("holds more than " + std::to_string(aBounds.values) +
                                      " values");
  }
  if (parsed.is_discarded()) {
    return absl::InvalidArgumentError("is not JSON in UTF-8");
  }
  return parsed;
}

} // namespace plantainslip::core
