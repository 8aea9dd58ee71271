#pragma once

#include <optional>

#include <plantainslip/serving/placement.hpp>

namespace plantainslip::serving {

/// @brief Decides whether a completion is refused at once, and when the caller may come back.
///
/// Answers bursts over the capacity: a prompt whose caller would leave before the first event is
/// refused, since its reading would be in vain. One that is only late is served: a caller that is
/// sent away and comes back is later still, and late prompts yield to those that can be on time.
/// @param aPlace  the best place that there is
/// @param aElapsed  time since the caller sent the request
/// @return the wait to tell the caller, or nothing if the request is admitted; constant time
std::optional<milliseconds>
DecideRefusal(const Route& aRoute, const PrefillPlace& aPlace, milliseconds aElapsed);

/// @brief Decides whether an instance that is stopping still takes a request.
///
/// Answers stops in series, in which the balancer sends new connections to instances that are not
/// ready: what may not end before the process does is refused as not run.
/// @param aSinceStop  time since the signal to stop
/// @param aUntilEnd  time until the process ends at the latest
/// @return true if the request is taken; constant time
bool
TakenDuringStop(const Route& aRoute, milliseconds aSinceStop, milliseconds aUntilEnd);

} // namespace plantainslip::serving
