#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/net/address.hpp>
#include <plantainslip/observe/request_ledger.hpp>

namespace plantainslip::report {

/// @brief Counters of one deployment at one instance.
struct DeploymentSample
{
  std::array<std::uint64_t, observe::kRequestEnds> ends{};
  std::uint64_t firstTokens = 0;
  std::uint64_t lateFirstTokens = 0;
  std::uint64_t tokenGaps = 0;
  std::uint64_t lateTokenGaps = 0;
};

/// @brief Reading of one instance's metrics.
struct InstanceSample
{
  core::WallTime at;
  std::string address;
  /// @brief Why there is no reading; empty if there is one.
  std::string problem;
  std::string instance;
  std::string zone;
  std::uint64_t accepted = 0;
  std::uint64_t lost = 0;
  std::uint64_t open = 0;
  std::array<std::uint64_t, observe::kRequestEnds> ends{};
  std::map<std::string, DeploymentSample> deployments;
  /// @brief The lines of the page that the reading was made from.
  std::string page;
};

/// @brief Makes a reading from a page of metrics. A page that cannot be read is a reading with a
///        problem. Linear in the page's length.
InstanceSample
ReadPage(core::WallTime aAt, const std::string& aAddress, const std::string& aPage);

/// @brief Asks one instance for its metrics. Blocks for two seconds at most.
InstanceSample
AskInstance(const net::Address& aAddress, const core::Clock& aClock);

/// @brief Writes a reading as one line of JSON, without the line's end.
std::string
FormatSample(const InstanceSample& aSample);

/// @brief Reads the lines that FormatSample() writes.
/// @return the readings, or error 1002 (observe.bad_sample) with the line's number
absl::StatusOr<std::vector<InstanceSample>>
ParseSamples(const std::string& aText);

} // namespace plantainslip::report
