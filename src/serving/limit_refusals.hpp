#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <string>

#include <plantainslip/core/clock.hpp>

#include "path_metrics.hpp"

namespace plantainslip::serving {

/// @brief Counts what was refused or closed because of a limit, and logs it at a bounded rate.
///        Thread-safe.
class LimitRefusals
{
public:
  LimitRefusals(PathMetrics& aMetrics, const core::Clock& aClock)
    : metrics(aMetrics)
    , clock(aClock)
  {
  }

  /// @brief Counts one refusal in `limit_refusals_total`.
  /// @param aLimit  name of the limit, one of few
  void Record(const std::string& aLimit);

private:
  struct Unlogged
  {
    core::MonotonicTime loggedAt;
    std::uint64_t count = 0;
  };

  PathMetrics& metrics;
  const core::Clock& clock;
  std::mutex mutex;
  std::map<std::string, Unlogged> unlogged;
};

} // namespace plantainslip::serving
