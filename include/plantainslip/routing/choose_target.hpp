#pragma once

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/control/fleet_view.hpp>
#include <plantainslip/core/random.hpp>
#include <plantainslip/routing/capacity_estimator.hpp>
#include <plantainslip/routing/in_flight.hpp>
#include <plantainslip/routing/prefix_index.hpp>

namespace plantainslip::routing {

/// @brief The request for which engines are ranked.
struct EngineQuery
{
  core::ZoneId zone;
  core::DeploymentName deployment;
  std::string adapter;
  /// @brief Model version that the engine must have loaded; empty for any version.
  std::string version;
  const std::string& prompt;
  core::TokenCount maxTokens;
  /// @brief From -10 to 10; requests with a higher priority are served first.
  int priority = 0;
  /// @brief Targets at which this request already failed.
  std::set<core::TargetId> excluded;
};

/// @brief Settings of the engine ranking.
struct RoutingOptions
{
  /// @brief Age of a load report's figures when the report arrives.
  std::chrono::milliseconds reportLag = std::chrono::milliseconds(500);
  /// @brief Whether a load report is corrected for the requests of all instances of the
  ///        availability zone, each of which is assumed to send as many as this one, or only for
  ///        this instance's own requests.
  bool assumeEqualPeerLoad = true;
  /// @brief Number of engines without a cached piece of the prompt that are considered, drawn at
  ///        random. A small sample limits how many instances send to the same engine between two
  ///        load reports (herding).
  std::size_t sampledEngines = 2;
  /// @brief Fraction of its prefill time by which the cost of the prefix's home, the engine with
  ///        the highest rendezvous weight, is reduced, so that all instances prefer the same engine
  ///        for a new prefix.
  double homePreference = 0.8;
  /// @brief Cost added for each recent failure. Without it an engine that fails immediately appears
  ///        idle and attracts all requests.
  Seconds failureCost{ 1.0 };
  /// @brief Fraction of a phase's time that is added to the cost of an engine whose role is the
  ///        other phase.
  double roleMismatchPenalty = 0.5;
};

/// @brief Local state of this instance that is used together with the fleet view, and the current
///        time.
struct RoutingInputs
{
  const InFlight& inFlight;
  const PrefixIndex& prefixes;
  const CapacityEstimator& capacity;
  core::MonotonicTime now;
  RoutingOptions options;
};

/// @brief An engine that can serve a request, with its estimated cost.
struct RankedEngine
{
  control::EngineView engine;
  EngineCapacity capacity;
  /// @brief Requests running or queued: the load report, corrected for requests sent and completed
  ///        since.
  double outstanding = 0.0;
  /// @brief Estimated time until a slot is free, based on the queue length only.
  Seconds queueWait{ 0.0 };
  /// @brief Estimated time until a slot is free for a request of this priority.
  Seconds wait{ 0.0 };
  /// @brief Prompt tokens that are estimated not to be in the engine's prefix cache.
  core::TokenCount uncached;
  /// @brief Estimated time to the first token plus preferences and penalties; the sort key.
  Seconds cost{ 0.0 };
  /// @brief Hashes of the prompt's pieces for the engine's model version.
  std::vector<std::uint64_t> pieces;
};

/// @brief Ranks the engines of the availability zone that can serve a request by queue wait,
///        uncached prefill and role.
/// @param aView  the current fleet view
/// @param aQuery  the request
/// @param aInputs  local state of this instance
/// @param aRandom  random number generator for the sample
/// @return at least one engine, best first: engines with a cached piece, the prefix's home and the
///         sample, sorted by cost, then all others, sorted by cost. Or error 601
///         (routing.unknown_name) or 602 (routing.no_target). O(n log n + n p) for n engines and p
///         pieces.
absl::StatusOr<std::vector<RankedEngine>>
RankEngines(const control::FleetView& aView,
            const EngineQuery& aQuery,
            const RoutingInputs& aInputs,
            core::RandomSource& aRandom);

/// @brief Selects at random a target of a plain service in the availability zone.
/// @param aView  the current fleet view
/// @param aZone  the availability zone of this instance
/// @param aService  the service
/// @param aExcluded  targets at which this request already failed
/// @param aRandom  random number generator
/// @return the target, or error 601 (routing.unknown_name) or 602 (routing.no_target); linear in
///         the number of targets
absl::StatusOr<control::ServiceView>
ChooseService(const control::FleetView& aView,
              const core::ZoneId& aZone,
              const core::ServiceName& aService,
              const std::set<core::TargetId>& aExcluded,
              core::RandomSource& aRandom);

} // namespace plantainslip::routing
