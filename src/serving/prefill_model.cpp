#include <plantainslip/serving/prefill_model.hpp>

#include <algorithm>

namespace plantainslip::serving {

namespace {

/// Bounds of the estimated rate, in tokens per millisecond.
constexpr double kMinRate = 10.0;
constexpr double kMaxRate = 400.0;

} // namespace

double
PrefillModel::Rate(const core::TargetId& aTarget) const
{
  const auto found = this->means.find(aTarget);
  return found == this->means.end()
           ? kInitialRate
           : std::clamp(found->second.tokens / found->second.milliseconds, kMinRate, kMaxRate);
}

milliseconds
PrefillModel::Duration(const core::TargetId& aTarget, double aTokens) const
{
  return milliseconds(static_cast<std::int64_t>(aTokens / this->Rate(aTarget)));
}

void
PrefillModel::RecordCall(const core::TargetId& aTarget,
                         double aQueuedTokens,
                         double aTokens,
                         milliseconds aTook)
{
  constexpr double kInitialTokens = 10'000.0;
  const auto entry =
    this->means.try_emplace(aTarget, Means{ kInitialTokens, kInitialTokens / kInitialRate }).first;
  Means& mean = entry->second;
  const double prefillMs = std::max(1.0, static_cast<double>((aTook - kCallOverhead).count()));
  // The prompt's own part of the call; its weight falls with the queue, whose length is uncertain.
  const double allTokens = aQueuedTokens + aTokens;
  const double ownShare = allTokens > 0.0 ? aTokens / allTokens : 1.0;
  const double weight = kSmoothingFactor * ownShare * ownShare;
  mean.tokens += weight * (aTokens - mean.tokens);
  mean.milliseconds += weight * (prefillMs * ownShare - mean.milliseconds);
}

std::size_t
PromptPriority(milliseconds aSlack)
{
  // Nine levels cover the slack of the routes' objectives, which are a few hundred milliseconds;
  // the last level is for late prompts.
  constexpr milliseconds kLevelWidth{ 50 };
  if (aSlack.count() < 0) {
    return kPriorityLevels - 1;
  }
  return std::min(static_cast<std::size_t>(aSlack / kLevelWidth), kPriorityLevels - 2);
}

std::uint64_t
SharedTokens(const PromptInfo& aPrompt)
{
  std::uint64_t tokens = 0;
  for (std::size_t index = 0; index + 1 < aPrompt.parts.size(); ++index) {
    tokens += aPrompt.parts[index].tokens;
  }
  return std::min(tokens, aPrompt.promptTokens);
}

std::uint64_t
UnsharedTokens(const PromptInfo& aPrompt)
{
  return aPrompt.promptTokens - SharedTokens(aPrompt);
}

std::uint64_t
SharedKey(const PromptInfo& aPrompt)
{
  return aPrompt.parts.size() < 2 ? 0 : aPrompt.parts[aPrompt.parts.size() - 2].id;
}

} // namespace plantainslip::serving
