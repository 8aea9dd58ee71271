#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/control/fleet_view.hpp>
#include <plantainslip/limits/workspace_buckets.hpp>
#include <plantainslip/peers/peer_client.hpp>

namespace plantainslip::limits {

/// @brief Kind of the peer message that carries a demand report.
inline constexpr const char* kReportMessage = "limit_report";

/// @brief Kind of the peer message that asks an owner to admit one request.
inline constexpr const char* kLimitRequestMessage = "limit_ask";

/// @brief Enforces the rate limits of all workspaces at one instance, in coordination with its
///        peers.
/// @note Safe from any thread.
class LimitGate
{
public:
  virtual ~LimitGate() = default;

  /// @brief Decides on one request by this instance's share of the limit. If that is used up, asks
  ///        the workspace's owners, which blocks for up to 100 ms per owner.
  virtual LimitDecision Admit(const core::WorkspaceId& aWorkspace,
                              const config::WorkspaceLimit& aLimit,
                              core::TokenCount aTokens) = 0;

  /// @brief Handles a peer's #kReportMessage.
  /// @return the grant as CBOR, or error 851 (limits.bad_message)
  virtual absl::StatusOr<std::string> HandleReport(const std::string& aBody) = 0;

  /// @brief Handles a peer's #kLimitRequestMessage.
  /// @return the decision as CBOR, or error 851 (limits.bad_message)
  virtual absl::StatusOr<std::string> HandleLimitRequest(const std::string& aBody) = 0;

  /// @brief Reports demand to all owners and applies their grants. Blocks until all peers answered
  ///        or timed out.
  virtual void ExchangeReports() = 0;
};

/// @brief Dependencies of a limit gate; the references must outlive it.
struct LimitPorts
{
  const core::Clock& clock;
  peers::PeerClient& peers;
  /// @brief Returns the listed entry instances.
  std::function<std::vector<control::EntryView>()> listEntries;
};

/// @brief Creates the limit gate of an instance and starts its thread, which exchanges reports.
/// @param aOptions  settings
/// @param aSelf  this instance
/// @param aPorts  dependencies
std::unique_ptr<LimitGate>
MakeLimitGate(const LimitOptions& aOptions, const core::InstanceId& aSelf, LimitPorts aPorts);

} // namespace plantainslip::limits
