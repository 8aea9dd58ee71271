#pragma once

#include <map>
#include <mutex>
#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/core/ids.hpp>

namespace plantainslip::roles {

/// @brief Kind of the message by which a controller asks an entry instance for its demand.
inline constexpr const char* kDemandKind = "demand";

/// @brief What one entry instance has seen of one deployment's requests since it started.
struct DemandCounts
{
  std::uint64_t requests = 0;
  core::TokenCount promptTokens;
  /// @brief Requests that were answered whole, and the tokens of their answers. The demand of
  ///        requests that were not answered is taken to be like theirs.
  std::uint64_t answers = 0;
  core::TokenCount answerTokens;
};

/// @brief What one entry instance has seen of all deployments.
struct DemandDigest
{
  /// @brief Made anew by each process, so that a restart is not taken for a fall of demand.
  std::string process;
  std::map<core::DeploymentName, DemandCounts> deployments;
};

/// @brief Counts the demand at one entry instance.
/// @note Safe from any thread; logarithmic in the number of deployments; no errors.
class DemandCounter
{
public:
  DemandCounter();

  /// @brief Counts a request in when it arrives.
  /// @param aPromptBytes  length of the prompt, from which its tokens are reckoned
  void CountRequest(const core::DeploymentName& aDeployment, std::size_t aPromptBytes);

  /// @brief Counts a whole answer.
  void CountAnswer(const core::DeploymentName& aDeployment, core::TokenCount aTokens);

  /// @brief Gives all counts; their size depends on the number of deployments alone.
  DemandDigest Digest() const;

private:
  mutable std::mutex mutex;
  DemandDigest digest;
};

/// @brief Writes a digest as CBOR. Linear in the number of deployments; no errors.
std::string
FormatDigest(const DemandDigest& aDigest);

/// @brief Reads what FormatDigest() wrote.
/// @return the digest, or error 1201 (roles.bad_digest)
absl::StatusOr<DemandDigest>
ParseDigest(const std::string& aBody);

} // namespace plantainslip::roles
