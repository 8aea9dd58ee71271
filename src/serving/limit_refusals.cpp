#include "limit_refusals.hpp"

#include <plantainslip/core/log.hpp>

namespace plantainslip::serving {

namespace {

/// At most one line for each limit in this time, so that abusive clients do not fill the log.
constexpr std::chrono::seconds kLogInterval{ 1 };

} // namespace

void
LimitRefusals::Record(const std::string& aLimit)
{
  this->metrics.Count("limit_refusals_total", aLimit);
  const core::MonotonicTime now = this->clock.Now();
  const std::scoped_lock lock(this->mutex);
  const auto [found, isFirst] = this->unlogged.try_emplace(aLimit);
  ++found->second.count;
  if (!isFirst && now - found->second.loggedAt < kLogInterval) {
    return;
  }
  core::Log(core::LogLevel::kWarning,
            "refused by a limit",
            { { "limit", aLimit }, { "count", std::to_string(found->second.count) } });
  found->second = { now, 0 };
}

} // namespace plantainslip::serving
