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

/// @brief Kind of the peers' message that carries a report of demand.
inline constexpr const char* kReportMessage = "limit_report";

/// @brief Kind of the peers' message that asks an owner to let one request through.
inline constexpr const char* kAskMessage = "limit_ask";

/// @brief The limits of all workspaces at one instance, kept in step with its peers.
/// @note Safe from any thread.
class LimitGate
{
public:
  virtual ~LimitGate() = default;

  /// @brief Decides on one request by what this instance holds, or else by what an owner lets
  ///        through; then it blocks on the peer for a moment.
  virtual LimitDecision Admit(const core::WorkspaceId& aWorkspace,
                              const config::WorkspaceLimit& aLimit,
                              core::TokenCount aTokens) = 0;

  /// @brief Answers a peer's #kReportMessage.
  /// @return the grant's CBOR, or error 851 (limits.bad_message)
  virtual absl::StatusOr<std::string> HandleReport(const std::string& aBody) = 0;

  /// @brief Answers a peer's #kAskMessage.
  /// @return the decision's CBOR, or error 851 (limits.bad_message)
  virtual absl::StatusOr<std::string> HandleAsk(const std::string& aBody) = 0;

  /// @brief Reports demand to all owners and takes their grants. Blocks on the peers.
  virtual void Exchange() = 0;
};

/// @brief Ports of the limits; all have to outlive them.
struct LimitPorts
{
  const core::Clock& clock;
  peers::PeerClient& peers;
  /// @brief Gives the entry instances that are listed.
  std::function<std::vector<control::EntryView>()> listEntries;
};

/// @brief Makes the limits of an instance, with a thread that exchanges reports.
/// @param aSelf  this instance
std::unique_ptr<LimitGate>
MakeLimitGate(const LimitOptions& aOptions, const core::InstanceId& aSelf, LimitPorts aPorts);

} // namespace plantainslip::limits
