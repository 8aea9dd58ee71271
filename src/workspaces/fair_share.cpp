#include <plantainslip/workspaces/fair_share.hpp>

#include <cmath>

namespace plantainslip::workspaces {

namespace {

/// An entry whose decayed counts are below this is idle.
constexpr double kIdleRequests = 0.02;
/// Entries checked for removal with each one that is added; more than one, so that idle entries
/// become fewer.
constexpr int kSweepSteps = 2;
/// Requests of a workspace from which on its served fraction tells something.
constexpr double kMinRequests = 2.0;

double
ServedFraction(double aServed, double aRefused)
{
  return aServed + aRefused > 0.0 ? aServed / (aServed + aRefused) : 1.0;
}

} // namespace

void
FairShare::Entry::DecayTo(core::MonotonicTime aNow)
{
  const double age = std::chrono::duration<double>(aNow - this->at).count();
  const double factor =
    age > 0.0 ? std::exp(-age / std::chrono::duration<double>(kMemory).count()) : 1.0;
  this->tokens *= factor;
  this->served *= factor;
  this->refused *= factor;
  this->at = aNow;
}

void
FairShare::RemoveIdle(core::MonotonicTime aNow)
{
  auto next = this->entries.lower_bound(this->sweepAt);
  for (int step = 0; step < kSweepSteps && !this->entries.empty(); ++step) {
    next = next == this->entries.end() ? this->entries.begin() : next;
    next->second.DecayTo(aNow);
    const bool isIdle = next->second.served + next->second.refused < kIdleRequests;
    next = isIdle ? this->entries.erase(next) : std::next(next);
  }
  this->sweepAt = next == this->entries.end() ? core::WorkspaceId() : next->first;
}

FairShare::Entry*
FairShare::Find(const core::WorkspaceId& aWorkspace, core::MonotonicTime aNow)
{
  this->RemoveIdle(aNow);
  auto found = this->entries.find(aWorkspace);
  if (found == this->entries.end()) {
    if (this->entries.size() >= kMaxWorkspaces) {
      return nullptr;
    }
    found = this->entries.emplace(aWorkspace, Entry{ 0.0, 0.0, 0.0, aNow }).first;
  }
  found->second.DecayTo(aNow);
  return &found->second;
}

void
FairShare::RecordServed(const core::WorkspaceId& aWorkspace,
                        double aTokens,
                        core::MonotonicTime aNow)
{
  this->all.DecayTo(aNow);
  this->all.tokens += aTokens;
  this->all.served += 1.0;
  if (Entry* const entry = this->Find(aWorkspace, aNow); entry != nullptr) {
    entry->tokens += aTokens;
    entry->served += 1.0;
  }
}

void
FairShare::RecordRefused(const core::WorkspaceId& aWorkspace, core::MonotonicTime aNow)
{
  this->all.DecayTo(aNow);
  this->all.refused += 1.0;
  if (Entry* const entry = this->Find(aWorkspace, aNow); entry != nullptr) {
    entry->refused += 1.0;
  }
}

Standing
FairShare::Of(const core::WorkspaceId& aWorkspace, core::MonotonicTime aNow) const
{
  const auto found = this->entries.find(aWorkspace);
  if (found == this->entries.end()) {
    return this->entries.size() >= kMaxWorkspaces ? Standing::kWithin : Standing::kBelow;
  }
  Entry own = found->second;
  Entry total = this->all;
  own.DecayTo(aNow);
  total.DecayTo(aNow);
  const double ownFraction = ServedFraction(own.served, own.refused);
  const double fraction = ServedFraction(total.served, total.refused);
  if (own.served + own.refused >= kMinRequests && ownFraction < kMinServedFraction * fraction) {
    return Standing::kBelow;
  }
  const double share = total.tokens / static_cast<double>(this->entries.size());
  if (own.tokens <= kLowUse * share) {
    return Standing::kBelow;
  }
  return own.tokens > share ? Standing::kAbove : Standing::kWithin;
}

} // namespace plantainslip::workspaces
