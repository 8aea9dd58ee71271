#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include <plantainslip/observe/latency_histogram.hpp>

namespace plantainslip::serving {

/// @brief Counters and latency histograms of the request path. Thread-safe.
class PathMetrics
{
public:
  /// @brief Increments a counter. Logarithmic in the number of counters.
  /// @param aName  name of the metric without its prefix, such as `requests_total`
  /// @param aLabel  value of the label `kind`
  void Count(const std::string& aName, const std::string& aLabel);

  /// @brief Sets a gauge with a label. Logarithmic in the number of gauges.
  /// @param aName  name of the metric without its prefix, such as `scaling_desired`
  /// @param aLabel  value of the label `kind`
  void Set(const std::string& aName, const std::string& aLabel, std::uint64_t aValue);

  /// @brief Sets a gauge, which has no label. Logarithmic in the number of gauges.
  void Set(const std::string& aName, std::uint64_t aValue);

  /// @brief Formats all metrics in the Prometheus text format.
  std::string Format() const;

  observe::LatencyHistogram firstEvent;
  observe::LatencyHistogram wholeAnswer;
  observe::LatencyHistogram prefillCall;

private:
  using Values = std::map<std::string, std::map<std::string, std::uint64_t>>;

  static void AppendValues(std::string& aText, const Values& aValues, const std::string& aType);

  mutable std::mutex mutex;
  Values counters;
  Values labelledGauges;
  std::map<std::string, std::uint64_t> gauges;
};

} // namespace plantainslip::serving
