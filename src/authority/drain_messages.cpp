#include <plantainslip/authority/drain_messages.hpp>

#include <nlohmann/json.hpp>

#include <plantainslip/authority/errors.hpp>

namespace plantainslip::authority {

namespace {

using nlohmann::json;

json
ToJson(const DrainMark& aMark)
{
  return { { "target", aMark.target.Text() },
           { "revision", aMark.revision.Number() },
           { "draining", aMark.draining } };
}

DrainMark
ParseMark(const json& aObject)
{
  return { core::TargetId(aObject.at("target").get<std::string>()),
           core::Revision(aObject.at("revision").get<std::uint64_t>()),
           aObject.at("draining").get<bool>() };
}

DrainReply
ParseReply(const json& aObject)
{
  return { ParseMark(aObject), aObject.at("in_flight").get<std::uint64_t>() };
}

std::string
ToCbor(const json& aMessage)
{
  const std::vector<std::uint8_t> bytes = json::to_cbor(aMessage);
  return { bytes.begin(), bytes.end() };
}

template<typename Item>
absl::StatusOr<std::vector<Item>>
ParseList(const std::string& aBody, Item (*aParseItem)(const json&))
{
  try {
    std::vector<Item> items;
    for (const json& object : json::from_cbor(aBody)) {
      items.push_back(aParseItem(object));
    }
    return items;
  } catch (const json::exception& problem) {
    return core::MakeError(errors::kBadMessage, problem.what());
  }
}

} // namespace

std::string
FormatDrainMarks(const std::vector<DrainMark>& aMarks)
{
  json message = json::array();
  for (const DrainMark& mark : aMarks) {
    message.push_back(ToJson(mark));
  }
  return ToCbor(message);
}

absl::StatusOr<std::vector<DrainMark>>
ParseDrainMarks(const std::string& aBody)
{
  return ParseList<DrainMark>(aBody, &ParseMark);
}

std::string
FormatDrainReplies(const std::vector<DrainReply>& aReplies)
{
  json message = json::array();
  for (const DrainReply& reply : aReplies) {
    json object = ToJson(reply.mark);
    object["in_flight"] = reply.inFlight;
    message.push_back(std::move(object));
  }
  return ToCbor(message);
}

absl::StatusOr<std::vector<DrainReply>>
ParseDrainReplies(const std::string& aBody)
{
  return ParseList<DrainReply>(aBody, &ParseReply);
}

absl::StatusOr<std::string>
HandleSetDrainMarks(DrainMarks& aMarks, const std::string& aBody)
{
  const auto marks = ParseDrainMarks(aBody);
  if (!marks.ok()) {
    return marks.status();
  }
  return FormatDrainReplies(aMarks.Apply(*marks));
}

absl::StatusOr<std::string>
HandleGetDrainMarks(const DrainMarks& aMarks)
{
  if (!aMarks.IsInitialized()) {
    return core::MakeError(errors::kMarksUnknown, "drain marks have not been loaded yet");
  }
  return FormatDrainMarks(aMarks.AllMarks());
}

} // namespace plantainslip::authority
