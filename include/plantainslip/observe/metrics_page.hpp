#pragma once

#include <map>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace plantainslip::observe {

/// @brief One line of a page of metrics in the text format of Prometheus.
struct MetricLine
{
  std::string name;
  std::map<std::string, std::string> labels;
  double value = 0.0;
};

/// @brief Reads a page of metrics.
/// @param aText  the page; comments and empty lines are passed over
/// @return the lines in order, or error 1001 (observe.bad_page) with the line's number; linear in
///         the page's length
absl::StatusOr<std::vector<MetricLine>>
ParseMetricsPage(const std::string& aText);

} // namespace plantainslip::observe
