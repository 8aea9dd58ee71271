#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/config/configuration.hpp>
#include <plantainslip/core/ids.hpp>

namespace plantainslip::limits {

/// @brief Hash that names a workspace in messages.
using WorkspaceHash = core::StrongNumber<struct WorkspaceHashTag>;

/// @brief Hashes a workspace's name. Linear in its length.
WorkspaceHash
HashWorkspace(const core::WorkspaceId& aWorkspace);

/// @brief Demand of one workspace at one instance.
struct DemandLine
{
  WorkspaceHash workspace;
  /// @brief What callers ask for, as a multiple of the whole limit.
  float demand = 0.0F;
  /// @brief Share of the limit that the instance uses under this owner's newest grant.
  float inUse = 0.0F;
};

/// @brief What an instance tells an owner.
struct DemandReport
{
  core::InstanceId instance;
  std::vector<DemandLine> lines;
};

/// @brief Share of one workspace's limit that an owner leases to an instance.
struct GrantLine
{
  WorkspaceHash workspace;
  float share = 0.0F;
};

/// @brief An owner's answer to a report.
struct ShareGrant
{
  std::vector<GrantLine> lines;
};

/// @brief Whether a request may pass its workspace's limit.
struct LimitDecision
{
  bool admitted = true;
  /// @brief If not: after how long there may be room where it was asked.
  std::chrono::milliseconds wait{ 0 };

  /// @brief Gives the wait in whole seconds, at least one, for `Retry-After`.
  std::chrono::seconds RetryAfter() const;
};

/// @brief Asks an owner to let one request through on the part of its pool that is not leased out.
struct LimitAsk
{
  WorkspaceHash workspace;
  config::WorkspaceLimit limit;
  core::TokenCount tokens;
};

/// @brief Finds the owners of a workspace by rendezvous hashing.
/// @param aInstances  all listed instances, in any order
/// @param aCount  number of owners
/// @return at most that many instances, best first; n log n in the number of instances
std::vector<core::InstanceId>
FindOwners(WorkspaceHash aWorkspace,
           const std::vector<core::InstanceId>& aInstances,
           std::size_t aCount);

/// @brief Writes a report as CBOR. Linear in the number of lines.
std::string
EncodeReport(const DemandReport& aReport);

/// @brief Reads a report.
/// @return the report, or error 851 (limits.bad_message); numbers that are negative or not finite
/// count as zero
absl::StatusOr<DemandReport>
DecodeReport(const std::string& aBody);

/// @brief Writes a question as CBOR. Constant time.
std::string
EncodeAsk(const LimitAsk& aAsk);

/// @brief Reads a question.
/// @return the question, or error 851 (limits.bad_message)
absl::StatusOr<LimitAsk>
DecodeAsk(const std::string& aBody);

/// @brief Writes a decision as CBOR. Constant time.
std::string
EncodeDecision(const LimitDecision& aDecision);

/// @brief Reads a decision.
/// @return the decision, or error 851 (limits.bad_message)
absl::StatusOr<LimitDecision>
DecodeDecision(const std::string& aBody);

/// @brief Writes a grant as CBOR. Linear in the number of lines.
std::string
EncodeGrant(const ShareGrant& aGrant);

/// @brief Reads a grant.
/// @return the grant, or error 851 (limits.bad_message)
absl::StatusOr<ShareGrant>
DecodeGrant(const std::string& aBody);

} // namespace plantainslip::limits
