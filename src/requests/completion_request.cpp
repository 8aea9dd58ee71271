#include <plantainslip/requests/completion_request.hpp>

#include <core/bounded_json.hpp>

#include <plantainslip/requests/errors.hpp>

namespace plantainslip::requests {

namespace {

using nlohmann::json;

constexpr std::int64_t kDefaultMaxTokens = 16;
constexpr std::int64_t kMostTokens = 1'000'000;
constexpr std::int64_t kLeastPriority = -10;
constexpr std::int64_t kMostPriority = 10;
constexpr std::int64_t kDefaultDeadlineMs = 600'000;
constexpr std::int64_t kMostDeadlineMs = 3'600'000;
constexpr std::size_t kLongestNameBytes = 200;
constexpr std::size_t kLongestResumeBytes = 4096;

absl::Status
Bad(const std::string& aField, const std::string& aWhat)
{
  return core::MakeError(errors::kBadRequest, "field '" + aField + "' " + aWhat);
}

absl::StatusOr<std::string>
ReadText(const json& aBody, const std::string& aField, std::size_t aLimit)
{
  const auto found = aBody.find(aField);
  if (found == aBody.end()) {
    return std::string();
  }
  if (!found->is_string()) {
    return Bad(aField, "must be a text");
  }
  std::string text = found->get<std::string>();
  if (text.size() > aLimit) {
    return Bad(aField, "is longer than " + std::to_string(aLimit) + " bytes");
  }
  return text;
}

absl::StatusOr<std::int64_t>
ReadNumber(const json& aBody,
           const std::string& aField,
           std::int64_t aDefault,
           std::int64_t aLeast,
           std::int64_t aMost)
{
  const auto found = aBody.find(aField);
  if (found == aBody.end()) {
    return aDefault;
  }
  const std::string range = std::to_string(aLeast) + " to " + std::to_string(aMost);
  if (!found->is_number_integer()) {
    return Bad(aField, "must be a whole number of " + range);
  }
  // An unsigned number above the signed range would wrap round if it were read as signed.
  const bool tooLarge =
    found->is_number_unsigned() &&
    found->get<std::uint64_t>() > static_cast<std::uint64_t>(std::max<std::int64_t>(aMost, 0));
  if (tooLarge || found->get<std::int64_t>() < aLeast || found->get<std::int64_t>() > aMost) {
    return Bad(aField, "is " + found->dump() + ", outside " + range);
  }
  return found->get<std::int64_t>();
}

absl::Status
ReadTexts(const json& aBody, CompletionRequest& aRequest)
{
  const auto model = ReadText(aBody, "model", kLongestNameBytes);
  const auto adapter = ReadText(aBody, "adapter", kLongestNameBytes);
  const auto workspace = ReadText(aBody, "workspace", kLongestNameBytes);
  const auto prompt = ReadText(aBody, "prompt", kLargestCompletionBytes);
  const auto resume = ReadText(aBody, "resume", kLongestResumeBytes);
  for (const auto* field : { &model, &adapter, &workspace, &prompt, &resume }) {
    if (!field->ok()) {
      return field->status();
    }
  }
  aRequest.deployment = core::DeploymentName(*model);
  aRequest.adapter = *adapter;
  aRequest.workspace = core::WorkspaceId(*workspace);
  aRequest.prompt = *prompt;
  aRequest.resume = *resume;
  return absl::OkStatus();
}

absl::Status
ReadNumbers(const json& aBody, CompletionRequest& aRequest)
{
  const auto tokens = ReadNumber(aBody, "max_tokens", kDefaultMaxTokens, 1, kMostTokens);
  const auto priority = ReadNumber(aBody, "priority", 0, kLeastPriority, kMostPriority);
  const auto deadline = ReadNumber(aBody, "deadline_ms", kDefaultDeadlineMs, 1, kMostDeadlineMs);
  const auto offset = ReadNumber(aBody, "resume_offset", 0, 0, kMostTokens);
  for (const auto* field : { &tokens, &priority, &deadline, &offset }) {
    if (!field->ok()) {
      return field->status();
    }
  }
  aRequest.maxTokens = core::TokenCount(static_cast<std::uint64_t>(*tokens));
  aRequest.priority = static_cast<int>(*priority);
  aRequest.resumeOffset = core::TokenOffset(static_cast<std::uint64_t>(*offset));
  aRequest.deadline = std::chrono::milliseconds(*deadline);
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<CompletionRequest>
ParseCompletionRequest(const std::string& aBody)
{
  const auto parsed = core::ParseBoundedJson(aBody);
  if (!parsed.ok()) {
    return core::MakeError(errors::kBadRequest,
                           "the body " + std::string(parsed.status().message()));
  }
  const json& body = *parsed;
  if (!body.is_object()) {
    return core::MakeError(errors::kBadRequest, "the body is not a JSON object");
  }
  CompletionRequest request;
  if (const absl::Status read = ReadTexts(body, request); !read.ok()) {
    return read;
  }
  if (const absl::Status read = ReadNumbers(body, request); !read.ok()) {
    return read;
  }
  if (request.deployment.Empty()) {
    return Bad("model", "is missing");
  }
  if (request.prompt.empty()) {
    return Bad("prompt", "is missing or empty");
  }
  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_boolean()) {
    return Bad("stream", "must be true or false");
  }
  request.stream = stream != body.end() && stream->get<bool>();
  return request;
}

} // namespace plantainslip::requests
