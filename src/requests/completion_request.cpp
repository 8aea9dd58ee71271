#include <plantainslip/requests/completion_request.hpp>

#include <core/bounded_json.hpp>

#include <plantainslip/requests/errors.hpp>

namespace plantainslip::requests {

namespace {

using nlohmann::json;

constexpr std::int64_t kDefaultMaxTokens = 16;
constexpr std::int64_t kMaxTokens = 1'000'000;
constexpr std::int64_t kMinPriority = -10;
constexpr std::int64_t kMaxPriority = 10;
constexpr std::int64_t kDefaultDeadlineMs = 600'000;
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
constexpr std::size_t kMaxNameBytes = 200;
constexpr std::size_t kMaxResumeBytes = 4096;

absl::Status
MakeFieldError(const std::string& aField, const std::string& aProblem)
{
  return core::MakeError(errors::kBadRequest, "field '" + aField + "' " + aProblem);
}

absl::StatusOr<std::string>
ReadString(const json& aBody, const std::string& aField, std::size_t aMaxBytes)
{
  const auto found = aBody.find(aField);
  if (found == aBody.end()) {
    return std::string();
  }
  if (!found->is_string()) {
    return MakeFieldError(aField, "must be a string");
  }
  std::string text = found->get<std::string>();
  if (text.size() > aMaxBytes) {
    return MakeFieldError(aField, "is longer than " + std::to_string(aMaxBytes) + " bytes");
  }
  return text;
}

absl::StatusOr<std::int64_t>
ReadNumber(const json& aBody,
           const std::string& aField,
           std::int64_t aDefault,
           std::int64_t aMin,
           std::int64_t aMax)
{
  const auto found = aBody.find(aField);
  if (found == aBody.end()) {
    return aDefault;
  }
  const std::string range = std::to_string(aMin) + " to " + std::to_string(aMax);
  if (!found->is_number_integer()) {
    return MakeFieldError(aField, "must be an integer in the range " + range);
  }
  // An unsigned number above the signed range would wrap around if it were read as signed.
  const bool tooLarge =
    found->is_number_unsigned() &&
    found->get<std::uint64_t>() > static_cast<std::uint64_t>(std::max<std::int64_t>(aMax, 0));
  if (tooLarge || found->get<std::int64_t>() < aMin || found->get<std::int64_t>() > aMax) {
    return MakeFieldError(aField, "is " + found->dump() + ", outside " + range);
  }
  return found->get<std::int64_t>();
}

absl::Status
ReadStrings(const json& aBody, CompletionRequest& aRequest)
{
  const auto model = ReadString(aBody, "model", kMaxNameBytes);
  const auto adapter = ReadString(aBody, "adapter", kMaxNameBytes);
  const auto workspace = ReadString(aBody, "workspace", kMaxNameBytes);
  const auto prompt = ReadString(aBody, "prompt", kMaxCompletionBytes);
  const auto resume = ReadString(aBody, "resume", kMaxResumeBytes);
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
  const auto tokens = ReadNumber(aBody, "max_tokens", kDefaultMaxTokens, 1, kMaxTokens);
  const auto priority = ReadNumber(aBody, "priority", 0, kMinPriority, kMaxPriority);
  const auto deadline = ReadNumber(aBody, "deadline_ms", kDefaultDeadlineMs, 1, kMaxDeadlineMs);
  const auto offset = ReadNumber(aBody, "resume_offset", 0, 0, kMaxTokens);
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
  if (const absl::Status read = ReadStrings(body, request); !read.ok()) {
    return read;
  }
  if (const absl::Status read = ReadNumbers(body, request); !read.ok()) {
    return read;
  }
  if (request.deployment.Empty()) {
    return MakeFieldError("model", "is missing");
  }
  if (request.prompt.empty()) {
    return MakeFieldError("prompt", "is missing or empty");
  }
  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_boolean()) {
    return MakeFieldError("stream", "must be true or false");
  }
  request.stream = stream != body.end() && stream->get<bool>();
  return request;
}

} // namespace plantainslip::requests
