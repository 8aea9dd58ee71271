#pragma once

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/control/fleet_view.hpp>
#include <plantainslip/core/random.hpp>
#include <plantainslip/routing/capacity_book.hpp>
#include <plantainslip/routing/in_flight.hpp>
#include <plantainslip/routing/prefix_index.hpp>

namespace plantainslip::routing {

/// @brief What the choice of an engine depends on, beside the view.
struct EngineQuery
{
  core::ZoneId zone;
  core::DeploymentName deployment;
  std::string adapter;
  /// @brief Version that the engine has to have loaded; empty takes any.
  std::string version;
  const std::string& prompt;
  core::TokenCount maxTokens;
  /// @brief From -10 to 10; higher goes first.
  int priority = 0;
  /// @brief Targets that already failed this request.
  std::set<core::TargetId> excluded;
};

/// @brief Settings of the choice of an engine.
struct RoutingOptions
{
  /// @brief How much older a report's figures are than the report's arrival.
  std::chrono::milliseconds reportLag = std::chrono::milliseconds(500);
  /// @brief Whether a report is corrected by what all instances of the zone are likely to have sent
  ///        since, and not by this instance's own requests alone.
  bool countsPeers = true;
  /// @brief Engines without any of the prompt's pieces that are looked at, drawn at random; bounds
  ///        how many instances rush to the same engine between two reports.
  std::size_t sampledEngines = 2;
  /// @brief Share of the prefill time by which the first engine by rendezvous hashing is preferred,
  ///        so that instances agree on where a new prefix goes.
  double homePreference = 0.8;
  /// @brief Cost of each recent failure: an engine that fails at once looks idle, and would draw
  ///        all requests.
  Seconds failureCost{ 1.0 };
  /// @brief Share of the mismatched phase's time that an engine of the other role costs more.
  double roleMismatch = 0.5;
};

/// @brief What this instance knows beside the view, and the present moment.
struct RoutingInputs
{
  const InFlight& inFlight;
  const PrefixIndex& prefixes;
  const CapacityBook& capacity;
  core::MonotonicTime now;
  RoutingOptions options;
};

/// @brief One engine that can serve a request, and what that would cost.
struct RankedEngine
{
  control::EngineView engine;
  EngineCapacity capacity;
  /// @brief Requests in work or waiting there: the report, corrected by what was sent since.
  double outstanding = 0.0;
  /// @brief Time until a slot is free, by the queue's length alone.
  Seconds queueWait{ 0.0 };
  /// @brief Expected time until a slot is free for a request of this priority.
  Seconds wait{ 0.0 };
  /// @brief Prompt tokens that the engine is believed not to hold.
  core::TokenCount uncached;
  /// @brief Expected time to the first token; engines are ranked by it.
  Seconds cost{ 0.0 };
  /// @brief Hashes of the prompt's pieces in the engine's version.
  std::vector<std::uint64_t> pieces;
};

/// @brief Ranks the zone's engines that can serve a request by queue, uncached prefill and role.
/// @param aView  the newest view
/// @param aQuery  the request
/// @param aInputs  what this instance knows beside the view
/// @param aRandom  source of the sample
/// @return engines, best first: those that hold a piece, the prefix's home and a sample, ranked by
///         cost, then all others by cost; at least one. Or error 601 (routing.unknown_name) or 602
///         (routing.no_target). For n engines and p pieces n log n + n p.
absl::StatusOr<std::vector<RankedEngine>>
RankEngines(const control::FleetView& aView,
            const EngineQuery& aQuery,
            const RoutingInputs& aInputs,
            core::RandomSource& aRandom);

/// @brief Chooses a target of a plain service, at random among those of the zone.
/// @param aView  the newest view
/// @param aZone  the instance's own availability zone
/// @param aService  the service
/// @param aExcluded  targets that already failed this request
/// @param aRandom  source of the choice
/// @return the target, or error 601 (routing.unknown_name) or 602 (routing.no_target); linear in
///         the number of targets
absl::StatusOr<control::ServiceView>
ChooseService(const control::FleetView& aView,
              const core::ZoneId& aZone,
              const core::ServiceName& aService,
              const std::set<core::TargetId>& aExcluded,
              core::RandomSource& aRandom);

} // namespace plantainslip::routing
