#include <plantainslip/serving/dispatch_rule.hpp>

namespace plantainslip::serving {

namespace {

/// Queued tokens that keep an engine busy until the other instances know its load: a few chunks.
constexpr double kBaseQueueLimit = 4'000.0;
/// Added per level of urgency: an urgent prompt is queued at an engine rather than here.
constexpr double kQueueLimitPerLevel = 2'000.0;
/// Prompts of this level and of more urgent ones are always sent at once.
constexpr std::size_t kLastUndelayedPriority = 3;

} // namespace

bool
ShouldDispatchNow(double aQueued, std::size_t aPriority)
{
  if (aPriority <= kLastUndelayedPriority) {
    return true;
  }
  const auto levels = static_cast<double>(kPriorityLevels - 1 - aPriority);
  return aQueued <= kBaseQueueLimit + kQueueLimitPerLevel * levels;
}

} // namespace plantainslip::serving
