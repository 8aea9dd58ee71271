#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/observe/request_ledger.hpp>

namespace plantainslip::observe {

/// @brief Longest time to the first token that meets the service level.
inline constexpr std::chrono::milliseconds kFirstTokenObjective{ 1100 };
/// @brief Longest time between two tokens that meets the service level.
inline constexpr std::chrono::milliseconds kTokenGapObjective{ 31 };

/// @brief Most deployments that are counted apart; the rest share one line.
inline constexpr std::size_t kMostCountedDeployments = 128;

/// @brief Counters of one deployment in one instance.
/// @note Safe from any thread; constant time; no errors.
class DeploymentCounters
{
public:
  /// @brief Counts a request to its end.
  void CountEnd(RequestEnd aEnd) { ++this->ends[static_cast<std::size_t>(aEnd)]; }

  /// @brief Counts an answer's first token.
  /// @param aWait  time since the request was accepted
  void CountFirstToken(std::chrono::nanoseconds aWait);

  /// @brief Counts a later token.
  /// @param aGap  time since the token before it
  void CountTokenGap(std::chrono::nanoseconds aGap);

private:
  friend class DeploymentMetrics;

  std::array<std::atomic<std::uint64_t>, kRequestEnds> ends{};
  std::atomic<std::uint64_t> firstTokens = 0;
  std::atomic<std::uint64_t> lateFirstTokens = 0;
  std::atomic<std::uint64_t> tokenGaps = 0;
  std::atomic<std::uint64_t> lateTokenGaps = 0;
};

/// @brief Counters of all deployments in one instance.
/// @note Safe from any thread; no errors.
class DeploymentMetrics
{
public:
  /// @brief Gives a deployment's counters. Logarithmic in the number of deployments.
  /// @param aDeployment  a configured deployment; others are to be counted as `unknown`, so that
  ///                     callers cannot make up names without bound
  /// @return counters that live as long as this object
  DeploymentCounters& Of(const core::DeploymentName& aDeployment);

  /// @brief Writes the counters in the text format of Prometheus. Linear in the deployments.
  std::string Format() const;

private:
  mutable std::mutex mutex;
  std::map<std::string, std::unique_ptr<DeploymentCounters>> counters;
};

/// @brief Quotes a label's value for the text format of Prometheus. Linear in its length.
std::string
QuoteLabel(const std::string& aValue);

} // namespace plantainslip::observe
