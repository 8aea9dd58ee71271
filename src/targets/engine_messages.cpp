#include <targets/engine_messages.hpp>

#include <core/bounded_json.hpp>

#include <plantainslip/targets/errors.hpp>

namespace plantainslip::targets {

namespace {

using nlohmann::json;

TokenChunk
ReadTokenChunk(const json& aLine)
{
  TokenChunk chunk;
  chunk.request = core::RequestId(aLine.at("request").get<std::string>());
  chunk.attempt = core::AttemptNumber(aLine.at("attempt").get<std::uint64_t>());
  chunk.offset = core::TokenOffset(aLine.at("offset").get<std::uint64_t>());
  chunk.last = aLine.contains("end");
  if (chunk.last) {
    chunk.finishReason = aLine.at("end").get<std::string>();
  } else {
    chunk.text = aLine.at("text").get<std::string>();
  }
  return chunk;
}

EngineReport
ReadEngineReport(const json& aAnswer, EngineRole aRole)
{
  EngineReport report;
  report.role = aRole;
  report.model = aAnswer.at("model").get<std::string>();
  report.version = aAnswer.at("version").get<std::string>();
  report.adapters = aAnswer.at("adapters").get<std::vector<std::string>>();
  report.changing = aAnswer.at("changing").get<bool>();
  report.running = aAnswer.at("running").get<std::uint64_t>();
  report.queued = aAnswer.at("queued").get<std::uint64_t>();
  report.queuedPrefill = core::TokenCount(aAnswer.at("queued_prefill").get<std::uint64_t>());
  report.lastOrder = core::OrderId(aAnswer.at("last_order").get<std::string>());
  report.lastOrderDone = aAnswer.at("last_order_done").get<bool>();
  report.highestToken = core::FencingToken(aAnswer.at("highest_token").get<std::uint64_t>());
  return report;
}

} // namespace

absl::StatusOr<TokenChunk>
ParseTokenChunk(const std::string& aLine)
{
  const auto line = core::ParseBoundedJson(aLine);
  if (!line.ok()) {
    return core::MakeError(errors::kBadAnswer, line.status().message());
  }
  try {
    return ReadTokenChunk(*line);
  } catch (const json::exception& problem) {
    return core::MakeError(errors::kBadAnswer, problem.what());
  }
}

absl::StatusOr<EngineReport>
ParseEngineReport(const std::string& aText)
{
  const auto answer = core::ParseBoundedJson(aText);
  if (!answer.ok()) {
    return core::MakeError(errors::kBadAnswer, answer.status().message());
  }
  try {
    const auto role = ParseRole(answer->at("role").get<std::string>());
    if (!role.ok()) {
      return role.status();
    }
    return ReadEngineReport(*answer, *role);
  } catch (const json::exception& problem) {
    return core::MakeError(errors::kBadAnswer, problem.what());
  }
}

} // namespace plantainslip::targets
