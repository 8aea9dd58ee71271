#pragma once

#include <optional>
#include <set>
#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/requests/completion_request.hpp>
#include <plantainslip/requests/context.hpp>

namespace plantainslip::requests {

/// @brief Destination of the next attempt of a completion: exactly one member is set.
struct Placement
{
  /// @brief Engine in the local zone; empty if the attempt goes to a peer.
  std::optional<routing::RankedEngine> engine;
  /// @brief Entry instance in another zone.
  std::optional<control::EntryView> peer;
};

/// @brief Constraints on the placement of one completion.
struct PlacementQuery
{
  const CompletionRequest& request;
  /// @brief Model version that the answer started with; empty if it has not started.
  std::string version;
  core::MonotonicTime deadline;
  /// @brief Whether the request was admitted before; if so, queue limits do not apply.
  bool admitted = false;
  /// @brief Whether the request may go to another zone; false for requests that came from a peer.
  bool maySpill = true;
  std::set<core::TargetId> failedEngines;
  std::set<core::InstanceId> failedPeers;
};

/// @brief Why no placement was found, and when to retry.
struct PlacementFailure
{
  absl::Status cause;
  std::chrono::seconds retryAfter{ 1 };
};

/// @brief Selects an engine in the local zone that can accept the request, or else a peer.
/// @param aFailure  set if no local engine can accept the request, even if a peer is returned
/// @return the placement, or nothing; linear in the number of engines and instances
std::optional<Placement>
FindPlacement(RequestContext& aContext, const PlacementQuery& aQuery, PlacementFailure& aFailure);

} // namespace plantainslip::requests
