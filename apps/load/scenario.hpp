#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace plantainslip::load {

/// @brief Least and greatest value of an evenly spread number, both included.
struct Range
{
  std::uint64_t least = 1;
  std::uint64_t most = 1;
};

/// @brief A stretch of time with one mix of requests.
struct Phase
{
  std::string name;
  /// @brief Length of the phase in seconds.
  double seconds = 1.0;
  double requestsPerSecond = 1.0;
  Range promptTokens;
  Range outputTokens;
  /// @brief Number of different beginnings that prompts share; zero shares none.
  std::uint64_t sharedPrefixes = 0;
  /// @brief Share of a prompt that is such a beginning, of [0, 1].
  double sharedShare = 0.0;
  std::uint64_t deadlineMs = 60'000;
  Range workspaces;
  std::int64_t leastPriority = 0;
  std::int64_t mostPriority = 0;
};

/// @brief A token mix over time, as a scenario file describes it.
struct Scenario
{
  std::string deployment;
  /// @brief Model and version, such as `m@1`, of every answer that is right.
  std::vector<std::string> expected;
  std::uint64_t seed = 1;
  std::vector<Phase> phases;
};

/// @brief One request of the schedule.
struct PlannedRequest
{
  /// @brief When it is to be sent, counted from the start.
  std::chrono::nanoseconds at{ 0 };
  std::string prompt;
  std::uint64_t outputTokens = 1;
  std::uint64_t deadlineMs = 0;
  std::int64_t priority = 0;
  std::string workspace;
};

/// @brief Reads a scenario file's text.
/// @return the scenario, or an error that names the field and its allowed range
absl::StatusOr<Scenario>
ParseScenario(const std::string& aText);

/// @brief Makes the schedule of a scenario: arrivals of a Poisson process that wait for no answer.
/// @param aScenario  the token mix
/// @param aSeed  the same seed gives the same schedule
/// @return the requests in order of time; linear in their number and length
std::vector<PlannedRequest>
PlanArrivals(const Scenario& aScenario, std::uint64_t aSeed);

} // namespace plantainslip::load
