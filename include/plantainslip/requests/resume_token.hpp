#pragma once

#include <cstdint>
#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/control/fleet_view.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/requests/completion_request.hpp>

namespace plantainslip::requests {

/// @brief State that any instance needs to resume an answer that another one started.
struct ResumeToken
{
  core::RequestId request;
  /// @brief Model and version that the answer started with.
  std::string model;
  std::string version;
  /// @brief Engine or peer that the answer came from, for logs.
  std::string place;
  /// @brief Hash of the requested deployment, adapter, prompt and length; see HashPrompt().
  std::uint64_t promptHash = 0;

  /// @brief Compares all fields.
  bool operator==(const ResumeToken&) const = default;
};

/// @brief Hashes the fields of a request that determine its answer. Linear in the prompt's length.
std::uint64_t
HashPrompt(const CompletionRequest& aRequest);

/// @brief Signs and verifies resume tokens. Every instance with the same key accepts them.
/// @note Safe from any thread.
class ResumeSigner
{
public:
  /// @param aKey  shared by all instances; if empty, no tokens are issued or accepted
  explicit ResumeSigner(std::string aKey);

  /// @brief Returns whether a key is set.
  bool Enabled() const { return !this->key.empty(); }

  /// @brief Encodes and signs a token: about 200 characters that are safe in a header field.
  std::string Sign(const ResumeToken& aToken) const;

  /// @brief Signs a token for a request.
  /// @param aToken  its hash is set from the request
  /// @return the signed token; empty without a key; linear in the prompt's length
  std::string SignFor(const CompletionRequest& aRequest, ResumeToken aToken) const;

  /// @brief Decodes a token and verifies its signature in constant time.
  /// @return the token, or error 710 (requests.bad_resume)
  absl::StatusOr<ResumeToken> Read(const std::string& aText) const;

private:
  std::string key;
};

/// @brief Verifies the resume token of a request, if any, and sets the version to resume with.
/// @return OK, or error 710 (requests.bad_resume) or 711 (requests.version_gone); linear in the
///         number of engines
absl::Status
PrepareResume(const ResumeSigner& aSigner,
              const control::FleetView& aView,
              CompletionRequest& aRequest);

} // namespace plantainslip::requests
