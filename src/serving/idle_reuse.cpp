#include <plantainslip/serving/idle_reuse.hpp>

#include <algorithm>

namespace plantainslip::serving {

namespace {

// Returns the idle time that is tried after a limit has proven safe: half as long again.
milliseconds
NextLimit(milliseconds aLimit)
{
  return aLimit + aLimit / 2;
}

} // namespace

milliseconds
IdleReuse::Limit(const core::ServiceName& aService) const
{
  const auto found = this->states.find(aService);
  return found == this->states.end() ? kInitialLimit : found->second.limit;
}

void
IdleReuse::Record(const core::ServiceName& aService, milliseconds aIdle, bool aLost)
{
  State& state = this->states[aService];
  if (aLost) {
    state.limit = std::clamp(aIdle / 2, kInitialLimit, state.limit);
    state.proofs = 0;
    return;
  }
  if (aIdle < NextLimit(state.limit)) {
    return;
  }
  ++state.proofs;
  if (state.proofs >= kProofs) {
    state.limit = NextLimit(state.limit);
    state.proofs = 0;
  }
}

} // namespace plantainslip::serving
