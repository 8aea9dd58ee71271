#pragma once

#include <chrono>
#include <memory>
#include <string>

namespace plantainslip::observe {

/// @brief Distribution of a duration, from 0.1 ms to 1,000 s, with a relative error below 6%.
/// @note Safe from any thread; no errors.
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram&) = delete;
  LatencyHistogram& operator=(const LatencyHistogram&) = delete;

  /// @brief Counts one duration. Constant time.
  void Record(std::chrono::nanoseconds aDuration);

  /// @brief Gives how many durations were counted. Constant time.
  std::uint64_t Count() const;

  /// @brief Gives the duration below which a share of all durations lies.
  /// @param aShare  of (0, 1], such as 0.95
  /// @return upper edge of the bin; zero if nothing was counted. Linear in the number of bins.
  std::chrono::nanoseconds Quantile(double aShare) const;

  /// @brief Writes the distribution as a histogram in the text format of Prometheus, in seconds.
  /// @param aName  name of the metric
  std::string Format(const std::string& aName) const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace plantainslip::observe
