#pragma once

#include <cstdint>
#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/control/fleet_view.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/requests/completion_request.hpp>

namespace plantainslip::requests {

/// @brief What another instance needs to go on with an answer that this one began.
struct ResumeToken
{
  core::RequestId request;
  /// @brief Model and version that the answer began in.
  std::string model;
  std::string version;
  /// @brief Engine or peer that the answer came from, for logs.
  std::string place;
  /// @brief Hash of the deployment, adapter, prompt and length that were asked for.
  std::uint64_t promptHash = 0;

  /// @brief Compares all fields.
  bool operator==(const ResumeToken&) const = default;
};

/// @brief Hashes all of a request that the answer depends on. Linear in the prompt's length.
std::uint64_t
HashPrompt(const CompletionRequest& aRequest);

/// @brief Signs tokens so that every instance with the same key takes them.
/// @note Safe from any thread.
class ResumeSigner
{
public:
  /// @param aKey  shared by all instances; empty issues and takes no tokens
  explicit ResumeSigner(std::string aKey);

  /// @brief Tells whether there is a key.
  bool Enabled() const { return !this->key.empty(); }

  /// @brief Writes a token: some 200 letters that are safe in a header field.
  std::string Sign(const ResumeToken& aToken) const;

  /// @brief Signs a token for a request.
  /// @param aToken  its hash is filled in here
  /// @return the token; empty without a key; linear in the prompt's length
  std::string SignFor(const CompletionRequest& aRequest, ResumeToken aToken) const;

  /// @brief Reads a token and checks its signature in constant time.
  /// @return the token, or error 710 (requests.bad_resume)
  absl::StatusOr<ResumeToken> Read(const std::string& aText) const;

private:
  std::string key;
};

/// @brief Reads a request's token, if it has one, and sets the version that it has to go on in.
/// @return OK, or error 710 (requests.bad_resume) or 711 (requests.version_gone); linear in the
///         number of engines
absl::Status
PrepareResume(const ResumeSigner& aSigner,
              const control::FleetView& aView,
              CompletionRequest& aRequest);

} // namespace plantainslip::requests
