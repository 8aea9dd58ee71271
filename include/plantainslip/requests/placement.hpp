#pragma once

#include <optional>
#include <set>
#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/requests/completion_request.hpp>
#include <plantainslip/requests/context.hpp>

namespace plantainslip::requests {

/// @brief Where the next attempt of a completion goes.
struct Placement
{
  /// @brief An engine of the own zone; nothing if the attempt goes to a peer.
  std::optional<routing::RankedEngine> engine;
  /// @brief An entry instance of another zone.
  std::optional<control::EntryView> peer;
};

/// @brief One completion that looks for a place.
struct PlacementQuery
{
  const CompletionRequest& request;
  /// @brief Version that the answer was begun in; empty if it was not begun.
  std::string version;
  core::MonotonicTime deadline;
  /// @brief Whether the request was let in before; then the queues' bounds do not hold it up.
  bool admitted = false;
  /// @brief Whether another zone may be asked. A request that came from a peer stays here.
  bool maySpill = true;
  std::set<core::TargetId> failedEngines;
  std::set<core::InstanceId> failedPeers;
};

/// @brief Why there is no place, and when there may be one.
struct NoPlace
{
  absl::Status cause;
  std::chrono::seconds retryAfter{ 1 };
};

/// @brief Finds a place: an engine of the own zone that can take the request, or else a peer.
/// @param aNoPlace  set if there is no place
/// @return the place, or nothing; linear in the number of engines and instances
std::optional<Placement>
FindPlace(RequestContext& aContext, const PlacementQuery& aQuery, NoPlace& aNoPlace);

} // namespace plantainslip::requests
