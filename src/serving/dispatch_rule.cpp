#include <plantainslip/serving/dispatch_rule.hpp>

namespace plantainslip::serving {

namespace {

/// Tokens that keep an engine busy until the other instances have learnt of its load: a few chunks.
constexpr double kEnoughTokens = 4'000.0;
/// More for each level of urgency: an urgent prompt waits at an engine rather than here.
constexpr double kTokensPerLevel = 2'000.0;
/// From this level on nothing is kept back.
constexpr std::size_t kAlwaysSent = 3;

} // namespace

bool
SendsNow(double aQueued, std::size_t aPriority)
{
  if (aPriority <= kAlwaysSent) {
    return true;
  }
  const auto levels = static_cast<double>(kPriorityLevels - 1 - aPriority);
  return aQueued <= kEnoughTokens + kTokensPerLevel * levels;
}

} // namespace plantainslip::serving
