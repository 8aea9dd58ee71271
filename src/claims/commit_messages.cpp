#include <plantainslip/claims/detail/commit_messages.hpp>

#include <nlohmann/json.hpp>

#include <plantainslip/claims/errors.hpp>

namespace plantainslip::claims::detail {

namespace {

using nlohmann::json;

constexpr int kLastVerdict = static_cast<int>(Verdict::kRecorded);

std::string
ToCbor(const json& aValue)
{
  const auto bytes = json::to_cbor(aValue);
  return { bytes.begin(), bytes.end() };
}

json
ToJson(const RecordedOutcome& aOutcome)
{
  return { { "ran", aOutcome.outcome == core::Outcome::kRan },
           { "status", aOutcome.status },
           { "body", aOutcome.body },
           { "kept", aOutcome.bodyKept } };
}

RecordedOutcome
ToRecordedOutcome(const json& aValue)
{
  return { aValue.at("ran").get<bool>() ? core::Outcome::kRan : core::Outcome::kNotRun,
           aValue.at("status").get<int>(),
           aValue.at("body").get<std::string>(),
           aValue.at("kept").get<bool>() };
}

} // namespace

std::string
EncodeOperation(const ClaimOperation& aOperation)
{
  json message = { { "key", aOperation.key.text },
                   { "attempt", aOperation.attempt.Text() },
                   { "for", aOperation.fingerprint } };
  if (aOperation.outcome.has_value()) {
    message["outcome"] = ToJson(*aOperation.outcome);
  }
  return ToCbor(message);
}

absl::StatusOr<ClaimOperation>
DecodeOperation(const std::string& aBody)
{
  try {
    const json message = json::from_cbor(aBody);
    const auto key = ParseClaimKey(core::IdempotencyKey(message.at("key").get<std::string>()));
    if (!key.ok()) {
      return key.status();
    }
    ClaimOperation operation{ *key,
                              core::RequestId(message.at("attempt").get<std::string>()),
                              message.at("for").get<std::string>(),
                              std::nullopt };
    if (message.contains("outcome")) {
      operation.outcome = ToRecordedOutcome(message.at("outcome"));
    }
    return operation;
  } catch (const json::exception& problem) {
    return core::MakeError(errors::kBadMessage, problem.what());
  }
}

std::string
EncodeResult(const CommitResult& aResult)
{
  return ToCbor({ { "written", aResult.status.ok() },
                  { "verdict", static_cast<int>(aResult.result.verdict) },
                  { "recorded", ToJson(aResult.result.recorded) } });
}

absl::StatusOr<CommitResult>
DecodeResult(const std::string& aBody)
{
  try {
    const json message = json::from_cbor(aBody);
    const int verdict = message.at("verdict").get<int>();
    if (verdict < 0 || verdict > kLastVerdict) {
      return core::MakeError(errors::kBadMessage, "unknown verdict");
    }
    CommitResult result;
    if (!message.at("written").get<bool>()) {
      result.status = core::MakeError(errors::kStoreUnavailable,
                                      "the bucket's owner could not write to the store");
    }
    result.result.verdict = static_cast<Verdict>(verdict);
    result.result.recorded = ToRecordedOutcome(message.at("recorded"));
    return result;
  } catch (const json::exception& problem) {
    return core::MakeError(errors::kBadMessage, problem.what());
  }
}

} // namespace plantainslip::claims::detail
