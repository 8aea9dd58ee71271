#include <plantainslip/requests/resume_token.hpp>

#include <algorithm>
#include <array>

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <xxhash.h>

#include <plantainslip/requests/errors.hpp>

namespace plantainslip::requests {

namespace {

using nlohmann::json;

constexpr std::size_t kSignatureBytes = 32;
constexpr std::size_t kMaxTokenBytes = 4096;

std::string
ComputeSignature(const std::string& aKey, const std::string& aPayload)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned length = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aPayload.data()),
       aPayload.size(),
       digest.data(),
       &length);
  return { digest.begin(), digest.begin() + kSignatureBytes };
}

absl::Status
MakeTokenError(const std::string& aDetail)
{
  return core::MakeError(errors::kBadResume, aDetail);
}

// Engines of other zones do not report to this instance, so the configured version is assumed to be
// served there.
bool
IsServed(const control::FleetView& aView,
         const core::DeploymentName& aDeployment,
         const ResumeToken& aToken)
{
  if (aView.configuration == nullptr) {
    return false;
  }
  const auto deployment = aView.configuration->deployments.find(aDeployment);
  if (deployment == aView.configuration->deployments.end() ||
      deployment->second.model != aToken.model) {
    return false;
  }
  const auto serves = [&](const control::EngineView& aEngine) {
    return aEngine.deployment == aDeployment && aEngine.report.has_value() &&
           aEngine.report->model == aToken.model && aEngine.report->version == aToken.version;
  };
  return deployment->second.version == aToken.version ||
         std::any_of(aView.engines.begin(), aView.engines.end(), serves);
}

} // namespace

std::uint64_t
HashPrompt(const CompletionRequest& aRequest)
{
  std::uint64_t hash = aRequest.maxTokens.Number();
  for (const std::string* part :
       { &aRequest.deployment.Text(), &aRequest.adapter, &aRequest.prompt }) {
    hash = XXH64(part->data(), part->size(), hash);
  }
  return hash;
}

ResumeSigner::ResumeSigner(std::string aKey)
  : key(std::move(aKey))
{
}

std::string
ResumeSigner::Sign(const ResumeToken& aToken) const
{
  const json payload = {
    aToken.request.Text(), aToken.model, aToken.version, aToken.place, aToken.promptHash
  };
  const auto bytes = json::to_cbor(payload);
  const std::string text(bytes.begin(), bytes.end());
  return absl::WebSafeBase64Escape(ComputeSignature(this->key, text) + text);
}

std::string
ResumeSigner::SignFor(const CompletionRequest& aRequest, ResumeToken aToken) const
{
  if (!this->Enabled()) {
    return {};
  }
  aToken.promptHash = HashPrompt(aRequest);
  return this->Sign(aToken);
}

absl::StatusOr<ResumeToken>
ResumeSigner::Read(const std::string& aText) const
{
  std::string bytes;
  const bool decoded = aText.size() <= kMaxTokenBytes && absl::WebSafeBase64Unescape(aText, &bytes);
  if (!this->Enabled() || !decoded || bytes.size() <= kSignatureBytes) {
    return MakeTokenError("the resume token is malformed, or resuming is disabled");
  }
  const std::string payload = bytes.substr(kSignatureBytes);
  const std::string expected = ComputeSignature(this->key, payload);
  if (CRYPTO_memcmp(expected.data(), bytes.data(), kSignatureBytes) != 0) {
    return MakeTokenError("the resume token's signature is invalid");
  }
  try {
    const json fields = json::from_cbor(payload);
    return ResumeToken{ core::RequestId(fields.at(0).get<std::string>()),
                        fields.at(1).get<std::string>(),
                        fields.at(2).get<std::string>(),
                        fields.at(3).get<std::string>(),
                        fields.at(4).get<std::uint64_t>() };
  } catch (const json::exception& problem) {
    return MakeTokenError(problem.what());
  }
}

absl::Status
PrepareResume(const ResumeSigner& aSigner,
              const control::FleetView& aView,
              CompletionRequest& aRequest)
{
  if (aRequest.resume.empty()) {
    aRequest.resumeOffset = core::TokenOffset();
    return absl::OkStatus();
  }
  const auto token = aSigner.Read(aRequest.resume);
  if (!token.ok()) {
    return token.status();
  }
  if (token->promptHash != HashPrompt(aRequest)) {
    return MakeTokenError("the resume token belongs to another request");
  }
  if (aRequest.resumeOffset.Number() > aRequest.maxTokens.Number()) {
    return MakeTokenError("field 'resume_offset' exceeds 'max_tokens'");
  }
  if (!IsServed(aView, aRequest.deployment, *token)) {
    return core::MakeError(errors::kVersionGone, token->model + " " + token->version);
  }
  aRequest.version = token->version;
  return absl::OkStatus();
}

} // namespace plantainslip::requests
