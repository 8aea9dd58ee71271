#pragma once

#include <map>
#include <mutex>
#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/core/ids.hpp>

namespace plantainslip::roles {

/// @brief Kind of the peer message by which a controller requests an entry instance's demand
///        digest.
inline constexpr const char* kDemandKind = "demand";

/// @brief Requests to one deployment, counted by one entry instance since its start.
struct DemandCounts
{
  std::uint64_t requests = 0;
  core::TokenCount promptTokens;
  /// @brief Completely answered requests, and the tokens of their answers. Requests without a
  ///        complete answer are assumed to have the same mean answer length.
  std::uint64_t answers = 0;
  core::TokenCount answerTokens;
};

/// @brief Demand of all deployments, counted by one entry instance.
struct DemandDigest
{
  /// @brief Unique name of the process, so that a restart is not mistaken for a drop in demand.
  std::string process;
  std::map<core::DeploymentName, DemandCounts> deployments;
};

/// @brief Counts the demand at one entry instance.
/// @note Safe from any thread; logarithmic in the number of deployments; no errors.
class DemandCounter
{
public:
  DemandCounter();

  /// @brief Counts a request on arrival.
  /// @param aPromptBytes  length of the prompt, from which its number of tokens is estimated
  void CountRequest(const core::DeploymentName& aDeployment, std::size_t aPromptBytes);

  /// @brief Counts a complete answer.
  void CountAnswer(const core::DeploymentName& aDeployment, core::TokenCount aTokens);

  /// @brief Returns all counts; the size depends only on the number of deployments.
  DemandDigest Digest() const;

private:
  mutable std::mutex mutex;
  DemandDigest digest;
};

/// @brief Encodes a digest as CBOR. Linear in the number of deployments; no errors.
std::string
FormatDigest(const DemandDigest& aDigest);

/// @brief Decodes the output of FormatDigest().
/// @return the digest, or error 1201 (roles.bad_digest)
absl::StatusOr<DemandDigest>
ParseDigest(const std::string& aBody);

} // namespace plantainslip::roles
