#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/net/address.hpp>
#include <plantainslip/serving/replica_state.hpp>

namespace plantainslip::workspaces {
class KeyTable;
} // namespace plantainslip::workspaces

namespace plantainslip::serving {

using std::chrono::milliseconds;

/// @brief Whether a request may be repeated.
enum class RequestKind
{
  /// @brief Idempotent: may run more than once.
  kIdempotent,
  /// @brief Runs at most once per attempt of the caller.
  kAtMostOnce,
  /// @brief Answered by a stream of events; runs at most once unless Route::resumable is set.
  kStream,
};

/// @brief One of a route's services and its relative share of the route's requests.
struct WeightedService
{
  core::ServiceName service;
  double weight = 1.0;
};

/// @brief Rule that maps requests to services.
struct Route
{
  std::string name;
  std::string host;
  /// @brief Path prefix; starts and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kAtMostOnce;
  /// @brief Maximum time until the end of the answer.
  milliseconds timeout{ 0 };
  /// @brief Latency objective for the answer, or for its first event.
  milliseconds objective{ 0 };
  /// @brief Objective for the gap between events of an answer; zero if none is set.
  milliseconds eventGap{ 0 };
  /// @brief Priority among the routes; 0 is the most urgent.
  int rank = 0;
  std::vector<WeightedService> services;
  /// @brief Maximum number of targets that one attempt of a caller may be sent to.
  int maxTargets = 1;
  /// @brief Whether requests list the parts of their prompt.
  bool hasPromptParts = false;
  /// @brief Whether a broken stream may be resumed at another target.
  bool resumable = false;
  /// @brief Whether requests need no key although the configuration has workspaces.
  bool isPublic = false;
};

/// @brief Capacities and timings of a service's engines.
struct EngineLimits
{
  /// @brief Requests that one engine works on at the same time.
  std::uint64_t slots = 1;
  std::uint64_t cacheTokens = 0;
  std::uint64_t bytesPerToken = 0;
  /// @brief Bandwidth of the link that caches are moved over, in megabits per second; zero if
  ///        unknown.
  double linkMbps = 0.0;
  /// @brief How long an engine keeps the cache that a prefill handle refers to.
  milliseconds handleLifetime{ 0 };
  /// @brief How long an engine is unavailable while it changes its stage.
  milliseconds stageChangeDuration{ 0 };
};

/// @brief Limits and prices for the number of a service's targets.
struct ScalingLimits
{
  /// @brief Targets in each zone, regular and reclaimable ones together.
  std::uint64_t minPerZone = 0;
  std::uint64_t maxPerZone = 0;
  /// @brief Time from an order until a new target serves.
  milliseconds startupTime{ 0 };
  /// @brief Price of a reclaimable target as a share of a regular one's; absent if there are none.
  std::optional<double> reclaimablePrice;
  /// @brief Price of one second of a regular target by zone, in the platform's unit.
  std::map<core::ZoneId, double> zonePrices;
};

/// @brief One service of the configuration.
struct Service
{
  core::ServiceName name;
  /// @brief Maximum connections that one target accepts from all instances together.
  std::uint64_t maxConnections = 0;
  /// @brief Absent for plain services.
  std::optional<EngineLimits> engine;
  /// @brief Absent if the number of targets is not this system's to choose.
  std::optional<ScalingLimits> scaling;
};

/// @brief Limits on requests and connections of callers.
struct CallerLimits
{
  std::uint32_t headerBytes = 16'384;
  std::uint64_t bodyBytes = 4'194'304;
  milliseconds headerTimeout{ 3'000 };
  milliseconds idleTimeout{ 15'000 };
};

/// @brief One version of the operator's configuration.
struct ServingConfig
{
  core::ConfigVersion version;
  std::vector<Route> routes;
  std::map<core::ServiceName, Service> services;
  CallerLimits limits;
  /// @brief Keys of the workspaces; null if requests need no key.
  std::shared_ptr<const workspaces::KeyTable> workspaces;
};

/// @brief Phase of a completion that an engine serves.
enum class EngineStage
{
  /// @brief Plain services have no stage.
  kNone,
  kPrefill,
  kDecode,
};

/// @brief One target, as listed in the directory.
struct Target
{
  core::TargetId id;
  core::ServiceName service;
  net::Address address;
  core::ZoneId zone;
  /// @brief Whether the target is draining and must get no new work.
  bool leaving = false;
  EngineStage stage = EngineStage::kNone;
  /// @brief Requests that the target works on at the same time.
  std::uint64_t slots = 1;
  /// @brief Start of the process in Unix milliseconds; zero if unknown.
  std::uint64_t startedAt = 0;
  /// @brief Whether the platform may reclaim the target, with all others of its zone, at any time.
  bool reclaimable = false;

  bool operator==(const Target&) const = default;
};

/// @brief Configuration and targets as known to an instance; immutable once published.
struct FleetSnapshot
{
  std::shared_ptr<const ServingConfig> config;
  std::map<core::TargetId, Target> targets;
  /// @brief Copies of the store that the configuration and the targets were read from.
  ReplicaState configState;
  ReplicaState targetsState;
};

/// @brief Finds the route of a request: the longest matching prefix among the host's routes.
/// @return the route, or nullptr if none matches; linear in the number of routes
const Route*
FindRoute(const ServingConfig& aConfig, std::string_view aHost, std::string_view aPath);

/// @brief Chooses one of a route's services by weight; the same key always gives the same service.
/// @return the service, or nullptr if the configuration lacks it or the route has none; linear in
///         the number of the route's services
const Service*
ChooseService(const ServingConfig& aConfig, const Route& aRoute, std::string_view aKey);

} // namespace plantainslip::serving
