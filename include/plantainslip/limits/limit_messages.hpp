#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/config/configuration.hpp>
#include <plantainslip/core/ids.hpp>

namespace plantainslip::limits {

/// @brief Hash that identifies a workspace in messages.
using WorkspaceHash = core::StrongNumber<struct WorkspaceHashTag>;

/// @brief Hashes a workspace's name. Linear in its length.
WorkspaceHash
HashWorkspace(const core::WorkspaceId& aWorkspace);

/// @brief Demand of one workspace at one instance.
struct DemandLine
{
  WorkspaceHash workspace;
  /// @brief Rate that callers request, as a multiple of the whole limit.
  float demand = 0.0F;
  /// @brief Share of the limit that the instance uses from this owner's last grant.
  float inUse = 0.0F;
};

/// @brief Demand report of an instance to an owner.
struct DemandReport
{
  core::InstanceId instance;
  std::vector<DemandLine> lines;
};

/// @brief Share of a workspace's limit that an owner leases to an instance.
struct GrantLine
{
  WorkspaceHash workspace;
  float share = 0.0F;
};

/// @brief An owner's answer to a demand report.
struct ShareGrant
{
  std::vector<GrantLine> lines;
};

/// @brief Decision whether a request is within its workspace's limit.
struct LimitDecision
{
  bool admitted = true;
  /// @brief If not admitted: estimated time until the asked instance can admit a request.
  std::chrono::milliseconds wait{ 0 };

  /// @brief Returns the wait in whole seconds, rounded up and at least one, for `Retry-After`.
  std::chrono::seconds RetryAfter() const;
};

/// @brief Asks an owner to admit one request from the unleased part of its pool.
struct LimitRequest
{
  WorkspaceHash workspace;
  config::WorkspaceLimit limit;
  core::TokenCount tokens;
};

/// @brief Selects the owners of a workspace by rendezvous hashing.
/// @param aInstances  all listed instances, in any order
/// @param aCount  number of owners
/// @return at most that many instances, greatest weight first; O(n log n) for n instances
std::vector<core::InstanceId>
FindOwners(WorkspaceHash aWorkspace,
           const std::vector<core::InstanceId>& aInstances,
           std::size_t aCount);

/// @brief Encodes a report as CBOR. Linear in the number of lines.
std::string
EncodeReport(const DemandReport& aReport);

/// @brief Decodes a report.
/// @return the report, or error 851 (limits.bad_message); numbers that are negative or not finite
///         are read as zero
absl::StatusOr<DemandReport>
DecodeReport(const std::string& aBody);

/// @brief Encodes a limit request as CBOR. Constant time.
std::string
EncodeLimitRequest(const LimitRequest& aRequest);

/// @brief Decodes a limit request.
/// @return the limit request, or error 851 (limits.bad_message)
absl::StatusOr<LimitRequest>
DecodeLimitRequest(const std::string& aBody);

/// @brief Encodes a decision as CBOR. Constant time.
std::string
EncodeDecision(const LimitDecision& aDecision);

/// @brief Decodes a decision.
/// @return the decision, or error 851 (limits.bad_message)
absl::StatusOr<LimitDecision>
DecodeDecision(const std::string& aBody);

/// @brief Encodes a grant as CBOR. Linear in the number of lines.
std::string
EncodeGrant(const ShareGrant& aGrant);

/// @brief Decodes a grant.
/// @return the grant, or error 851 (limits.bad_message)
absl::StatusOr<ShareGrant>
DecodeGrant(const std::string& aBody);

} // namespace plantainslip::limits
