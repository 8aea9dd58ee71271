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

namespace plantainslip::serving {

using std::chrono::milliseconds;

/// @brief What may be repeated of a request.
enum class RequestKind
{
  /// @brief Idempotent: may run more than once.
  kIdempotent,
  /// @brief Runs at most once for each attempt of the caller.
  kAtMostOnce,
  /// @brief Answered by a stream of events; at most once unless the route lets streams resume.
  kStream,
};

/// @brief One service that a route may choose, and its share of the route's requests.
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
  /// @brief Beginning of the path; starts and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kAtMostOnce;
  /// @brief Longest time that a caller is kept waiting for the end of its answer.
  milliseconds timeout{ 0 };
  /// @brief Time within which the answer, or its first event, is on time.
  milliseconds objective{ 0 };
  /// @brief Longest pause between events of an answer that is on time; zero if none is set.
  milliseconds eventGap{ 0 };
  /// @brief Rank among the routes; 0 is the most urgent.
  int rank = 0;
  std::vector<WeightedService> services;
  /// @brief Most targets that one attempt of a caller may be sent to.
  int mostTargets = 1;
  /// @brief Whether requests name the parts of their prompt.
  bool carriesPrompt = false;
  /// @brief Whether a broken stream may go on at another target.
  bool resumable = false;
};

/// @brief What the engines of a service can do.
struct EngineLimits
{
  std::uint64_t slots = 1;
  std::uint64_t cacheTokens = 0;
  std::uint64_t bytesPerToken = 0;
  /// @brief How long an engine keeps the cache behind a prefill handle.
  milliseconds handleLifetime{ 0 };
  /// @brief How long an engine is away when it changes its stage.
  milliseconds stageChange{ 0 };
};

/// @brief One service of the configuration.
struct Service
{
  core::ServiceName name;
  /// @brief Connections that one target accepts from all instances together.
  std::uint64_t mostConnections = 0;
  /// @brief Absent for plain services.
  std::optional<EngineLimits> engine;
};

/// @brief Bounds on what callers may send.
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
};

/// @brief Phase of a completion that an engine takes part in.
enum class EngineStage
{
  /// @brief Plain services have no stage.
  kNone,
  kPrefill,
  kDecode,
};

/// @brief One target as the directory lists it.
struct Target
{
  core::TargetId id;
  core::ServiceName service;
  net::Address address;
  core::ZoneId zone;
  bool leaving = false;
  EngineStage stage = EngineStage::kNone;
  /// @brief Requests that it works on at once.
  std::uint64_t slots = 1;
  /// @brief Start of the process in Unix milliseconds; zero if it is not told.
  std::uint64_t startedAt = 0;

  bool operator==(const Target&) const = default;
};

/// @brief What an instance knows of the fleet; immutable once published.
struct FleetSnapshot
{
  std::shared_ptr<const ServingConfig> config;
  std::map<core::TargetId, Target> targets;
  /// @brief Revisions of the store that the two parts were read at.
  core::Revision configRevision;
  core::Revision targetsRevision;
};

/// @brief Finds the route of a request: the longest matching prefix among the host's routes.
/// @return the route, or nullptr if none matches; linear in the number of routes
const Route*
FindRoute(const ServingConfig& aConfig, std::string_view aHost, std::string_view aPath);

/// @brief Chooses a service of a route by weight, the same for the same key.
/// @return the service, or nullptr if the route names none that the configuration holds
const Service*
ChooseService(const ServingConfig& aConfig, const Route& aRoute, std::string_view aKey);

} // namespace plantainslip::serving
